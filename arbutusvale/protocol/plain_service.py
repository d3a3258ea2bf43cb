"""HTTP client of a sidecar for a plain service, which is not an engine."""

from collections.abc import AsyncIterator
import contextlib
import math

from tornado import httpclient

from arbutusvale import errors
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import ports
from arbutusvale.protocol import streaming_client

HEALTH_PATH = '/health'
HEALTH_TIMEOUT_S = 2.0
MAX_PAGE_BYTES = 1024 * 1024


class HttpService:
    """Client for a plain service; implements :class:`ports.BackendServer`."""

    def __init__(self, address: str, client: httpclient.AsyncHTTPClient):
        self.address = address
        self.client = client

    async def run(
        self, request: ports.ServerRequest
    ) -> AsyncIterator[ports.ServerResponseHead | bytes]:
        """Run a request; yields one head, then chunks of the body.

        A response that does not echo the request id is discarded and its
        connection closed.  Closing the iterator closes the connection.
        """
        response = self.stream(request)
        try:
            async for part in response:
                yield part
        finally:
            await response.aclose()

    async def stream(
        self, request: ports.ServerRequest, idle_after_s: float = math.inf
    ) -> AsyncIterator[
        ports.ServerResponseHead | bytes | streaming_client.IdleEvent
    ]:
        """Run a request; also yields idle events after ``idle_after_s`` s."""
        replaced_names = {
            name.lower() for name, _ in self.adapter_headers(request)
        }
        headers = [
            [name, value]
            for name, value in request.headers
            if name.lower() not in replaced_names
        ]
        response = streaming_client.stream_response(
            self.address,
            request.method,
            request.path,
            headers + self.adapter_headers(request),
            request.body,
            request.timeout,
            idle_after_s,
        )
        try:
            async for part in response:
                if isinstance(part, ports.ServerResponseHead):
                    self.check_request_id(request, part)
                yield part
        finally:
            await response.aclose()

    def adapter_headers(self, request: ports.ServerRequest) -> list:
        """Return the header pairs that replace those of the caller."""
        return [[caller_api.REQUEST_ID, request.request_id]]

    def check_request_id(
        self, request: ports.ServerRequest, head: ports.ServerResponseHead
    ) -> None:
        """Check the request id of the response.

        Raises :class:`errors.ServerResponseError` if it differs or is missing.
        """
        for name, value in head.headers:
            if name.lower() == caller_api.REQUEST_ID.lower():
                if value == request.request_id:
                    return
                raise errors.ServerResponseError(
                    self.address, 'the answer belongs to another request'
                )
        raise errors.ServerResponseError(
            self.address, 'the answer carries no request id'
        )

    async def cancel(self, request_id: str) -> None:
        """Do nothing: plain services cannot cancel a request."""

    async def healthy(self) -> bool:
        """Return whether the server passes its health check."""
        try:
            status, _ = await self.fetch(HEALTH_PATH, HEALTH_TIMEOUT_S)
        except (errors.ServerUnreachable, errors.ServerResponseError):
            return False
        return status == 200

    async def fetch(self, path: str, timeout: float) -> tuple[int, bytes]:
        """GET a page of at most ``MAX_PAGE_BYTES``; return status and body.

        Raises :class:`errors.ServerUnreachable`, or
        :class:`errors.ServerResponseError` for one that is longer, incomplete
        or late.
        """
        status = 0
        body = b''
        async with contextlib.aclosing(
            streaming_client.stream_response(
                self.address, 'GET', path, [], b'', timeout
            )
        ) as response:
            async for part in response:
                match part:
                    case ports.ServerResponseHead():
                        status = part.status
                    case bytes():
                        body += part
                if len(body) > MAX_PAGE_BYTES:
                    raise errors.ServerResponseError(
                        self.address, 'a page is too long'
                    )
        return status, body

    async def call(
        self, method: str, path: str, timeout: float, body: bytes | None = None
    ) -> httpclient.HTTPResponse:
        """Call the server; raises HTTPError or OSError without a response."""
        return await self.client.fetch(
            f'http://{self.address}{path}',
            method=method,
            body=body,
            request_timeout=timeout,
            connect_timeout=min(timeout, streaming_client.CONNECT_TIMEOUT_S),
            raise_error=False,
        )
