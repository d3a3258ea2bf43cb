"""Take HTTP/1.1 requests from callers and answer them in order.

A request is handed on when it is whole.  What would leave its end in doubt
(two lengths, a length beside chunks, folded or bare lines) is refused and
the connection closed, so that nothing can be smuggled behind it.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import typing

import httptools

from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing
from arbutusvale.transport import socket_options

# Requests that a caller sends before it has the answer to the first.
MAX_BACKLOG = 64 * 1024
# Time for a caller to read the last answer before the connection ends.
LINGER_S = 1.0
# Times are checked at this pace; limits of callers are seconds.
CHECK_S = 0.5

_REASONS = {
    200: b'OK',
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}
_ONCE = frozenset((b'host', b'content-length', b'transfer-encoding'))
_BODILESS = (204, 304)

Serve = Callable[[proxying.CallerRequest, 'CallerConnection'], Awaitable[None]]


class EdgeServer:
    """Hold the open connections of callers and their common limits."""

    def __init__(
        self,
        serve: Serve,
        limits: Callable[[], routing.CallerLimits],
        body_budget: int,
        note: Callable[..., None],
        count_sent: Callable[[int], None],
        most_connections: int,
    ):
        self.most_connections = most_connections
        self.on_capacity_freed: Callable[[], None] = _tell_nobody
        self.serve = serve
        self.limits = limits
        self.body_budget = body_budget
        self.body_bytes = 0
        self.note = note
        self.count_sent = count_sent
        self.connections: set[CallerConnection] = set()
        self.draining = False

    def make_connection(self) -> 'CallerConnection':
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    async def run(self) -> None:
        """Check the time limits of all connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_S)
            now = loop.time()
            for connection in list(self.connections):
                connection.check_time(now)

    def has_capacity(self, opening: int) -> bool:
        """Tell whether a connection may be opened beside those just opening.

        Idle connections count as room, as they give way.
        """
        surplus = len(self.connections) + opening + 1 - self.most_connections
        if surplus <= 0:
            return True
        return sum(one.is_idle() for one in self.connections) >= surplus

    def make_room(self) -> None:
        """Close the connection that has idled longest if there is no room."""
        if len(self.connections) < self.most_connections:
            return
        idle = [one for one in self.connections if one.is_idle()]
        if idle:
            min(idle, key=lambda one: one.idle_since).give_way()

    def is_full(self) -> bool:
        """Tell whether each connection that may be open has a request."""
        return len(self.connections) >= self.most_connections and not any(
            one.is_idle() for one in self.connections
        )

    def close_idle(self) -> None:
        """Close the connections that wait for no answer."""
        for connection in list(self.connections):
            connection.close_if_idle()


class CallerConnection(asyncio.Protocol):
    """Parse the requests of one connection and write the answers."""

    def __init__(self, server: EdgeServer):
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task | None = None
        self.waiting: collections.deque[proxying.CallerRequest] = (
            collections.deque()
        )
        self.backlog = b''
        self.refusal = 0
        self.last = False
        self.lost = False
        self.ending = False
        self.idle_since = self.loop.time()
        self.idle_limit_s = server.limits().idle_timeout_s
        self.writable: asyncio.Future | None = None
        self.raw_bytes = 0
        self._reset_request()
        self._reset_answer()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = typing.cast(asyncio.Transport, transport)
        socket_options.harden(transport, socket_options.CALLER_PROBING)
        self.server.make_room()
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse a caller's bytes, or keep them while an answer is due."""
        if self.ending or self.refusal:
            return
        if self.task is not None:
            self.backlog += data
            if len(self.backlog) > MAX_BACKLOG:
                self.transport.pause_reading()
            return
        self._feed(data)

    def eof_received(self) -> None:
        """Treat a closed sending side as a caller that has left."""

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in flight."""
        self.lost = True
        self.server.connections.discard(self)
        self._free_body()
        self.server.on_capacity_freed()
        if self.writable is not None and not self.writable.done():
            self.writable.set_result(None)
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Hold the answer while the caller doesn't read."""
        self.writable = self.loop.create_future()

    def resume_writing(self) -> None:
        """Go on with the answer."""
        if self.writable is not None and not self.writable.done():
            self.writable.set_result(None)
        self.writable = None

    # Called by the server.

    def check_time(self, now: float) -> None:
        """End a connection that idles or sends too slowly."""
        if self.task is not None or self.ending:
            return
        if self.received_at is not None:
            limits = self.server.limits()
            limit_s = limits.header_timeout_s
            if self.head_done:
                limit_s += limits.idle_timeout_s
            if now - self.received_at > limit_s:
                self._refuse(408)
        elif now - self.idle_since > self.idle_limit_s:
            self._end()

    def is_idle(self) -> bool:
        """Tell whether no request is being received or answered."""
        return (
            self.task is None and self.received_at is None and not self.ending
        )

    def close_if_idle(self) -> None:
        """Close unless a request is being received or answered."""
        if self.is_idle():
            self._end()

    def give_way(self) -> None:
        """Close at once for another connection."""
        self.ending = True
        self.server.connections.discard(self)
        self.transport.close()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_request()
        self.received_at = self.loop.time()

    def on_url(self, data: bytes) -> None:
        """Collect the request target."""
        self.target += data
        self.head_bytes += len(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if self.head_done:
            return
        name = name.lower()
        self.head_bytes += len(name) + len(value) + 4
        if name in _ONCE:
            if name in self.framing:
                self.refusal = 400
            self.framing[name] = value
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head against the limits."""
        self.head_done = True
        limits = self.server.limits()
        length = self.framing.get(b'content-length')
        coding = self.framing.get(b'transfer-encoding')
        self.has_body = length is not None or coding is not None
        if self.head_bytes > limits.max_header_bytes:
            self._note_refusal(431)
        elif coding is not None and coding.strip().lower() != b'chunked':
            self._note_refusal(400)
        elif coding is not None and length is not None:
            self._note_refusal(400)
        elif length is not None and not length.strip().isdigit():
            self._note_refusal(400)
        elif length is not None and int(length) > limits.max_body_bytes:
            self._note_refusal(413)
        elif self._expects_continue() and not self.refusal:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, data: bytes) -> None:
        """Collect the body within the limits."""
        if self.refusal:
            return
        self.body.append(data)
        self.body_size += len(data)
        self.server.body_bytes += len(data)
        if self.body_size > self.server.limits().max_body_bytes:
            self._note_refusal(413)
        elif self.server.body_bytes > self.server.body_budget:
            self._note_refusal(503)

    def on_message_complete(self) -> None:
        """Queue the whole request."""
        if self.refusal:
            return
        self.last = not self.parser.should_keep_alive()
        self.old_version = self.parser.get_http_version() == '1.0'
        self.waiting.append(
            proxying.CallerRequest(
                method=self.parser.get_method(),
                target=self.target,
                headers=self.headers,
                body=b''.join(self.body),
                received_at=self.received_at,
                has_body=self.has_body,
            )
        )
        self.body = []
        self.received_at = None

    # Called by who answers.

    def send_response(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole answer."""
        self.started = True
        self.finished = True
        lines = self._begin_head(status, headers)
        if status not in _BODILESS:
            lines.append(b'Content-Length: %d\r\n' % len(body))
        lines.append(b'\r\n')
        if not self.is_head and status not in _BODILESS:
            lines.append(body)
        self._write(b''.join(lines))

    def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer whose length isn't known."""
        self.started = True
        self.chunked = not self.old_version
        if self.old_version:
            self.last = True
        lines = self._begin_head(status, headers)
        if self.chunked:
            lines.append(b'Transfer-Encoding: chunked\r\n')
        lines.append(b'\r\n')
        self._write(b''.join(lines))

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not data:
            return
        if self.chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._write(data)

    def finish(self) -> None:
        """End the body as complete."""
        self.finished = True
        if self.chunked:
            self._write(b'0\r\n\r\n')

    def abort(self) -> None:
        """Reset the connection, so that no answer looks complete."""
        if self.transport is not None and not self.lost:
            self.transport.abort()

    async def wait_until_drained(self) -> None:
        """Wait until the caller has read most of what was sent."""
        if self.writable is not None:
            await self.writable

    # Parsing and order.

    def _reset_request(self) -> None:
        """Forget the request that was parsed last."""
        self.target = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.framing: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.body_size = 0
        self.head_bytes = 0
        self.head_done = False
        self.has_body = False
        self.old_version = False
        self.received_at: float | None = None

    def _reset_answer(self) -> None:
        """Prepare for the next answer."""
        self.started = False
        self.finished = False
        self.chunked = False
        self.is_head = False

    def _feed(self, data: bytes) -> None:
        """Give bytes to the parser and act on what it found."""
        if not self.head_done:
            self.raw_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The offer to switch protocols is ignored, as it may be.
            self.last = True
        except httptools.HttpParserError:
            self.refusal = self.refusal or 400
        if self.waiting:
            self.raw_bytes = 0
            self._begin_next()
        elif self.refusal:
            self._refuse(self.refusal)
        elif self.head_done:
            self.raw_bytes = 0
        elif self.raw_bytes > self.server.limits().max_header_bytes:
            self._refuse(431)

    def _begin_next(self) -> None:
        """Serve the request that has waited longest."""
        request = self.waiting.popleft()
        self._reset_answer()
        self.is_head = request.method == b'HEAD'
        self.task = self.loop.create_task(self._serve(request))

    async def _serve(self, request: proxying.CallerRequest) -> None:
        """Have one request answered and go on with the next."""
        try:
            await self._notice_end()
            await self.server.serve(request, self)
        finally:
            self.task = None
            self.server.body_bytes -= len(request.body)
            if not self.lost:
                self._go_on()

    async def _notice_end(self) -> None:
        """Let the end of a connection that came with a request be seen.

        A request may have waited for this process until its caller left.
        The event loop reads the end in its next turn and reports it in the
        one after; both come before the request is served.
        """
        for _ in range(2):
            await asyncio.sleep(0)

    def _go_on(self) -> None:
        """Take up the next request, or end the connection."""
        if not self.finished:
            self.abort()
            return
        if self.last or self.server.draining:
            self._end()
            return
        if self.waiting:
            self._begin_next()
            return
        if self.refusal:
            self._refuse(self.refusal)
            return
        self.idle_since = self.loop.time()
        self.idle_limit_s = self.server.limits().idle_timeout_s
        if self.backlog:
            data, self.backlog = self.backlog, b''
            self.transport.resume_reading()
            self._feed(data)
        self.server.on_capacity_freed()

    def _note_refusal(self, status: int) -> None:
        """Remember the first reason to refuse the request."""
        self.refusal = self.refusal or status

    def _refuse(self, status: int) -> None:
        """Answer a request that can't be read, and close."""
        self.refusal = status
        self.server.note('unreadable', status=status, bytes=self.head_bytes)
        self._reset_answer()
        self.last = True
        headers = [(b'retry-after', b'0.5')] if status == 503 else []
        self.send_response(status, headers, b'{"error":"unreadable"}\n')
        self._end()

    def _expects_continue(self) -> bool:
        """Tell whether the caller waits before it sends the body."""
        return self.has_body and any(
            name == b'expect' and value.lower() == b'100-continue'
            for name, value in self.headers
        )

    def _free_body(self) -> None:
        """Give back the memory of a request that isn't whole."""
        if self.received_at is not None:
            self.server.body_bytes -= self.body_size
        for request in self.waiting:
            self.server.body_bytes -= len(request.body)
        self.waiting.clear()

    # Writing.

    def _begin_head(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> list[bytes]:
        """Return the lines of a head, without its end."""
        if self.server.draining:
            self.last = True
        reason = _REASONS.get(status, b'Status')
        lines = [b'HTTP/1.1 %d %b\r\n' % (status, reason)]
        lines.extend(b'%b: %b\r\n' % header for header in headers)
        if self.last:
            lines.append(b'Connection: close\r\n')
        return lines

    def _write(self, data: bytes) -> None:
        """Write unless the caller has left."""
        if not self.lost and self.transport is not None:
            self.transport.write(data)
            self.server.count_sent(len(data))

    def _end(self) -> None:
        """Close in order: what was sent arrives, later bytes are ignored.

        Closing with unread bytes would reset the connection and could take
        the answer with it.
        """
        if self.ending or self.lost:
            return
        self.ending = True
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.transport.resume_reading()
        self.loop.call_later(LINGER_S, self._close)

    def _close(self) -> None:
        """Close the connection at last."""
        if not self.lost:
            self.transport.close()


def _tell_nobody() -> None:
    """Stand in for the acceptor until it is wired."""
