"""Carry one request of a caller to a backend server and its answer back.

A request that must not repeat goes to a second server only when the first
is known not to have run it.  One that may repeat, or a stream that may
resume, goes on elsewhere within its attempts and the retry budget.
"""

import asyncio

from arbutusvale import errors
from arbutusvale.coordination import edgeadmission
from arbutusvale.coordination import edgeoutcomes
from arbutusvale.coordination import edgeparts
from arbutusvale.coordination import edgeplaces
from arbutusvale.coordination import edgerelay
from arbutusvale.coordination import edgereport
from arbutusvale.coordination import eventstream
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import proxying

# A connect inside a region takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.25
MAX_CONNECT_FAILURES = 4
# Less time than this serves no request.
LEAST_TIME_S = 0.01

_BAD_GATEWAY = 502
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class EdgeCall:
    """Serve one admitted request."""

    def __init__(
        self,
        parts: edgeparts.EdgeParts,
        order: edgeoutcomes.Order,
        caller: edge_ports.CallerStream,
    ):
        self.parts = parts
        self.order = order
        self.caller = caller
        self.report = edgereport.CallReport(parts, order)
        self.forwarded = parts.wire.format_forwarded_headers(order.request)
        self.cutter = eventstream.EventCutter(order.traits.last_event_id)
        self.tried: list[str] = []
        self.sent = 0
        self.connect_failures = 0
        self.may_have_run = False
        self.failure: edgeoutcomes.Failed | None = None

    async def run(self) -> None:
        """Send the request until it is answered or given up."""
        cause = ''
        while self._time_left() >= LEAST_TIME_S:
            place = edgeplaces.place(self.parts, self.order, self.tried)
            if place is None:
                self._give_up(cause or 'no-server')
                return
            self.tried.append(place.server.id)
            link = await self._connect(place.server)
            if link is None:
                cause = 'unreachable'
                if self.connect_failures >= MAX_CONNECT_FAILURES:
                    self._give_up(cause)
                    return
                continue
            outcome = await self._send(place, link)
            match outcome:
                case edgeoutcomes.Delivered(result, status):
                    self._end(result, status, place.server.id)
                    return
                case edgeoutcomes.NotRun(cause):
                    pass
                case edgeoutcomes.Failed(cause):
                    self.may_have_run = True
                    self.failure = outcome
            if not self._may_try_again(outcome):
                self._give_up(cause)
                return
        self._give_up('deadline')

    def _time_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.order.deadline - self.parts.clock()

    async def _connect(
        self, server: proxying.BackendServer
    ) -> edge_ports.ServerConnection | None:
        """Return a connection to a server, None if it takes none."""
        timeout_s = min(CONNECT_TIMEOUT_S, self._time_left())
        fresh = not self.order.route.retryable
        try:
            return await self.parts.connector.acquire(server, fresh, timeout_s)
        except errors.ServerFailed as error:
            self.connect_failures += 1
            self.report.note_unreachable(server, error)
            return None

    async def _send(
        self, place: edgeplaces.Place, link: edge_ports.ServerConnection
    ) -> edgeoutcomes.Outcome:
        """Send the request once and relay the answer."""
        server = place.server
        self.sent += 1
        self.report.note_place(place, self.sent)
        if self.sent == 1:
            self.parts.budget(self.order.pool).add_request()
        self._note_cache_places(place)
        relay = edgerelay.AnswerRelay(
            self.report, self.caller, self.cutter, self._can_move, server, link
        )
        self.parts.loads.record_start(server.id)
        relayed = None
        try:
            relayed = await relay.run(self._write(place))
        except asyncio.CancelledError:
            self.report.note_caller_gone(server)
            raise
        finally:
            self.parts.loads.record_end(server.id)
            self._give_back(server, link, relayed)
        self.report.note_outcome(
            server, relayed.outcome, self.sent, self.cutter.last_event_id
        )
        self.cutter.drop_partial()
        return relayed.outcome

    def _write(self, place: edgeplaces.Place) -> bytes:
        """Return the bytes of the request for the chosen server."""
        sending = proxying.AttemptParameters(
            server=place.server,
            time_left_s=self._time_left(),
            organisation=self.order.organisation,
            priority=self.order.priority,
            last_event_id=self.cutter.last_event_id,
            cache_source=place.cache_source,
        )
        return self.parts.wire.encode_request(
            self.order.request, sending, self.forwarded
        )

    def _note_cache_places(self, place: edgeplaces.Place) -> None:
        """Remember, and tell peers, which parts the server now holds."""
        for part in place.parts_read:
            if self.parts.prompts.record(part, place.server.id):
                self.parts.peers.announce_cache_location(part, place.server.id)

    def _give_back(
        self,
        server: proxying.BackendServer,
        link: edge_ports.ServerConnection,
        relayed: edgerelay.Relayed | None,
    ) -> None:
        """Keep a connection whose answer was read to its end."""
        if relayed is None or relayed.head is None:
            link.abort()
        else:
            self.parts.connector.release(
                server, link, relayed.head.keep_alive_s
            )

    def _can_move(self) -> bool:
        """Tell whether another server could be given the request.

        Without one, or without a retry to spend, a slow server is waited
        for: giving it up would turn a late answer into none.
        """
        if not self.order.route.retryable:
            return False
        if self.sent >= self.order.route.max_attempts:
            return False
        others = any(
            one.server.id not in self.tried
            and not self.parts.avoidance.is_avoided(one.server.id)
            for one in self.parts.servers.list_ready_servers(self.order.pool)
        )
        return others and self.parts.budget(self.order.pool).allows(
            self.parts.peers.count_live()
        )

    def _may_try_again(self, outcome: edgeoutcomes.Outcome) -> bool:
        """Take a retry if another server may be given the request."""
        failed = isinstance(outcome, edgeoutcomes.Failed)
        if failed and not self.order.route.retryable:
            return False
        if self.sent >= self.order.route.max_attempts:
            return False
        if self._time_left() < LEAST_TIME_S:
            return False
        granted = self.parts.budget(self.order.pool).take(
            self.parts.peers.count_live()
        )
        self.report.note_retry(granted)
        return granted

    def _give_up(self, cause: str) -> None:
        """End the request at once with a true statement of what happened."""
        if self.caller.started:
            self.caller.abort()
            self._end(f'cut-{cause}', 0)
            return
        if self.failure is not None and self.failure.head is not None:
            head = self.failure.head
            self.caller.send_response(
                head.status, head.headers, self.failure.body
            )
            self._end('passed-failure', head.status)
            return
        headers = []
        if not self.may_have_run:
            status = _SERVICE_UNAVAILABLE
            spread = self.parts.generator.random()
            retry_after_s = edgeadmission.plan_other_way(spread)
            headers = [(b'retry-after', b'%.2f' % retry_after_s)]
        elif cause == 'deadline':
            status = _GATEWAY_TIMEOUT
        else:
            status = _BAD_GATEWAY
        self.caller.send_response(status, headers, edgeoutcomes.explain(cause))
        self._end(f'refused-{cause}', status)

    def _end(self, result: str, status: int, server: str = '') -> None:
        """Report the end of the request."""
        self.report.note_end(result, status, server, self.sent)
