"""Simulated plain service for bookings, histories and statuses."""

import asyncio
import collections
import dataclasses
import json

from arbutusvale.protocol import caller_api
from arbutusvale.standins import web_server


@dataclasses.dataclass
class ServiceFaults:
    """Injected faults of a service; times in seconds.

    ``delay_s`` passes before a request takes effect, ``answer_delay_s``
    after it.  The next ``drop_answers_after_effect`` bookings run but aren't
    answered, and the next ``cross_answers`` answers carry a wrong request
    id.  A request whose body contains ``crash_marker`` closes all
    connections and keeps the service down for ``restart_s``.
    ``rate_limit`` is named in all answers, unless it is empty.
    """

    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    down: bool = False
    freeze: bool = False
    drop_answers_after_effect: int = 0
    cross_answers: int = 0
    crash_marker: str = ''
    rate_limit: str = ''
    restart_s: float = 1.0


class ServiceStandin(web_server.Standin):
    """Server of bookings that counts how often each of them ran."""

    def __init__(self, listen: str, name: str = 'service', **faults):
        super().__init__(listen, ServiceFaults(**faults))
        self.name = name
        self.booking_runs: collections.Counter[str] = collections.Counter()
        self.outstanding = 0
        self.peak_outstanding = 0
        self.crashes = 0
        self.restart_task: asyncio.Task | None = None

    def routes(self) -> list:
        """Return the application's URL rules."""
        handler_arguments = {'standin': self}
        return [
            ('/bookings', BookingHandler, handler_arguments),
            (r'/(history|status)/([^/]+)', ReadHandler, handler_arguments),
            ('/health', HealthHandler, handler_arguments),
            ('/stats', StatsHandler, handler_arguments),
            *super().routes(),
        ]

    async def crash(self) -> None:
        """Close all connections and restart later."""
        self.crashes += 1
        await super().stop()
        self.outstanding = 0
        self.restart_task = asyncio.create_task(self.restart_later())

    async def restart_later(self) -> None:
        """Restart after ``restart_s``."""
        await asyncio.sleep(self.faults.restart_s)
        await self.start()

    async def stop(self) -> None:
        """Stop, and cancel a pending restart."""
        if self.restart_task is not None:
            self.restart_task.cancel()
        await super().stop()


class ServiceHandler(web_server.StandinHandler):
    """Base of the handlers that are subject to faults."""

    async def prepare(self) -> None:
        """Count the call, then delay, crash or drop it as the faults say."""
        faults = self.standin.faults
        self.is_counted = True
        self.standin.outstanding += 1
        self.standin.peak_outstanding = max(
            self.standin.peak_outstanding, self.standin.outstanding
        )
        marker = faults.crash_marker.encode()
        if marker and marker in self.request.body:
            await self.standin.crash()
            return
        await self.wait_while_frozen()
        if faults.down:
            self.close_connection()
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)

    def on_finish(self) -> None:
        """Count the call as ended after its response."""
        self.decrement_outstanding()

    def on_connection_close(self) -> None:
        """Count the call as ended if its client disconnects."""
        super().on_connection_close()
        self.decrement_outstanding()

    def decrement_outstanding(self) -> None:
        """Decrement the outstanding calls, at most once for each call."""
        if self.is_counted and self.standin.outstanding > 0:
            self.standin.outstanding -= 1
        self.is_counted = False

    async def send_reply(self, document: dict, status: int = 200) -> None:
        """Answer with the request's id, or with a wrong one by a fault."""
        faults = self.standin.faults
        if faults.answer_delay_s:
            await asyncio.sleep(faults.answer_delay_s)
        await self.wait_while_frozen()
        request_id = self.request.headers.get(caller_api.REQUEST_ID, '')
        if faults.cross_answers > 0:
            faults.cross_answers -= 1
            request_id = f'not-{request_id}'
        if not self.is_client_gone:
            self.set_header(caller_api.REQUEST_ID, request_id)
            if faults.rate_limit:
                self.set_header('Server-Limit', faults.rate_limit)
            self.send_json({**document, 'by': self.standin.name}, status)


class BookingHandler(ServiceHandler):
    """Handler of bookings, which are not idempotent."""

    async def post(self) -> None:
        """Count one run of the booking and return it with the body."""
        if self.is_client_gone:
            return
        body = json.loads(self.request.body)
        booking = body['booking']
        self.standin.booking_runs[booking] += 1
        run = self.standin.booking_runs[booking]
        if self.standin.faults.drop_answers_after_effect > 0:
            self.standin.faults.drop_answers_after_effect -= 1
            self.close_connection()
            return
        await self.send_reply({**body, 'run': run}, 201)


class ReadHandler(ServiceHandler):
    """Handler of reads, which are idempotent: history and status."""

    async def get(self, kind: str, name: str) -> None:
        """Return the requested kind and name."""
        await self.send_reply({'kind': kind, 'name': name})


class HealthHandler(web_server.StandinHandler):
    """Handler of health checks."""

    async def get(self) -> None:
        """Answer 200 unless the service is down."""
        await self.wait_while_frozen()
        self.send_json({}, 503 if self.standin.faults.down else 200)


class StatsHandler(web_server.StandinHandler):
    """Handler that shows the service's counters to tests."""

    def get(self) -> None:
        """Return the exact counts."""
        self.send_json(
            {
                'bookings': dict(self.standin.booking_runs),
                'outstanding': self.standin.outstanding,
                'peak': self.standin.peak_outstanding,
                'crashes': self.standin.crashes,
            }
        )
