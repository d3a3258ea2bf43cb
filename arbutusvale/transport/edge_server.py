"""HTTP/1.1 server of the edge router; responses are in request order.

A request is forwarded when it is complete.  The next one is parsed when the
response before it has ended.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import itertools
import typing

from arbutusvale import errors
from arbutusvale.coordination import slow_reader_policy
from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing
from arbutusvale.state import byte_budget
from arbutusvale.transport import request_parser
from arbutusvale.transport import response_encoder
from arbutusvale.transport import socket_options
from arbutusvale.transport import work_turns

# Limit of pipelined data that is buffered while a response is pending.
MAX_UNPARSED_BYTES = 64 * 1024
# The socket is closed so long after the last response at the earliest.
LINGER_S = 1.0
# Precise enough, as the timeouts of callers are seconds.
CHECK_INTERVAL_S = 0.5
# Least time between two searches for stalled callers.
CUT_INTERVAL_S = 0.02
# Until then, readers that hold most of the budget were cut or take bytes.
MAX_CUT_WAIT_S = 0.2
# Cancelled requests end within this time.
_CANCEL_TIMEOUT_S = 0.1
# A response pauses with more unsent data than this.
MAX_UNSENT_BYTES = 64 * 1024
# Read from a socket at once.
_MAX_READ_BYTES = 16 * 1024
# Steps of parsing in one turn of the event loop, of all connections.
_MAX_STEPS = 32

# Shared, as the data is parsed or copied before the next read.
_read_buffer = memoryview(bytearray(_MAX_READ_BYTES))

Serve = Callable[[proxying.CallerRequest, 'CallerConnection'], Awaitable[None]]


class EdgeServer:
    """The callers' open connections and their common limits.

    ``max_held_bytes`` limits what requests and responses take in memory at a
    time, here and on the connections that share the ``budget``.  ``on_cut`` is
    called when a slow reader's connection is cut.
    """

    def __init__(
        self,
        serve: Serve,
        limits: Callable[[], routing.CallerLimits],
        max_held_bytes: int,
        write_event: Callable[..., None],
        on_bytes_sent: Callable[[int], None],
        max_connections: int,
    ):
        self.max_connections = max_connections
        self.on_capacity_freed: Callable[[], None] = _ignore_freed_capacity
        self.serve = serve
        self.limits = limits
        self.budget = byte_budget.ByteBudget(
            max_held_bytes, slow_reader_policy.calm_bytes(max_held_bytes)
        )
        self.budget.on_added = self.cut_if_spent
        # Callers' connections with unsent bytes, as far as noticed.
        self.slow_readers: set[CallerConnection] = set()
        self.next_cut_at = 0.0
        self.on_cut: Callable[[], None] = _ignore_cut
        self.write_event = write_event
        self.on_bytes_sent = on_bytes_sent
        self.connections: set[CallerConnection] = set()
        # Those that can be evicted, in the order in which they came to be so:
        # idle, with a last response that isn't taken, and with a part of a
        # request.
        self.idle: dict[CallerConnection, None] = {}
        self.ending: dict[CallerConnection, None] = {}
        self.receiving: dict[CallerConnection, None] = {}
        self.turns = work_turns.WorkTurns(_MAX_STEPS)
        self.draining = False
        # Whether the process ends, and no request may begin.
        self.ended = False

    def make_connection(self) -> 'CallerConnection':
        """Return the protocol instance of a new connection."""
        return CallerConnection(self)

    async def run(self) -> None:
        """Check the timeouts of all connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            # After a stall, sockets hold requests that weren't read yet.
            await asyncio.sleep(0)
            now = loop.time()
            self._count_unsent()
            for connection in list(self.connections):
                connection.check_timeouts(now)
            self.cut_if_spent()
            # By now, more connections may be evicted.
            self.on_capacity_freed()

    def allowance_bytes(self, maximum: int) -> int:
        """Return how many bytes one connection may buffer now."""
        return slow_reader_policy.allowance_bytes(
            self.budget.limit_bytes, self.budget.held_bytes, maximum
        )

    async def wait_for_cuts(self) -> None:
        """Wait, for a while, with a nearly spent budget."""
        budget = self.budget
        waited_s = 0.0
        while waited_s < MAX_CUT_WAIT_S and slow_reader_policy.must_wait(
            budget.limit_bytes, budget.held_bytes
        ):
            await asyncio.sleep(CUT_INTERVAL_S)
            waited_s += CUT_INTERVAL_S
            self.cut_if_spent()

    def cut_if_spent(self) -> None:
        """Cut stalled callers if the budget is nearly spent."""
        budget = self.budget
        if not slow_reader_policy.must_cut(
            budget.limit_bytes, budget.held_bytes
        ):
            return
        now = asyncio.get_running_loop().time()
        if now < self.next_cut_at:
            return
        self.next_cut_at = now + CUT_INTERVAL_S
        self._count_unsent()
        stalled = [
            (reader.unsent_bytes, reader.taken_at, reader.cut)
            for reader in self.slow_readers
        ] + [
            (
                sender.request_cost_bytes,
                sender.parser.received_at,
                sender.refuse_incomplete,
            )
            for sender in self.receiving
            if sender.is_receiving()
        ]
        cuts = slow_reader_policy.choose_cuts(
            (
                slow_reader_policy.Holder(number, held_bytes, now - since)
                for number, (held_bytes, since, _) in enumerate(stalled)
            ),
            budget.limit_bytes,
            budget.held_bytes,
        )
        for number in cuts:
            stalled[number][-1]('budget')

    def _count_unsent(self) -> None:
        """Count anew what slow readers haven't taken."""
        for connection in list(self.slow_readers):
            connection.count_unsent(0)

    def has_capacity(self, opening: int) -> bool:
        """Return whether one more may be opened beside ``opening`` others.

        What can be evicted counts as capacity.
        """
        excess = len(self.connections) + opening + 1 - self.max_connections
        if excess <= 0:
            return True
        evictable = itertools.islice(self._iterate_evictable(), excess)
        return sum(1 for _ in evictable) == excess

    def evict_connection(self) -> None:
        """At the limit, close a connection that nothing is served on."""
        if len(self.connections) < self.max_connections:
            return
        for connection in self._iterate_evictable():
            connection.evict()
            return

    def is_full(self) -> bool:
        """Return whether the limit is reached and nothing can be evicted."""
        return not self.has_capacity(0)

    def _iterate_evictable(self) -> 'Iterator[CallerConnection]':
        """Yield the connections that may be closed to make room, in order."""
        stalled_since = (
            asyncio.get_running_loop().time() - slow_reader_policy.MIN_STALL_S
        )
        yield from self.idle
        for group in (self.ending, self.receiving):
            for connection in group:
                if not connection.is_stalled(stalled_since):
                    break
                yield connection

    def refuse_incomplete(self) -> None:
        """Refuse the requests that haven't been received in full."""
        for connection in list(self.connections):
            connection.refuse_incomplete('stopping')

    async def cancel_requests(self) -> int:
        """End what is left of all requests, as the process ends.

        Return how many complete responses their callers haven't taken.
        """
        self.ended = True
        tasks = [
            connection.task
            for connection in self.connections
            if connection.task is not None
        ]
        for connection in list(self.connections):
            connection.discard_requests()
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=_CANCEL_TIMEOUT_S)
        return sum(
            connection.cut_unsent() for connection in list(self.connections)
        )

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            connection.close_if_idle()


class CallerConnection(asyncio.BufferedProtocol):
    """One caller's connection: parses requests and writes responses."""

    def __init__(self, server: EdgeServer):
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.parser = request_parser.RequestParser(
            server.limits, self._may_hold, self._send_continue, self.loop.time
        )
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task | None = None
        # The memory that the request that is served takes.
        self.served_cost_bytes = 0
        self.unparsed_data = bytearray()
        # Whether parsing goes on in another turn of the event loop.
        self.is_deferred = False
        # What counts in the budget for requests, served or not.
        self.request_cost_bytes = 0
        self.close_after_response = False
        # Whether a response on this connection is complete.
        self.has_responded = False
        self.disconnected = False
        self.closing = False
        self.closing_since = self.loop.time()
        # Connections that can be evicted for the same reason.
        self.group: dict[CallerConnection, None] | None = None
        self.idle_since = self.loop.time()
        self.idle_limit_s = server.limits().idle_timeout_s
        self.write_resumed: asyncio.Future | None = None
        self.unsent_bytes = 0
        # When the caller last took bytes of those that were sent.
        self.taken_at = self.loop.time()
        self.has_small_buffer = False
        self.response = response_encoder.ResponseEncoder(False, False)
        self.was_paused = False

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, evicting another one if needed."""
        self.transport = typing.cast(asyncio.Transport, transport)
        socket_options.apply(transport, socket_options.CALLER_KEEPALIVE)
        self.server.evict_connection()
        self.server.connections.add(self)
        self._update_group()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to: less if much is held already."""
        budget = self.server.budget
        if budget.held_bytes <= budget.calm_bytes:
            return _read_buffer
        return _read_buffer[
            : slow_reader_policy.read_size(
                budget.limit_bytes, budget.held_bytes, _MAX_READ_BYTES
            )
        ]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse or keep what was read."""
        self.data_received(_read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse a caller's data, or buffer it while a response is pending."""
        if self.closing or self.parser.error_status or self.server.ended:
            return
        if (
            self.task is None
            and not self.unparsed_data
            and len(data) <= self.parser.step_bytes
            and self.server.turns.take_step()
        ):
            self._parse(data)
        else:
            self.unparsed_data += data
            self._parse_unparsed()
        self._count_requests()

    def eof_received(self) -> None:
        """Treat a half-closed connection as a disconnect."""

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in flight."""
        self.disconnected = True
        self.server.connections.discard(self)
        self.discard_requests()
        self._set_unsent(0)
        self.server.on_capacity_freed()
        if self.write_resumed is not None and not self.write_resumed.done():
            self.write_resumed.set_result(None)
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Pause the response while the caller reads too slowly."""
        self.write_resumed = self.loop.create_future()

    def resume_writing(self) -> None:
        """Resume the response."""
        self.count_unsent(0)
        if self.write_resumed is not None and not self.write_resumed.done():
            self.write_resumed.set_result(None)
        self.write_resumed = None

    # Called by the server.

    def check_timeouts(self, now: float) -> None:
        """Close if idle, or receiving or sending for too long."""
        received_at = self.parser.received_at
        if (
            self.unsent_bytes
            and (self.finished or self.closing)
            and now - self.taken_at > self.idle_limit_s
        ):
            self.cut('idle')
            return
        if self.task is not None or self.closing:
            return
        if received_at is not None:
            limits = self.server.limits()
            limit_s = limits.header_timeout_s
            if self.parser.head_complete:
                limit_s += limits.idle_timeout_s
            if now - received_at > limit_s:
                self._reject(408)
        elif self.is_idle() and now - self.idle_since > self.idle_limit_s:
            self._close_gracefully()

    def is_idle(self) -> bool:
        """Return whether no request is being received or served."""
        return not (
            self.task is not None
            or self.parser.is_receiving
            or self.unparsed_data
            or self.closing
        )

    def is_receiving(self) -> bool:
        """Return whether a request is being received and none is served."""
        return (
            self.task is None and self.parser.is_receiving and not self.closing
        )

    def close_if_idle(self) -> None:
        """Close unless a request is being received or served."""
        if self.is_idle():
            self._close_gracefully()

    def refuse_incomplete(self, cause: str) -> None:
        """Refuse a request that is being received; it won't run."""
        if not self.is_receiving():
            return
        self.server.write_event(
            'refused', status=503, cause=cause, bytes=self.parser.body_size
        )
        self._refuse_and_close(503, cause.encode())

    def is_stalled(self, stalled_since: float) -> bool:
        """Return whether it ends, or receives a request, since then."""
        since = self.closing_since if self.closing else self.parser.received_at
        return since is not None and since <= stalled_since

    def evict(self) -> None:
        """Close at once, to free capacity for a new connection."""
        self.refuse_incomplete('connections')
        self.closing = True
        self.server.connections.discard(self)
        self._update_group()
        if self.transport.get_write_buffer_size():
            self._abort_now()
        else:
            self.transport.close()

    def _update_group(self) -> None:
        """Join the connections in the same state, behind the others."""
        group = self._find_group()
        if group is not self.group:
            if self.group is not None:
                del self.group[self]
            if group is not None:
                group[self] = None
            self.group = group

    def _find_group(self) -> 'dict[CallerConnection, None] | None':
        """Return the connections in the same state, if it can be evicted."""
        if self not in self.server.connections:
            return None
        if self.closing:
            return self.server.ending
        if self.is_receiving():
            return self.server.receiving
        if self.is_idle() and not self.unsent_bytes:
            return self.server.idle
        return None

    def count_unsent(self, written_bytes: int) -> None:
        """Count what the caller hasn't taken yet, after writing some more."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if not self.unsent_bytes or (
            unsent_bytes < self.unsent_bytes + written_bytes
        ):
            self.taken_at = self.loop.time()
        self._set_unsent(unsent_bytes)

    def cut(self, cause: str) -> None:
        """Close the connection of a caller that has stopped reading."""
        self.server.write_event(
            'reader-cut',
            cause=cause,
            bytes=self.unsent_bytes,
            stalled=self.loop.time() - self.taken_at,
            held=self.server.budget.held_bytes,
        )
        self._set_unsent(0)
        self._abort_now()
        self.server.on_cut()

    def cut_unsent(self) -> bool:
        """Close if a response hasn't left this process, as the process ends.

        The system would end a body without a length as if it were whole.
        Return whether it was closed.
        """
        self.count_unsent(0)
        if not self.unsent_bytes:
            return False
        self.cut('stop')
        return True

    def discard_requests(self) -> None:
        """Drop the requests that wait for their turn or are incomplete."""
        if self.parser.queue or self.unparsed_data:
            self.server.write_event(
                'requests-dropped',
                count=len(self.parser.queue),
                unparsed=len(self.unparsed_data),
                closed_here=self.closing,
            )
        self.parser.discard()
        self.unparsed_data = bytearray()
        self._count_requests()

    # Called by the request handler.

    @property
    def started(self) -> bool:
        """Whether the response in flight has a head."""
        return self.response.started

    @property
    def finished(self) -> bool:
        """Whether the response in flight is complete."""
        return self.response.finished

    def send_response(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response."""
        self._send(
            self.response.encode_whole, status, headers, body, self._closes()
        )

    def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a response of unknown length."""
        if self.response.is_http_1_0:
            self.close_after_response = True
        self._send(self.response.encode_head, status, headers, self._closes())

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._send(self.response.encode_body, data)

    def finish(self) -> None:
        """Mark the body as complete."""
        self._send(self.response.encode_end)

    def abort(self) -> None:
        """Close the connection, so that no response looks complete.

        What the caller hasn't taken of responses before it is still sent.
        """
        if self.closing:
            return
        if not self.has_responded:
            self._abort_now()
        elif self.response.chunked or not self.started:
            self._close_gracefully()
        else:
            self._reset_once_taken()

    def _reset_once_taken(self) -> None:
        """Reset the connection once the caller has taken what was sent.

        Only a reset differs from the end of a body without a length.
        """
        raw_socket = self.transport.get_extra_info('socket')
        socket_options.reset_on_close(raw_socket)
        self.closing = True
        self.closing_since = self.loop.time()
        self._update_group()
        self.transport.resume_reading()
        self._close()

    def _abort_now(self) -> None:
        """Close at once and discard what the caller hasn't taken."""
        self.closing = True
        if self.transport is not None and not self.disconnected:
            if self.started and not self.response.chunked:
                # Only a reset differs from the end of such a body.
                raw_socket = self.transport.get_extra_info('socket')
                socket_options.reset_on_close(raw_socket)
            self.transport.abort()

    async def wait_until_drained(self) -> None:
        """Wait until the caller has read most of what was sent."""
        budget = self.server.budget
        if budget.held_bytes > budget.calm_bytes:
            await self.server.wait_for_cuts()
        if not self.unsent_bytes:
            return
        allowance = self.server.allowance_bytes(MAX_UNSENT_BYTES)
        if self.write_resumed is None and self.unsent_bytes > allowance:
            self._pause(allowance)
        if self.write_resumed is not None:
            await self.write_resumed
        if self.has_small_buffer and not self.disconnected:
            self.has_small_buffer = False
            self.transport.set_write_buffer_limits()

    def _pause(self, allowance: int) -> None:
        """Pause the response until few bytes are unsent."""
        if not self.was_paused:
            self.server.write_event(
                'reader-paused',
                bytes=self.unsent_bytes,
                held=self.server.budget.held_bytes,
            )
        self.was_paused = True
        self.has_small_buffer = True
        self.transport.set_write_buffer_limits(high=allowance)

    # Parsing and request order.

    def _begin_response(
        self, is_head_request: bool = False, is_http_1_0: bool = False
    ) -> None:
        """Begin the next response, if the last one is complete."""
        if self.started and not self.finished:
            self.abort()
            raise errors.ResponseOrderError('successor', 'its end')
        self.response = response_encoder.ResponseEncoder(
            is_head_request, is_http_1_0
        )
        self.was_paused = False

    def _parse_unparsed(self) -> None:
        """Parse a step of what was received before, and defer the rest."""
        if self.unparsed_data and self._may_parse():
            if self.server.turns.take_step():
                size = self.parser.step_bytes
                data = self.unparsed_data[:size]
                del self.unparsed_data[:size]
                self._parse(data)
            if self.unparsed_data and self._may_parse():
                self._defer()
        if self.parser.error_status:
            self.unparsed_data = bytearray()
        if len(self.unparsed_data) > self.server.allowance_bytes(
            MAX_UNPARSED_BYTES
        ):
            self.transport.pause_reading()
        elif not self.closing:
            self.transport.resume_reading()

    def _may_parse(self) -> bool:
        """Return whether the next request may begin."""
        return not (
            self.task is not None or self.parser.error_status or self.closing
        )

    def _defer(self) -> None:
        """Parse the rest in another turn of the event loop."""
        if not self.is_deferred:
            self.is_deferred = True
            self.server.turns.defer(self._resume_parsing)

    def _resume_parsing(self) -> None:
        """Parse what was deferred."""
        self.is_deferred = False
        self._parse_unparsed()
        self._count_requests()

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse a step of data, then start a request or reject it."""
        self.parser.feed(data)
        if self.closing:
            # It was cut meanwhile, so that its requests would be in vain.
            return
        if self.parser.queue:
            self._start_next_request()
        elif self.parser.error_status:
            self._reject(self.parser.error_status)

    def _start_next_request(self) -> None:
        """Start serving the first request of the queue."""
        queued = self.parser.queue.popleft()
        request = queued.request
        self._begin_response(request.method == b'HEAD', queued.is_http_1_0)
        self.close_after_response = queued.closes
        self.served_cost_bytes = queued.cost_bytes
        self.task = self.loop.create_task(self._serve(request))
        self.task.add_done_callback(self._release_served)

    async def _serve(self, request: proxying.CallerRequest) -> None:
        """Serve one request, then continue with the next."""
        try:
            await self._detect_disconnect()
            await self.server.serve(request, self)
            if self.finished:
                # Or responses to further requests would pile up.
                await self.wait_until_drained()
        finally:
            self.task = None
            self.served_cost_bytes = 0
            if not self.disconnected:
                self._on_response_end()
            self._count_requests()

    def _release_served(self, task: asyncio.Task) -> None:
        """Count a request no longer whose task was cancelled unstarted."""
        if self.task is task:
            self.task = None
            self.served_cost_bytes = 0
            self._count_requests()

    async def _detect_disconnect(self) -> None:
        """Let the event loop report a disconnect before serving a request.

        If this process was busy, the caller may have disconnected meanwhile.
        The event loop reads the end of the stream in its next iteration and
        calls ``connection_lost`` in the one after.
        """
        for _ in range(2):
            await asyncio.sleep(0)

    def _on_response_end(self) -> None:
        """Start the next request, or wait for one, or close."""
        if not self.finished:
            self.abort()
            return
        self.has_responded = True
        if self.close_after_response:
            self._close_gracefully()
            return
        if self.parser.queue:
            self._start_next_request()
            return
        if self.parser.error_status:
            self._reject(self.parser.error_status)
            return
        self.idle_since = self.loop.time()
        self.idle_limit_s = self.server.limits().idle_timeout_s
        if self.unparsed_data:
            self._parse_unparsed()
        if self.server.draining:
            self.close_if_idle()
        self.server.on_capacity_freed()

    def _reject(self, status: int) -> None:
        """Respond with an error to an invalid request, and close."""
        self.server.write_event(
            'unreadable', status=status, bytes=self.parser.head_bytes
        )
        self._refuse_and_close(status, b'unreadable')

    def _refuse_and_close(self, status: int, cause: bytes) -> None:
        """Refuse a request that was not received in full, and close."""
        self.parser.error_status = status
        self.parser.discard()
        self.unparsed_data = bytearray()
        self._count_requests()
        self._begin_response()
        self.close_after_response = True
        headers = [(b'retry-after', b'0.5')] if status == 503 else []
        self.send_response(status, headers, b'{"error":"%b"}\n' % cause)
        self._close_gracefully()

    def _may_hold(self, size: int) -> bool:
        """Return whether there is memory for an incomplete request."""
        budget = self.server.budget
        own_bytes = (
            size + len(self.unparsed_data) + self._complete_cost_bytes()
        )
        return slow_reader_policy.may_hold(
            budget.limit_bytes,
            budget.held_bytes - self.request_cost_bytes,
            own_bytes,
        )

    def _complete_cost_bytes(self) -> int:
        """Return the memory of the requests that are served or queued."""
        return self.served_cost_bytes + sum(
            queued.cost_bytes for queued in self.parser.queue
        )

    def _count_requests(self) -> None:
        """Count what the caller's requests take."""
        cost_bytes = (
            self.parser.cost_bytes
            + len(self.unparsed_data)
            + self._complete_cost_bytes()
        )
        difference = cost_bytes - self.request_cost_bytes
        self.request_cost_bytes = cost_bytes
        self._update_group()
        self.server.budget.change(difference)

    def _send_continue(self) -> None:
        """Ask the caller for the body."""
        self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    # Writing.

    def _closes(self) -> bool:
        """Return whether the connection ends after this response.

        At a stop it does, unless the caller has sent more that was read.
        """
        if self.server.draining and not (
            self.parser.queue
            or self.parser.is_receiving
            or self.parser.error_status
            or self.unparsed_data
        ):
            self.close_after_response = True
        return self.close_after_response

    def _send(self, encode: Callable[..., bytes], *arguments: object) -> None:
        """Encode a part of the response and write it.

        A part out of order would be taken for a part of the body, so the
        connection is closed in its place.
        """
        try:
            data = encode(*arguments)
        except errors.ResponseOrderError:
            self.abort()
            raise
        if data:
            self._write(data)

    def _write(self, data: bytes) -> None:
        """Write unless the caller has disconnected."""
        if not self.disconnected and not self.closing:
            self.transport.write(data)
            self.server.on_bytes_sent(len(data))
            if self.unsent_bytes or self.transport.get_write_buffer_size():
                self.count_unsent(len(data))

    def _set_unsent(self, unsent_bytes: int) -> None:
        """Record how many bytes the caller hasn't taken."""
        difference = unsent_bytes - self.unsent_bytes
        self.unsent_bytes = unsent_bytes
        if unsent_bytes:
            self.server.slow_readers.add(self)
        else:
            self.server.slow_readers.discard(self)
        self._update_group()
        self.server.budget.change(difference)

    def _close_gracefully(self) -> None:
        """Close gracefully: send the rest, ignore what is received.

        Closing a socket with unread data resets the connection, and the
        caller could lose the response.
        """
        if self.closing or self.disconnected:
            return
        self.closing = True
        try:
            if self.transport.can_write_eof():
                self.transport.write_eof()
        except OSError:
            # The caller has reset it, and the event loop doesn't know yet.
            self.transport.abort()
            return
        self.transport.resume_reading()
        self.closing_since = self.loop.time()
        self._update_group()
        self.loop.call_later(LINGER_S, self._close)

    def _close(self) -> None:
        """Close the socket once the caller has taken the response.

        What a caller sends to a closed socket makes the system discard the
        bytes that are on their way.
        """
        if self.disconnected:
            return
        raw_socket = self.transport.get_extra_info('socket')
        closes_by = self.closing_since + self.idle_limit_s
        if self.loop.time() < closes_by and (
            self.unsent_bytes or socket_options.count_untaken(raw_socket)
        ):
            self.loop.call_later(LINGER_S, self._close)
            return
        self.transport.close()


def _ignore_cut() -> None:
    """Default of ``on_cut``."""


def _ignore_freed_capacity() -> None:
    """Default of ``on_capacity_freed``."""
