"""Serve short pages over HTTP: readiness and metrics."""

import asyncio
from collections.abc import Callable
import typing

import httptools

_IDLE_S = 10.0

Page = Callable[[], tuple[int, str]]


class PageConnection(asyncio.Protocol):
    """Answer every request with the page of its path."""

    def __init__(self, pages: dict[str, Page]):
        self.pages = pages
        self.parser = httptools.HttpRequestParser(self)
        self.path = b''
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, for a bounded time without requests."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self._restart_timer()

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse a request."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()

    def on_message_begin(self) -> None:
        """Start a request."""
        self.path = b''

    def on_url(self, data: bytes) -> None:
        """Collect the path."""
        self.path += data

    def on_message_complete(self) -> None:
        """Answer with the page."""
        page = self.pages.get(self.path.decode('latin-1'))
        status, text = page() if page is not None else (404, 'no such page\n')
        body = text.encode()
        keep = self.parser.should_keep_alive()
        reason = 'OK' if status == 200 else 'Unavailable'
        self.transport.write(_format(status, reason, body, keep))
        self._restart_timer()
        if not keep:
            self.transport.close()

    def _restart_timer(self) -> None:
        """Close the connection when it idles."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(
            _IDLE_S, self.transport.close
        )


def _format(status: int, reason: str, body: bytes, keep: bool) -> bytes:
    """Return a whole answer."""
    close = '' if keep else 'Connection: close\r\n'
    head = (
        f'HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\n'
        f'Content-Length: {len(body)}\r\n{close}\r\n'
    )
    return head.encode() + body
