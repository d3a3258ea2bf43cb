"""Interfaces of the edge router to callers, backend servers and encoding."""

import enum
import typing

from arbutusvale.protocol import proxying

Headers = list[tuple[bytes, bytes]]


class Framing(enum.StrEnum):
    """What marks the end of a response's body."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


class CallerStream(typing.Protocol):
    """The response to one request of a caller."""

    started: bool

    def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete response."""

    def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a response of unknown length."""

    def write(self, data: bytes) -> None:
        """Send a chunk of the body."""

    def finish(self) -> None:
        """Mark the body as complete."""

    def abort(self) -> None:
        """Close the connection, so that the response can't look complete."""

    async def wait_until_drained(self) -> None:
        """Wait until the caller has read most of what was sent."""


class ServerExchange(typing.Protocol):
    """A request's pending response; await its ``head`` before the body.

    ``framing`` is known from the head on.
    """

    head: typing.Any
    framing: Framing | None


class ServerConnection(typing.Protocol):
    """A connection to a backend server, used by one request at a time."""

    requests: int

    def send(
        self, request: bytes, decode: typing.Callable, bodiless: bool = False
    ) -> ServerExchange:
        """Send a request; ``decode`` decodes the head of its response."""

    async def read(self, exchange: ServerExchange) -> bytes:
        """Return the next bytes, empty at the end; raise ServerFailed."""

    def abort(self) -> None:
        """Close the connection at once."""


class ServerConnectionPool(typing.Protocol):
    """A pool of connections to backend servers."""

    async def acquire(
        self, server: proxying.BackendServer, fresh: bool, timeout_s: float
    ) -> ServerConnection:
        """Return a free connection; raise ServerFailed if there is none.

        ``fresh`` asks for one that the server has surely not closed yet.
        """

    async def open(
        self, server: proxying.BackendServer, timeout_s: float
    ) -> ServerConnection:
        """Return a new connection; raise ServerFailed if it can't be made."""

    def has_open_since(
        self, server: proxying.BackendServer, opened_by: float
    ) -> bool:
        """Return whether a connection is open that was made by then.

        ``opened_by`` is on the monotonic clock, in seconds.
        """

    def release(
        self,
        server: proxying.BackendServer,
        connection: ServerConnection,
        keep_alive_s: float | None,
    ) -> None:
        """Return a connection to the pool after a complete response."""


class HttpCodec(typing.Protocol):
    """Encoding and decoding of HTTP messages, as the platform defines it."""

    def parse_request(self, headers: Headers) -> proxying.RequestMetadata:
        """Decode the headers of a caller's request."""

    def format_forwarded_headers(
        self, request: proxying.CallerRequest
    ) -> bytes:
        """Return the header lines that are forwarded unchanged."""

    def encode_request(
        self,
        request: proxying.CallerRequest,
        parameters: proxying.AttemptParameters,
        forwarded: bytes,
    ) -> bytes:
        """Encode a request for a backend server."""

    def parse_response_head(
        self, status: int, reason: bytes, headers: Headers
    ) -> proxying.ResponseHead:
        """Decode the status and headers of a server's response."""
