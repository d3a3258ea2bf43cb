"""Relay the answer of one sending from a server to the caller.

Whole answers are held until they are complete, so that a torn one can still
be replaced; large ones and events pass on as they come.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from arbutusvale import errors
from arbutusvale.coordination import edgeoutcomes
from arbutusvale.coordination import edgeparts
from arbutusvale.coordination import edgereport
from arbutusvale.coordination import eventstream
from arbutusvale.coordination import silence
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import proxying

# Some answers are larger, but then they are passed on as they come.
MAX_HELD_BYTES = 256 * 1024
# The server ends its work at the deadline that it was given; its own answer
# takes a few milliseconds to arrive.
DEADLINE_SLACK_S = 0.06
# A refusal is one short answer.
REFUSAL_TIMEOUT_S = 0.25

_SUCCESSES = range(200, 300)
_NEVER = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """Hold an outcome, and the head if the answer was read to its end."""

    outcome: edgeoutcomes.Outcome
    head: proxying.ResponseHead | None = None


class AnswerRelay:
    """Follow the answer to one sending.

    ``can_move`` tells whether another server could be given the request.
    """

    def __init__(
        self,
        report: edgereport.CallReport,
        caller: edge_ports.CallerStream,
        cutter: eventstream.EventCutter,
        can_move: Callable[[], bool],
        server: proxying.BackendServer,
        link: edge_ports.ServerConnection,
    ):
        self.report = report
        self.parts: edgeparts.EdgeParts = report.parts
        self.order = report.order
        self.caller = caller
        self.cutter = cutter
        self.can_move = can_move
        self.server = server
        self.link = link

    async def run(self, data: bytes) -> Relayed:
        """Send the request and relay its answer."""
        sent_at = self.parts.clock()
        exchange = self.link.send(
            data, self._decode, self.order.request.method == b'HEAD'
        )
        try:
            head = await self._await_head(exchange, sent_at)
            self.report.note_head(self.server, head, sent_at)
            return await self._relay(exchange, head)
        except TimeoutError:
            cause = 'deadline' if self._time_left() <= 0 else 'silent'
            return Relayed(edgeoutcomes.Failed(cause))
        except errors.ServerFailed as error:
            if not error.sent:
                return Relayed(edgeoutcomes.NotRun(error.cause))
            return Relayed(edgeoutcomes.Failed(error.cause))

    def _time_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.order.deadline - self.parts.clock()

    def _decode(
        self, status: int, reason: bytes, headers: edge_ports.Headers
    ) -> proxying.ResponseHead | None:
        """Decode an answer's head, or None if it isn't this request's."""
        head = self.parts.wire.parse_response_head(status, reason, headers)
        if head.attempt_id == self.order.traits.attempt_id:
            return head
        if not head.attempt_id and (head.not_run or head.misdirected):
            # A refusal that names no request; it is trusted only on a
            # connection that carried no other.
            return head
        self.report.note_foreign(head.attempt_id, status)
        return None

    async def _await_head(
        self, exchange: edge_ports.ServerExchange, sent_at: float
    ) -> proxying.ResponseHead:
        """Wait for the head; raise TimeoutError when waiting is in vain."""
        while True:
            now = self.parts.clock()
            end = self.order.deadline + DEADLINE_SLACK_S
            if self.can_move():
                end = min(end, sent_at + self._first_byte_limit(now - sent_at))
            if end <= now:
                raise TimeoutError
            done, _ = await asyncio.wait((exchange.head,), timeout=end - now)
            if done:
                return exchange.head.result()

    def _first_byte_limit(self, waited_s: float) -> float:
        """Return how long a first byte is waited for, in seconds."""
        heard_at = self.parts.heard_at.get(self.server.id, _NEVER)
        return silence.find_first_byte_limit(
            self.order.route, waited_s, self.parts.clock() - heard_at
        )

    async def _relay(
        self, exchange: edge_ports.ServerExchange, head: proxying.ResponseHead
    ) -> Relayed:
        """Relay an answer by its kind."""
        if head.not_run or head.misdirected:
            if not head.attempt_id and self.link.requests > 1:
                return Relayed(edgeoutcomes.Failed('refusal without an id'))
            return await self._read_refusal(exchange, head)
        if head.status in _SUCCESSES:
            if not head.signed or head.encoded:
                return Relayed(edgeoutcomes.Failed('answer without signature'))
            if self.order.route.is_stream:
                return await self._relay_events(exchange, head)
        return await self._relay_whole(exchange, head)

    async def _read_refusal(
        self, exchange: edge_ports.ServerExchange, head: proxying.ResponseHead
    ) -> Relayed:
        """Read the refusal to its end, so that the connection is kept."""
        cause = 'misdirected' if head.misdirected else f'shed-{head.status}'
        refusal = edgeoutcomes.NotRun(cause)
        try:
            async with asyncio.timeout(REFUSAL_TIMEOUT_S):
                while await self.link.read(exchange):
                    pass
        except (TimeoutError, errors.ServerFailed):
            # The refusal itself holds; only the connection is lost.
            return Relayed(refusal)
        return Relayed(refusal, head)

    async def _relay_whole(
        self, exchange: edge_ports.ServerExchange, head: proxying.ResponseHead
    ) -> Relayed:
        """Hold the answer until it is whole, if it isn't too large."""
        held = []
        size = 0
        async with asyncio.timeout(self._time_left() + DEADLINE_SLACK_S):
            while data := await self.link.read(exchange):
                held.append(data)
                size += len(data)
                if size > MAX_HELD_BYTES:
                    return await self._relay_large(exchange, head, held)
        body = b''.join(held)
        failed = head.status >= edgereport.SERVER_ERRORS
        if self.caller.started:
            # A stream that was to resume met a failure instead.
            cause = f'status-{head.status}'
            return Relayed(edgeoutcomes.Failed(cause), head)
        if failed and self.order.route.retryable:
            cause = f'status-{head.status}'
            return Relayed(edgeoutcomes.Failed(cause, head, body), head)
        self.caller.send_response(head.status, head.headers, body)
        return Relayed(edgeoutcomes.Delivered('answered', head.status), head)

    async def _relay_large(
        self,
        exchange: edge_ports.ServerExchange,
        head: proxying.ResponseHead,
        held: list[bytes],
    ) -> Relayed:
        """Pass a large answer on as it comes."""
        self.caller.start(head.status, head.headers)
        self.caller.write(b''.join(held))
        try:
            while data := await self.link.read(exchange):
                self.caller.write(data)
                await self.caller.wait_until_drained()
        except errors.ServerFailed as error:
            self.caller.abort()
            result = f'cut-{error.cause}'
            return Relayed(edgeoutcomes.Delivered(result, head.status))
        self.caller.finish()
        return Relayed(edgeoutcomes.Delivered('answered', head.status), head)

    async def _relay_events(
        self, exchange: edge_ports.ServerExchange, head: proxying.ResponseHead
    ) -> Relayed:
        """Pass events on as they come."""
        resumable = self.order.route.resumable
        while True:
            async with asyncio.timeout(self._pause_limit()):
                data = await self.link.read(exchange)
            if not data:
                break
            self.parts.heard_at[self.server.id] = self.parts.clock()
            if not self.caller.started:
                self.caller.start(head.status, head.headers)
            whole = self.cutter.feed(data) if resumable else data
            if whole:
                self.caller.write(whole)
                await self.caller.wait_until_drained()
        if resumable and self.cutter.partial:
            return Relayed(edgeoutcomes.Failed('event broken off'))
        if not self.caller.started:
            self.caller.start(head.status, head.headers)
        self.caller.finish()
        return Relayed(edgeoutcomes.Delivered('answered', head.status), head)

    def _pause_limit(self) -> float:
        """Return how long to wait for the next event, in seconds."""
        left = self._time_left() + DEADLINE_SLACK_S
        if self.can_move():
            left = min(left, silence.find_pause_limit(self.order.route))
        return max(0.0, left)
