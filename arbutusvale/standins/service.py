"""Stand in for a plain booking, history and status service."""

import asyncio
import collections
import dataclasses
import json

from arbutusvale.protocol import caller_api
from arbutusvale.standins import web_server


@dataclasses.dataclass
class ServiceFaults:
    """Hold what goes wrong at the service.

    ``delay_s`` passes before the effect, ``answer_delay_s`` after it.  A
    request whose body holds ``crash_marker`` ends all connections and
    keeps the service down for ``restart_s``.
    """

    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    down: bool = False
    freeze: bool = False
    drop_answers_after_effect: int = 0
    cross_answers: int = 0
    crash_marker: str = ''
    restart_s: float = 1.0


class ServiceStandin(web_server.Standin):
    """Serve bookings and count how often each of them ran."""

    def __init__(self, listen: str, name: str = 'service', **faults):
        super().__init__(listen, ServiceFaults(**faults))
        self.name = name
        self.bookings: collections.Counter[str] = collections.Counter()
        self.outstanding = 0
        self.peak = 0
        self.crashes = 0
        self.restarting: asyncio.Task | None = None

    def routes(self) -> list:
        """Return the application's URL rules."""
        own = {'standin': self}
        return [
            ('/bookings', BookingHandler, own),
            (r'/(history|status)/([^/]+)', ReadHandler, own),
            ('/health', HealthHandler, own),
            ('/stats', StatsHandler, own),
            *super().routes(),
        ]

    async def crash(self) -> None:
        """End all connections and start again after a while."""
        self.crashes += 1
        await super().stop()
        self.outstanding = 0
        self.restarting = asyncio.create_task(self.restart())

    async def restart(self) -> None:
        """Serve again after ``restart_s``."""
        await asyncio.sleep(self.faults.restart_s)
        await self.start()

    async def stop(self) -> None:
        """Stop for good."""
        if self.restarting is not None:
            self.restarting.cancel()
        await super().stop()


class ServiceHandler(web_server.StandinHandler):
    """Apply the service's faults to each call."""

    async def prepare(self) -> None:
        """Delay, crash or drop the call as the faults say."""
        faults = self.standin.faults
        self.counted = True
        self.standin.outstanding += 1
        self.standin.peak = max(self.standin.peak, self.standin.outstanding)
        marker = faults.crash_marker.encode()
        if marker and marker in self.request.body:
            await self.standin.crash()
            return
        await self.thawed()
        if faults.down:
            self.drop()
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)

    def on_finish(self) -> None:
        """Count the call as ended."""
        self.discount()

    def on_connection_close(self) -> None:
        """Count the call as ended."""
        super().on_connection_close()
        self.discount()

    def discount(self) -> None:
        """Lower the outstanding calls, once for each call."""
        if self.counted and self.standin.outstanding > 0:
            self.standin.outstanding -= 1
        self.counted = False

    async def reply(self, document: dict, status: int = 200) -> None:
        """Answer with the request's id, unless a fault says otherwise."""
        faults = self.standin.faults
        if faults.answer_delay_s:
            await asyncio.sleep(faults.answer_delay_s)
        await self.thawed()
        request_id = self.request.headers.get(caller_api.REQUEST_ID, '')
        if faults.cross_answers > 0:
            faults.cross_answers -= 1
            request_id = f'not-{request_id}'
        if not self.gone:
            self.set_header(caller_api.REQUEST_ID, request_id)
            self.answer({**document, 'by': self.standin.name}, status)


class BookingHandler(ServiceHandler):
    """Book: the call that must not be repeated."""

    async def post(self) -> None:
        """Count one run of the booking and return it with the body."""
        if self.gone:
            return
        body = json.loads(self.request.body)
        booking = body['booking']
        self.standin.bookings[booking] += 1
        run = self.standin.bookings[booking]
        if self.standin.faults.drop_answers_after_effect > 0:
            self.standin.faults.drop_answers_after_effect -= 1
            self.drop()
            return
        await self.reply({**body, 'run': run}, 201)


class ReadHandler(ServiceHandler):
    """Read a history or a room's status; may be repeated."""

    async def get(self, kind: str, name: str) -> None:
        """Return the name that was asked for."""
        await self.reply({'kind': kind, 'name': name})


class HealthHandler(web_server.StandinHandler):
    """Answer health checks."""

    async def get(self) -> None:
        """Answer 200 unless the service is down."""
        await self.thawed()
        self.answer({}, 503 if self.standin.faults.down else 200)


class StatsHandler(web_server.StandinHandler):
    """Show counts to tests."""

    def get(self) -> None:
        """Return the exact counts."""
        self.answer(
            {
                'bookings': dict(self.standin.bookings),
                'outstanding': self.standin.outstanding,
                'peak': self.standin.peak,
                'crashes': self.standin.crashes,
            }
        )
