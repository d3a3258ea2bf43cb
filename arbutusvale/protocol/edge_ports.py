"""Define the ports by which decisions reach callers, servers and the wire."""

import typing

from arbutusvale.protocol import proxying

Headers = list[tuple[bytes, bytes]]


class CallerStream(typing.Protocol):
    """Answer one request of a caller."""

    started: bool

    def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer."""

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose length isn't known."""

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    def finish(self) -> None:
        """End the body as complete."""

    def abort(self) -> None:
        """Close the connection, so that the answer can't look complete."""

    async def wait_until_drained(self) -> None:
        """Wait until the caller has read most of what was sent."""


class ServerExchange(typing.Protocol):
    """Hold the answer to one request; ``head`` is awaited first."""

    head: typing.Any


class ServerConnection(typing.Protocol):
    """Exchange requests with one backend server, one at a time."""

    requests: int

    def send(
        self, request: bytes, decode: typing.Callable, bodiless: bool = False
    ) -> ServerExchange:
        """Send a request."""

    async def read(self, exchange: ServerExchange) -> bytes:
        """Return the next bytes, empty at the end; raise ServerFailed."""

    def abort(self) -> None:
        """Close at once."""


class ServerConnectionPool(typing.Protocol):
    """Keep connections to backend servers."""

    async def acquire(
        self, server: proxying.BackendServer, fresh: bool, timeout_s: float
    ) -> ServerConnection:
        """Return a free connection; raise ServerFailed, nothing sent.

        ``fresh`` asks for one that the server surely still holds open.
        """

    def release(
        self,
        server: proxying.BackendServer,
        connection: ServerConnection,
        keep_alive_s: float | None,
    ) -> None:
        """Keep a connection whose answer was complete."""


class HttpCodec(typing.Protocol):
    """Translate requests and answers; kept by the platform's adapter."""

    def parse_request(self, headers: Headers) -> proxying.RequestMetadata:
        """Decode the headers of a caller's request."""

    def format_forwarded_headers(
        self, request: proxying.CallerRequest
    ) -> bytes:
        """Return the header lines that pass on unchanged."""

    def encode_request(
        self,
        request: proxying.CallerRequest,
        parameters: proxying.AttemptParameters,
        forwarded: bytes,
    ) -> bytes:
        """Return the bytes of a request for a backend server."""

    def parse_response_head(
        self, status: int, reason: bytes, headers: Headers
    ) -> proxying.ResponseHead:
        """Decode the head of a server's answer."""
