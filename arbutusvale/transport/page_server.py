"""HTTP server of small text pages, as for readiness and metrics."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import sys
import typing
import zlib

import httptools

from arbutusvale.state import byte_budget
from arbutusvale.transport import http_fetch

# The head and body of a request.
MAX_REQUEST_BYTES = 16 * 1024
_READ_BYTES = 4096
# Pages up to this size are sent even when no memory is left for others.
_SMALL_PAGE_BYTES = 4096
_IDLE_TIMEOUT_S = 10.0
# A smaller page fits in one packet.
_MIN_COMPRESSED_BYTES = 1024
_COMPRESSION_LEVEL = 1

Page = Callable[[], tuple[int, str]]

# Shared, as the data is parsed before the next read from any socket.
_read_buffer = memoryview(bytearray(_READ_BYTES))


@dataclasses.dataclass(frozen=True, slots=True)
class _PageRequest:
    """A request for a page."""

    path: bytes
    accepts_compressed: bool
    keep_alive: bool


class PageServer:
    """The connections to one port, which respond with pages by path.

    Renders one page in each turn of the event loop.  From ``max_connections``
    on, a new connection closes the oldest one that has no unsent page, or is
    closed itself.  Unsent pages count in ``budget``; while it is spent, only
    small pages are sent.
    """

    def __init__(
        self,
        pages: dict[str, Page],
        max_connections: int = sys.maxsize,
        budget: byte_budget.ByteBudget | None = None,
    ):
        self.pages = pages
        self.max_connections = max_connections
        self.budget = budget or byte_budget.ByteBudget()
        # In order of age.
        self.connections: dict[PageConnection, None] = {}
        self.waiting: collections.deque[PageConnection] = collections.deque()

    def make_connection(self) -> 'PageConnection':
        """Return the protocol of a new connection."""
        return PageConnection(self)

    def add(self, connection: 'PageConnection') -> None:
        """Add a connection, and close one if there are too many."""
        if len(self.connections) >= self.max_connections:
            oldest = next(
                (each for each in self.connections if not each.unsent_bytes),
                connection,
            )
            self.connections.pop(oldest, None)
            oldest.transport.abort()
            if oldest is connection:
                return
        self.connections[connection] = None

    def schedule(self, connection: 'PageConnection') -> None:
        """Let a connection respond to its next request in its turn."""
        self.waiting.append(connection)
        if len(self.waiting) == 1:
            asyncio.get_running_loop().call_soon(self._respond_next)

    def render(self, request: _PageRequest) -> bytes:
        """Return the response to a request."""
        page = self.pages.get(request.path.decode('latin-1'))
        status, text = page() if page is not None else (404, 'no such page\n')
        body = text.encode()
        if len(body) > _SMALL_PAGE_BYTES and not self.budget.has_room(
            len(body)
        ):
            status, body = 503, b'no memory for this page\n'
        encoding = b''
        if request.accepts_compressed and len(body) >= _MIN_COMPRESSED_BYTES:
            body = zlib.compress(body, _COMPRESSION_LEVEL)
            encoding = http_fetch.ENCODING
        reason = 'OK' if status == 200 else 'Unavailable'
        return _format_response(
            status, reason, body, request.keep_alive, encoding
        )

    def _respond_next(self) -> None:
        """Let the connection that has waited longest respond."""
        try:
            self.waiting[0].respond()
        finally:
            self.waiting.popleft()
            if self.waiting:
                asyncio.get_running_loop().call_soon(self._respond_next)


class PageConnection(asyncio.BufferedProtocol):
    """A connection that responds to one request after the other.

    It reads on only when the responses to all requests read were sent.
    """

    def __init__(self, server: PageServer):
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.path = b''
        self.accepts_compressed = False
        # Received since the last complete request.
        self.request_bytes = 0
        self.requests: collections.deque[_PageRequest] = collections.deque()
        # What counts in the budget.
        self.unsent_bytes = 0
        self.transport: asyncio.Transport | None = None
        self.idle_timer: asyncio.TimerHandle | None = None

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timer."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        self._restart_idle_timer()
        self.server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the idle timer."""
        self.server.connections.pop(self, None)
        self._set_unsent(0)
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received data; close if a request is too long."""
        self.request_bytes += nbytes
        try:
            self.parser.feed_data(_read_buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()
            return
        if self.request_bytes > MAX_REQUEST_BYTES:
            self.transport.abort()
        elif self.requests:
            self.transport.pause_reading()
            self.server.schedule(self)

    def pause_writing(self) -> None:
        """Do nothing: the next response waits for an empty buffer."""

    def resume_writing(self) -> None:
        """Go on once the last response is sent."""
        self._set_unsent(0)
        self._go_on()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start parsing a request."""
        self.path = b''
        self.accepts_compressed = False

    def on_url(self, data: bytes) -> None:
        """Collect the path."""
        self.path += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the page may be compressed."""
        if name.lower() == b'accept-encoding':
            encodings = [each.strip() for each in value.lower().split(b',')]
            self.accepts_compressed = http_fetch.ENCODING in encodings

    def on_message_complete(self) -> None:
        """Queue the request."""
        self.request_bytes = 0
        self.requests.append(
            _PageRequest(
                self.path,
                self.accepts_compressed,
                self.parser.should_keep_alive(),
            )
        )

    # Called by the server.

    def respond(self) -> None:
        """Respond to the next request."""
        if self.transport.is_closing():
            return
        request = self.requests.popleft()
        self.transport.write(self.server.render(request))
        self._set_unsent(self.transport.get_write_buffer_size())
        self._restart_idle_timer()
        if not request.keep_alive:
            self.transport.close()
        elif not self.unsent_bytes:
            self._go_on()

    def _go_on(self) -> None:
        """Respond to what has been read, else read on."""
        if self.transport.is_closing():
            return
        if self.requests:
            self.server.schedule(self)
        else:
            self.transport.resume_reading()

    def _set_unsent(self, unsent_bytes: int) -> None:
        """Count the bytes of the last response that aren't sent."""
        self.server.budget.change(unsent_bytes - self.unsent_bytes)
        self.unsent_bytes = unsent_bytes

    def _restart_idle_timer(self) -> None:
        """Restart the timer that ends an idle connection or one not read."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = asyncio.get_running_loop().call_later(
            _IDLE_TIMEOUT_S, self.transport.abort
        )


def _format_response(
    status: int,
    reason: str,
    body: bytes,
    keep_alive: bool,
    encoding: bytes,
) -> bytes:
    """Return a complete response."""
    encoded = f'Content-Encoding: {encoding.decode()}\r\n' if encoding else ''
    close = '' if keep_alive else 'Connection: close\r\n'
    head = (
        f'HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\n'
        f'Content-Length: {len(body)}\r\n{encoded}{close}\r\n'
    )
    return head.encode() + body
