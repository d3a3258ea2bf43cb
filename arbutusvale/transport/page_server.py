"""HTTP server of small text pages, as for readiness and metrics."""

import asyncio
from collections.abc import Callable
import typing
import zlib

import httptools

from arbutusvale.transport import http_fetch

_IDLE_TIMEOUT_S = 10.0
# A smaller page fits in one packet.
_MIN_COMPRESSED_BYTES = 1024
_COMPRESSION_LEVEL = 1

Page = Callable[[], tuple[int, str]]


class PageConnection(asyncio.Protocol):
    """A connection that responds with the page of the request's path."""

    def __init__(self, pages: dict[str, Page]):
        self.pages = pages
        self.parser = httptools.HttpRequestParser(self)
        self.path = b''
        self.accepts_compressed = False
        self.transport: asyncio.Transport | None = None
        self.idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timer."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self._restart_idle_timer()

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the idle timer."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()

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
        """Respond with the page."""
        page = self.pages.get(self.path.decode('latin-1'))
        status, text = page() if page is not None else (404, 'no such page\n')
        body = text.encode()
        encoding = b''
        if self.accepts_compressed and len(body) >= _MIN_COMPRESSED_BYTES:
            body = zlib.compress(body, _COMPRESSION_LEVEL)
            encoding = http_fetch.ENCODING
        keep_alive = self.parser.should_keep_alive()
        reason = 'OK' if status == 200 else 'Unavailable'
        self.transport.write(
            _format_response(status, reason, body, keep_alive, encoding)
        )
        self._restart_idle_timer()
        if not keep_alive:
            self.transport.close()

    def _restart_idle_timer(self) -> None:
        """Restart the timer that closes an idle connection."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = asyncio.get_running_loop().call_later(
            _IDLE_TIMEOUT_S, self.transport.close
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
