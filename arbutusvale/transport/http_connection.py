"""Speak HTTP/1.1 as a client, one request at a time on a connection."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
import typing

import httptools

from arbutusvale import errors
from arbutusvale.transport import socket_options

# A reader that falls behind by this much stops the server.
_MAX_BUFFERED = 256 * 1024
_MAX_HEAD = 64 * 1024
_NO_BODY = (204, 304)

Headers = list[tuple[bytes, bytes]]


class Head(typing.Protocol):
    """Name what a decoded answer head must tell this connection."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusHead:
    """Hold no more of an answer's head than its status."""

    status: int


def decode_status(status: int, reason: bytes, headers: Headers) -> StatusHead:
    """Decode a head of which only the status counts."""
    return StatusHead(status)


class Exchange:
    """Follow the answer to one request.

    ``decode`` turns status, reason and headers into a head; it returns None
    for an answer that belongs to another request, which is then skipped.
    """

    def __init__(
        self,
        decode: Callable[[int, bytes, Headers], Head | None],
        bodiless: bool,
    ):
        self.decode = decode
        self.bodiless = bodiless
        self.head: asyncio.Future = asyncio.get_running_loop().create_future()
        self.chunks: list[bytes] = []
        self.buffered = 0
        self.ended = False
        self.error: errors.ServerFailed | None = None
        self.waiter: asyncio.Future | None = None

    def add(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.chunks.append(data)
        self.buffered += len(data)
        self._wake()

    def finish(self) -> None:
        """Mark the answer as complete."""
        self.ended = True
        self._wake()

    def fail(self, error: errors.ServerFailed) -> None:
        """End an incomplete answer."""
        if self.ended or self.error is not None:
            return
        self.error = error
        if not self.head.done():
            self.head.set_exception(error)
            self.head.exception()
        self._wake()

    async def wait(self) -> None:
        """Wait until there is something to take, an end or a failure."""
        if self.chunks or self.ended or self.error is not None:
            return
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def read_buffered(self) -> bytes:
        """Return what has arrived of the body."""
        data = b''.join(self.chunks)
        self.chunks.clear()
        self.buffered = 0
        return data

    def _wake(self) -> None:
        """Wake the reader."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


class HttpConnection(asyncio.Protocol):
    """Send requests to one server and parse its answers.

    ``on_idle_end`` is called when the connection ends without a request in
    flight.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.headers: Headers = []
        self.reason = b''
        self.framed = False
        self.skipping = False
        self.in_body = False
        self.receiving = False
        self.head_bytes = 0
        self.reusable = True
        self.closed = False
        self.requests = 0
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.on_close: Callable[[], None] | None = None
        self.count_sent: Callable[[int], None] = _count_nothing

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)
        socket_options.harden(transport, socket_options.SERVER_PROBING)

    def data_received(self, data: bytes) -> None:
        """Parse what the server sent; bytes nobody asked for end it."""
        if self.exchange is None:
            self.abort()
            return
        self.receiving = True
        if not self.in_body:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._break(f'no valid answer: {type(error).__name__}')
            return
        if self.head_bytes > _MAX_HEAD and not self.in_body:
            self._break('the head of the answer is too long')
        exchange = self.exchange
        if exchange is not None and exchange.buffered > _MAX_BUFFERED:
            self.transport.pause_reading()

    def eof_received(self) -> None:
        """Let the transport close."""

    def connection_lost(self, error: Exception | None) -> None:
        """End the answer: complete if only the end was still to come."""
        self.closed = True
        self.reusable = False
        exchange, self.exchange = self.exchange, None
        if self.on_close is not None:
            self.on_close()
        if exchange is None:
            return
        unframed = self.in_body and not self.framed and not self.skipping
        if unframed and error is None:
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
        if self.closed or self.transport is None:
            self.exchange.fail(errors.ServerFailed('connection closed', False))
            return self.exchange
        self.transport.write(request)
        self.count_sent(len(request))
        return self.exchange

    async def read(self, exchange: Exchange) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raise ServerFailed when the answer is broken off.
        """
        await exchange.wait()
        data = exchange.read_buffered()
        if data:
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
        """End a complete exchange; tell whether another may follow."""
        self.exchange = None
        self.idle_since = time.monotonic()
        if self.closed or not self.reusable or self.transport is None:
            self.abort()
            return False
        if self.transport.get_write_buffer_size():
            # The answer came before the request was read to its end.
            self.abort()
            return False
        self.transport.resume_reading()
        return True

    def abort(self) -> None:
        """Close at once, without waiting for what is still to be sent."""
        self.reusable = False
        if self.transport is not None and not self.closed:
            self.transport.abort()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start an answer; one that nobody asked for spoils the connection."""
        self.headers = []
        self.reason = b''
        self.framed = False
        self.skipping = False
        self.in_body = False
        if self.exchange is None or self.exchange.ended:
            self.reusable = False
            self.skipping = True

    def on_status(self, reason: bytes) -> None:
        """Keep the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; what follows the body is no header."""
        if not self.in_body:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decode the head, unless the answer belongs to another request."""
        status = self.parser.get_status_code()
        exchange = self.exchange
        if self.skipping or exchange is None:
            return
        if status < 200:
            self.skipping = True
            return
        self.in_body = True
        self.framed = status in _NO_BODY or any(
            name in (b'content-length', b'transfer-encoding')
            for name, _ in self.headers
        )
        head = exchange.decode(status, self.reason, self.headers)
        if head is None:
            self.skipping = True
            self.reusable = False
            return
        if not self.framed or not self.parser.should_keep_alive():
            self.reusable = False
        if not exchange.head.done():
            exchange.head.set_result(head)
        if exchange.bodiless:
            self.reusable = False
            exchange.finish()

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the body on."""
        if not self.skipping and self.exchange is not None:
            self.exchange.add(data)

    def on_message_complete(self) -> None:
        """End the answer."""
        if self.skipping:
            self.skipping = False
            self.in_body = False
            return
        if self.exchange is not None:
            self.exchange.finish()

    def _break(self, cause: str) -> None:
        """Fail the exchange in flight and close."""
        exchange = self.exchange
        if exchange is not None and not exchange.ended:
            exchange.fail(errors.ServerFailed(cause, True))
        self.abort()


def _count_nothing(count: int) -> None:
    """Stand in for the load of the VM's link."""


async def open_connection(
    host: str, port: int, timeout_s: float
) -> HttpConnection:
    """Connect to a server; raise ServerFailed, nothing having been sent."""
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
            f'no connection: {type(error).__name__}', False
        ) from error
    return connection
