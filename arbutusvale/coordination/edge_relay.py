"""Relay of the response to one attempt from a server to the caller.

Responses are buffered until they are complete, so that another server can
still replace a truncated one; large ones and event streams are passed on as
they arrive.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import math

from arbutusvale import errors
from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_reporter
from arbutusvale.coordination import edge_requests
from arbutusvale.coordination import event_stream
from arbutusvale.coordination import response_timeouts
from arbutusvale.coordination import slow_reader_policy
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import proxying
from arbutusvale.state import body_buffer

# Larger responses are passed on as they arrive.
MAX_BUFFERED_BYTES = 256 * 1024
# The server stops at the deadline that it was given; its error response takes
# a few milliseconds to arrive.
DEADLINE_SLACK_S = 0.06
# The deadline is reached when less is left: smaller waits may take no time.
MIN_WAIT_S = 0.001
# Refusals and errors are short responses.
DROP_TIMEOUT_S = 0.25
# A server that has sent events for so long bears the prompt.
PROGRESS_S = 1.0
# Reading a shorter prompt takes less time than the rest of a first event.
MIN_MEASURED_TOKENS = 4000

_NEVER = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class RelayResult:
    """An outcome, and the head if the response was read to the end."""

    outcome: edge_requests.Outcome
    head: proxying.ResponseHead | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Alternatives:
    """Where else a request could be sent.

    ``can_fail_over`` checks whether it could be sent to another server now;
    ``reserve_retry`` checks the same and reserves the retry; ``list_untried``
    lists other servers, whether they take requests or not.
    """

    can_fail_over: Callable[[], bool]
    reserve_retry: Callable[[], bool]
    list_untried: Callable[[], list[proxying.BackendServer]]


class ResponseRelay:
    """Relay of the response to one attempt.

    ``on_events`` is called before events are passed on; ``unread_tokens`` is
    what the server has to read of the prompt.
    """

    def __init__(
        self,
        reporter: edge_reporter.RequestReporter,
        caller: edge_ports.CallerStream,
        event_buffer: event_stream.EventBuffer,
        alternatives: Alternatives,
        on_events: Callable[[], None],
        server: proxying.BackendServer,
        connection: edge_ports.ServerConnection,
        unread_tokens: int,
    ):
        self.reporter = reporter
        self.context: edge_context.EdgeContext = reporter.context
        self.request = reporter.request
        self.caller = caller
        self.event_buffer = event_buffer
        self.alternatives = alternatives
        self.on_events = on_events
        self.server = server
        self.connection = connection
        self.unread_tokens = unread_tokens
        # Whether the response has remained unread for long.
        self.was_unread = False

    async def run(self, data: bytes) -> RelayResult:
        """Send the request and relay its response."""
        sent_at = self.context.clock()
        exchange = self.connection.send(
            data,
            self._match_response_head,
            self.request.caller_request.method == b'HEAD',
        )
        try:
            head = await self._await_head(exchange, sent_at)
            if head.status in edge_reporter.SUCCESSES:
                self._record_reading_time(sent_at)
            self.reporter.record_response_head(
                self.server, head, exchange.framing, sent_at
            )
            return await self._relay(exchange, head)
        except TimeoutError:
            cause = 'deadline' if self._time_left_s() <= 0 else 'silent'
            return RelayResult(edge_requests.Failed(cause))
        except errors.ServerFailed as error:
            if not error.sent:
                return RelayResult(edge_requests.NotRun(error.cause))
            if await self._was_cut_unread():
                return RelayResult(edge_requests.Ambiguous('unread'))
            return RelayResult(edge_requests.Failed(error.cause))

    def _time_left_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.request.deadline - self.context.clock()

    def _match_response_head(
        self, status: int, reason: bytes, headers: edge_ports.Headers
    ) -> proxying.ResponseHead | None:
        """Parse a response head; return None if it isn't for this request."""
        head = self.context.codec.parse_response_head(status, reason, headers)
        if head.attempt_id == self.request.metadata.attempt_id:
            return head
        if not head.attempt_id and (head.not_run or head.misdirected):
            # A refusal without an attempt id; it is trusted only on a
            # connection that carried no other request.
            return head
        self.reporter.record_mismatched_response(head.attempt_id, status)
        return None

    async def _await_head(
        self, exchange: edge_ports.ServerExchange, sent_at: float
    ) -> proxying.ResponseHead:
        """Wait for the response head; raise TimeoutError if it is too late."""
        while True:
            now = self.context.clock()
            wait_until = self.request.deadline + DEADLINE_SLACK_S
            if self.alternatives.can_fail_over():
                wait_until = min(
                    wait_until,
                    sent_at + self._first_byte_timeout_s(now - sent_at),
                )
            if wait_until <= now and self._may_give_up():
                self._record_reading_time(sent_at)
                raise TimeoutError
            done, _ = await asyncio.wait(
                (exchange.head,), timeout=wait_until - now
            )
            if done:
                return exchange.head.result()

    def _first_byte_timeout_s(self, waited_s: float) -> float:
        """Return how long to wait for the first byte, in seconds."""
        last_received_at = self.context.last_received_at.get(
            self.server.id, _NEVER
        )
        return response_timeouts.first_byte_timeout_s(
            self.request.route,
            waited_s,
            self.context.clock() - last_received_at,
            self.unread_tokens
            * self.context.reading_times.average_s(self.request.pool),
        )

    def _record_reading_time(self, sent_at: float) -> None:
        """Record how long the server has taken to read a long prompt.

        An attempt that was given up tells that it takes longer.
        """
        if self.unread_tokens >= MIN_MEASURED_TOKENS:
            elapsed_s = self.context.clock() - sent_at
            self.context.reading_times.record(
                self.request.pool, elapsed_s / self.unread_tokens
            )

    async def _relay(
        self, exchange: edge_ports.ServerExchange, head: proxying.ResponseHead
    ) -> RelayResult:
        """Relay a refusal, an event stream or a plain response."""
        if head.not_run or head.misdirected:
            if not head.attempt_id and self.connection.requests > 1:
                return RelayResult(
                    edge_requests.Failed('refusal without an id')
                )
            return await self._read_refusal(exchange, head)
        if head.status in edge_reporter.SUCCESSES:
            if not head.signed or head.encoded:
                return RelayResult(
                    edge_requests.Failed('answer without signature')
                )
            if self.request.route.is_stream:
                return await self._relay_events(exchange, head)
        if self.caller.started:
            # Only events can follow those that the caller has.
            return await self._read_error(exchange, head)
        return await self._relay_buffered(exchange, head)

    async def _read_refusal(
        self, exchange: edge_ports.ServerExchange, head: proxying.ResponseHead
    ) -> RelayResult:
        """Read a refusal, which the caller doesn't get, to its end."""
        cause = 'misdirected' if head.misdirected else f'shed-{head.status}'
        refusal = edge_requests.NotRun(cause)
        try:
            if await self._drop_body(exchange):
                return RelayResult(refusal, head)
        except errors.ServerFailed:
            # The refusal remains valid; only the connection is lost.
            pass
        return RelayResult(refusal)

    async def _read_error(
        self, exchange: edge_ports.ServerExchange, head: proxying.ResponseHead
    ) -> RelayResult:
        """Read an error, which the caller doesn't get, to its end."""
        failure = edge_requests.Failed(f'status-{head.status}')
        if not await self._drop_body(exchange):
            return RelayResult(failure)
        if await self._ends_in_crash(exchange):
            return RelayResult(edge_requests.Failed('connection closed'))
        return RelayResult(failure, head)

    async def _drop_body(self, exchange: edge_ports.ServerExchange) -> bool:
        """Drop a body, so that its connection can be used again.

        Return whether it ended in time; raise ServerFailed.
        """
        try:
            async with asyncio.timeout(DROP_TIMEOUT_S):
                while await self.connection.read(exchange):
                    pass
        except TimeoutError:
            return False
        return True

    async def _relay_buffered(
        self, exchange: edge_ports.ServerExchange, head: proxying.ResponseHead
    ) -> RelayResult:
        """Buffer a response until it is complete, unless it is too large."""
        buffered = body_buffer.BodyBuffer()
        try:
            async with asyncio.timeout(self._time_left_s() + DEADLINE_SLACK_S):
                is_whole = await self._fill(buffered, exchange)
                if not is_whole:
                    return await self._relay_unbuffered(
                        exchange, head, buffered
                    )
        finally:
            self.context.held.change(-buffered.allocated_bytes())
        if await self._ends_in_crash(exchange):
            return RelayResult(edge_requests.Failed('connection closed'))
        body = buffered.take()
        failed = head.status >= edge_reporter.MIN_SERVER_ERROR_STATUS
        if failed and self.request.route.retryable:
            cause = f'status-{head.status}'
            return RelayResult(edge_requests.Failed(cause, head, body), head)
        self.caller.send_response(head.status, head.headers, body)
        return RelayResult(
            edge_requests.Delivered('answered', head.status), head
        )

    async def _fill(
        self,
        buffered: body_buffer.BodyBuffer,
        exchange: edge_ports.ServerExchange,
    ) -> bool:
        """Read a response into a buffer; return whether it is whole."""
        held = self.context.held
        size = 0
        while data := await self.connection.read(exchange):
            buffered.append(data)
            before, size = size, buffered.allocated_bytes()
            held.change(size - before)
            if size > slow_reader_policy.allowance_bytes(
                held.limit_bytes, held.held_bytes, MAX_BUFFERED_BYTES
            ):
                return False
        return True

    async def _relay_unbuffered(
        self,
        exchange: edge_ports.ServerExchange,
        head: proxying.ResponseHead,
        buffered: body_buffer.BodyBuffer,
    ) -> RelayResult:
        """Pass a large response on as it arrives."""
        self.caller.start(head.status, head.headers)
        self.context.held.change(-buffered.allocated_bytes())
        self.caller.write(buffered.take())
        try:
            while data := await self.connection.read(exchange):
                self.caller.write(data)
                await self.caller.wait_until_drained()
            if await self._ends_in_crash(exchange):
                raise errors.ServerFailed('connection closed', True)
        except errors.ServerFailed as error:
            self.caller.abort()
            result = f'cut-{error.cause}'
            return RelayResult(
                edge_requests.Delivered(result, head.status, error.cause)
            )
        self.caller.finish()
        return RelayResult(
            edge_requests.Delivered('answered', head.status), head
        )

    async def _relay_events(
        self, exchange: edge_ports.ServerExchange, head: proxying.ResponseHead
    ) -> RelayResult:
        """Pass events on as they arrive."""
        resumable = self.request.route.resumable
        progress_at: float | None = None
        while True:
            data = await self._read_events(exchange)
            if not data:
                break
            self.context.last_received_at[self.server.id] = (
                self.context.clock()
            )
            if not self.caller.started:
                self.caller.start(head.status, head.headers)
            complete = self.event_buffer.feed(data)
            if self.event_buffer.is_unusable:
                return RelayResult(edge_requests.Failed('event too long'))
            passed_on = complete if resumable else data
            if progress_at is None:
                progress_at = self.context.clock() + PROGRESS_S
            elif self.context.clock() >= progress_at:
                self.reporter.record_progress()
                progress_at = math.inf
            if passed_on:
                self.on_events()
                self.caller.write(passed_on)
                await self._wait_until_drained()
        ends_at_close = exchange.framing is edge_ports.Framing.CLOSE
        if self._is_broken_off(exchange) or await self._ends_in_crash(
            exchange
        ):
            if await self._was_cut_unread():
                return RelayResult(edge_requests.Ambiguous('unread'))
            cause = 'connection closed' if ends_at_close else 'event cut'
            return RelayResult(edge_requests.Failed(cause))
        if ends_at_close and progress_at is None and self._needs_second_end():
            return RelayResult(edge_requests.Ambiguous('no event left'), head)
        if not self.caller.started:
            self.caller.start(head.status, head.headers)
        self.caller.finish()
        return RelayResult(
            edge_requests.Delivered('answered', head.status), head
        )

    async def _read_events(self, exchange: edge_ports.ServerExchange) -> bytes:
        """Return what comes next; raise TimeoutError if that is too late."""
        while True:
            try:
                async with asyncio.timeout(self._event_gap_timeout_s()):
                    return await self.connection.read(exchange)
            except TimeoutError:
                if self._may_give_up():
                    raise

    def _may_give_up(self) -> bool:
        """Return whether to end the attempt at a server that is silent.

        Its streams end at once, and the first of them may use up the retry
        budget: those without a retry would end in the middle.
        """
        return (
            self._time_left_s() + DEADLINE_SLACK_S <= MIN_WAIT_S
            or self.alternatives.reserve_retry()
        )

    async def _wait_until_drained(self) -> None:
        """Wait for the caller; note if that takes long.

        A connection that breaks meanwhile is noticed only when what came
        before has been read.
        """
        started_at = self.context.clock()
        await self.caller.wait_until_drained()
        waited_s = self.context.clock() - started_at
        if waited_s >= slow_reader_policy.UNREAD_S:
            self.was_unread = True

    async def _was_cut_unread(self) -> bool:
        """Return whether a server that is up cut off an unread stream."""
        return (
            self.was_unread
            and self.request.route.resumable
            and not await self.context.crashes.has_crashed(self.server)
        )

    async def _ends_in_crash(
        self, exchange: edge_ports.ServerExchange
    ) -> bool:
        """Return whether a crash may have ended a response without framing.

        Its connection is used up, so the probe's takes its place.
        """
        if exchange.framing is not edge_ports.Framing.CLOSE:
            return False
        return await self.context.crashes.has_crashed(self.server)

    def _is_broken_off(self, exchange: edge_ports.ServerExchange) -> bool:
        """Check whether an ended event stream lacks its rest.

        A stream that ends with its connection looks the same whether its
        server finished or failed, unless it ends inside an event or before
        the first one.
        """
        if self.event_buffer.is_inside_event:
            return True
        return (
            self.request.caller_request.method != b'HEAD'
            and exchange.framing is edge_ports.Framing.CLOSE
            and not self.caller.started
            and self.event_buffer.last_event_id is None
        )

    def _needs_second_end(self) -> bool:
        """Check whether another server should confirm the end of a stream.

        A resumed answer without framing and without events looks the same
        whether its server had no event left or failed before the next one.
        """
        if (
            self.event_buffer.last_event_id is None
            or self.request.caller_request.method == b'HEAD'
        ):
            return False
        is_second = self.event_buffer.has_unconfirmed_end
        self.event_buffer.has_unconfirmed_end = True
        return not is_second and bool(self.alternatives.list_untried())

    def _event_gap_timeout_s(self) -> float:
        """Return how long to wait for the next event, in seconds."""
        timeout_s = self._time_left_s() + DEADLINE_SLACK_S
        if self.alternatives.can_fail_over():
            timeout_s = min(
                timeout_s,
                response_timeouts.event_gap_timeout_s(self.request.route),
            )
        return max(0.0, timeout_s)
