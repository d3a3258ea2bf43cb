"""HTTP/1.1 client connections with one request at a time."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
import typing

import httptools

from arbutusvale import errors
from arbutusvale.coordination import slow_reader_policy
from arbutusvale.protocol import edge_ports
from arbutusvale.state import body_buffer
from arbutusvale.state import byte_budget
from arbutusvale.transport import socket_options

# With more unread data than this, reading from the server pauses.
_MAX_BUFFERED_BYTES = 256 * 1024
# Read at once: other connections wait while it is parsed, chunk by chunk.
_MAX_READ_BYTES = 64 * 1024
_MAX_HEAD_BYTES = 64 * 1024
_MAX_HEADERS = 1024
# Chunk extensions and trailers, which nobody reads.
_MAX_BODILESS_BYTES = 64 * 1024
_BODILESS_STATUSES = (204, 304)

Headers = list[tuple[bytes, bytes]]

_UNLIMITED = byte_budget.ByteBudget()
# Shared, as the data is parsed before the next read from any socket.
_read_buffer = memoryview(bytearray(_MAX_READ_BYTES))


class Head(typing.Protocol):
    """What a decoded response head must provide."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusHead:
    """A response head reduced to its status."""

    status: int


def decode_status(status: int, reason: bytes, headers: Headers) -> StatusHead:
    """Decode only the status of a response head."""
    return StatusHead(status)


def find_framing(status: int, headers: Headers) -> edge_ports.Framing:
    """Return what marks the end of a body; header names are lower-case."""
    names = {name for name, _ in headers}
    if b'transfer-encoding' in names:
        return edge_ports.Framing.CHUNKED
    if b'content-length' in names or status in _BODILESS_STATUSES:
        return edge_ports.Framing.LENGTH
    return edge_ports.Framing.CLOSE


class Exchange:
    """One request's response, as far as it has arrived.

    ``decode`` turns status, reason and headers into a head; it returns None
    for a response to another request, which is then skipped.
    """

    def __init__(
        self,
        decode: Callable[[int, bytes, Headers], Head | None],
        bodiless: bool,
    ):
        self.decode = decode
        self.bodiless = bodiless
        self.head: asyncio.Future = asyncio.get_running_loop().create_future()
        self.framing: edge_ports.Framing | None = None
        self.body = body_buffer.BodyBuffer()
        self.ended = False
        self.error: errors.ServerFailed | None = None
        self.data_available: asyncio.Future | None = None

    def append_body(self, data: bytes) -> None:
        """Append a chunk to the body."""
        self.body.append(data)
        self._wake()

    def finish(self) -> None:
        """Mark the response as complete."""
        self.ended = True
        self._wake()

    def fail(self, error: errors.ServerFailed) -> None:
        """Mark the response as failed, unless it is complete."""
        if self.ended or self.error is not None:
            return
        self.error = error
        if not self.head.done():
            self.head.set_exception(error)
            self.head.exception()
        self._wake()

    async def wait_for_data(self) -> None:
        """Wait for data, the end of the body or a failure."""
        if self.body.data or self.ended or self.error is not None:
            return
        self.data_available = asyncio.get_running_loop().create_future()
        try:
            await self.data_available
        finally:
            self.data_available = None

    def read_buffered(self) -> bytes:
        """Return and clear the received part of the body."""
        return self.body.take()

    def _wake(self) -> None:
        """Wake the coroutine in ``wait_for_data``."""
        if self.data_available is not None and not self.data_available.done():
            self.data_available.set_result(None)


class HttpConnection(asyncio.BufferedProtocol):
    """A connection to one server: sends requests and parses responses.

    ``on_close`` is called when the connection ends.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.headers: Headers = []
        self.reason = b''
        self.framing = edge_ports.Framing.CLOSE
        self.skip_response = False
        self.in_body = False
        # Whether data has arrived since the request was sent.
        self.receiving = False
        self.head_bytes = 0
        # Received within a body since the last bytes that belong to it.
        self.bodiless_bytes = 0
        self.reusable = True
        self.closed = False
        # Whether this side has closed it.
        self.closing = False
        self.requests = 0
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.on_close: Callable[[], None] | None = None
        self.on_bytes_sent: Callable[[int], None] = _ignore_bytes_sent
        self.budget = _UNLIMITED
        # What counts in the budget: of the response and of the request.
        self.unread_bytes = 0
        self.unsent_bytes = 0

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable keepalive probes."""
        self.transport = typing.cast(asyncio.Transport, transport)
        socket_options.apply(transport, socket_options.SERVER_KEEPALIVE)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to: less if much is held already."""
        budget = self.budget
        if budget.held_bytes <= budget.calm_bytes:
            return _read_buffer
        return _read_buffer[
            : slow_reader_policy.read_size(
                budget.limit_bytes, budget.held_bytes, _MAX_READ_BYTES
            )
        ]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        self.data_received(_read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse a response; unsolicited data closes the connection."""
        if self.exchange is None:
            self.abort()
            return
        self.receiving = True
        if self.unsent_bytes:
            self._count_unsent()
        if self.in_body:
            self.bodiless_bytes += len(data)
        else:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._count_unread()
            self._fail(f'no valid answer: {type(error).__name__}')
            return
        self._count_unread()
        if not self.in_body and (
            self.head_bytes > _MAX_HEAD_BYTES
            or len(self.headers) > _MAX_HEADERS
        ):
            self._fail('the head of the answer is too long')
        if self.bodiless_bytes > _MAX_BODILESS_BYTES:
            self._fail('the answer goes on without a body')
        if (
            self.exchange is not None
            and self.unread_bytes
            > slow_reader_policy.allowance_bytes(
                self.budget.limit_bytes,
                self.budget.held_bytes,
                _MAX_BUFFERED_BYTES,
            )
        ):
            self.transport.pause_reading()

    def eof_received(self) -> None:
        """Let the transport close."""

    def resume_writing(self) -> None:
        """Count what the server has taken of a request."""
        self._count_unsent()

    def connection_lost(self, error: Exception | None) -> None:
        """End the response, as complete if only the close ends its body."""
        self.closed = True
        self.reusable = False
        self._release_unsent()
        exchange, self.exchange = self.exchange, None
        if self.on_close is not None:
            self.on_close()
        if exchange is None:
            return
        ends_at_close = (
            self.in_body
            and self.framing is edge_ports.Framing.CLOSE
            and not self.skip_response
        )
        if ends_at_close and error is None:
            exchange.finish()
        else:
            cause = 'closed' if error is None else type(error).__name__
            exchange.fail(errors.ServerFailed(f'connection {cause}', True))

    # Called by the owner.

    def send(
        self,
        request: bytes,
        decode: Callable[[int, bytes, Headers], Head | None],
        bodiless: bool = False,
    ) -> Exchange:
        """Send a request and return its exchange."""
        self.exchange = Exchange(decode, bodiless)
        self.requests += 1
        self.receiving = False
        self.head_bytes = 0
        self.bodiless_bytes = 0
        if self.closed or self.transport is None:
            self.exchange.fail(errors.ServerFailed('connection closed', False))
            return self.exchange
        self.transport.write(request)
        self._count_unsent()
        self.on_bytes_sent(len(request))
        return self.exchange

    async def read(self, exchange: Exchange) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raise ServerFailed if the response is incomplete.
        """
        await exchange.wait_for_data()
        data = exchange.read_buffered()
        if data:
            self._release_unread()
            if self.transport is not None and not self.closed:
                self.transport.resume_reading()
            return data
        if exchange.error is not None:
            raise exchange.error
        return b''

    async def read_all(self, exchange: Exchange) -> bytes:
        """Return the whole body; raise ServerFailed."""
        parts = []
        while data := await self.read(exchange):
            parts.append(data)
        return b''.join(parts)

    def release(self) -> bool:
        """End a complete exchange; return whether to reuse the connection."""
        self.exchange = None
        self._release_unread()
        self.receiving = False
        self.idle_since = time.monotonic()
        if self.closed or not self.reusable or self.transport is None:
            self.abort()
            return False
        if self.transport.get_write_buffer_size():
            # The server responded before it had read the whole request.
            self.abort()
            return False
        self.transport.resume_reading()
        return True

    def abort(self) -> None:
        """Close at once and discard unsent and unread data."""
        self._release_unread()
        self._close()

    def _close(self) -> None:
        """Close at once; what has arrived of the response can be read."""
        self._release_unsent()
        self.reusable = False
        self.closing = True
        if self.transport is not None and not self.closed:
            self.transport.abort()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a response; after an unsolicited one, don't reuse."""
        self.headers = []
        self.reason = b''
        self.framing = edge_ports.Framing.CLOSE
        self.skip_response = False
        self.in_body = False
        if self.exchange is None or self.exchange.ended:
            self.reusable = False
            self.skip_response = True

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; ignore trailers."""
        if not self.in_body and len(self.headers) <= _MAX_HEADERS:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decode the head; skip interim and mismatched responses."""
        status = self.parser.get_status_code()
        exchange = self.exchange
        headers, self.headers = self.headers, []
        if self.skip_response or exchange is None:
            return
        if len(headers) > _MAX_HEADERS:
            self.skip_response = True
            self._fail('the head of the answer is too long')
            return
        if status < 200:
            self.skip_response = True
            return
        self.in_body = True
        self.framing = find_framing(status, headers)
        head = exchange.decode(status, self.reason, headers)
        if head is None:
            self.skip_response = True
            self.reusable = False
            return
        exchange.framing = self.framing
        if (
            self.framing is edge_ports.Framing.CLOSE
            or not self.parser.should_keep_alive()
        ):
            self.reusable = False
        if not exchange.head.done():
            exchange.head.set_result(head)
        if exchange.bodiless:
            self.reusable = False
            exchange.finish()

    def on_body(self, data: bytes) -> None:
        """Append a chunk to the exchange."""
        self.bodiless_bytes = 0
        if not self.skip_response and self.exchange is not None:
            self.exchange.append_body(data)

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self.skip_response:
            self.skip_response = False
            self.in_body = False
            return
        if self.exchange is not None:
            self.exchange.finish()

    def _fail(self, cause: str) -> None:
        """Fail the exchange in flight and close."""
        exchange = self.exchange
        if exchange is not None and not exchange.ended:
            exchange.fail(errors.ServerFailed(cause, True))
        self._close()

    # Counting in the budget.

    def _count_unread(self) -> None:
        """Count the memory of the response that hasn't been passed on."""
        exchange = self.exchange
        if exchange is not None and exchange.body.data:
            unread_bytes = exchange.body.allocated_bytes()
            difference = unread_bytes - self.unread_bytes
            self.unread_bytes = unread_bytes
            self.budget.change(difference)

    def _release_unread(self) -> None:
        """Count the response no longer."""
        if self.unread_bytes:
            self.budget.change(-self.unread_bytes)
            self.unread_bytes = 0

    def _count_unsent(self) -> None:
        """Count the bytes of the request that the server hasn't taken."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self.unsent_bytes:
            difference = unsent_bytes - self.unsent_bytes
            self.unsent_bytes = unsent_bytes
            self.budget.change(difference)

    def _release_unsent(self) -> None:
        """Count the bytes of a discarded request no longer."""
        self.budget.change(-self.unsent_bytes)
        self.unsent_bytes = 0


def _ignore_bytes_sent(count: int) -> None:
    """Default of ``on_bytes_sent``."""


async def open_connection(
    host: str, port: int, timeout_s: float
) -> HttpConnection:
    """Connect to a server; raise ServerFailed, with nothing sent."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                HttpConnection, host, port
            )
    except TimeoutError as error:
        raise errors.ServerFailed('no connection in time', False) from error
    except OSError as error:
        raise errors.ServerFailed(
            f'no connection: {type(error).__name__}',
            False,
            isinstance(error, ConnectionRefusedError),
        ) from error
    return connection
