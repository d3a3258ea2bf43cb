"""Reach a plain service beside its sidecar over HTTP."""

from collections.abc import AsyncIterator
import math

from tornado import httpclient

from arbutusvale import errors
from arbutusvale.protocol import caller_api
from arbutusvale.protocol import ports
from arbutusvale.protocol import streaming_client

HEALTH_PATH = '/health'
HEALTH_TIMEOUT_S = 2.0


class HttpService:
    """Implement :class:`ports.BackendServer` for a plain service."""

    def __init__(self, address: str, client: httpclient.AsyncHTTPClient):
        self.address = address
        self.client = client

    async def run(
        self, request: ports.ServerRequest
    ) -> AsyncIterator[ports.ServerResponseHead | bytes]:
        """Run a request: yields one head, then pieces of the body.

        An answer that does not echo the request id is dropped with its
        connection.  Closing the iterator closes the connection.
        """
        answer = self.stream(request)
        try:
            async for part in answer:
                yield part
        finally:
            await answer.aclose()

    async def stream(
        self, request: ports.ServerRequest, silence_s: float = math.inf
    ) -> AsyncIterator[
        ports.ServerResponseHead | bytes | streaming_client.Silent
    ]:
        """Run a request and tell of each silence of ``silence_s`` s."""
        own = {name.lower() for name, _ in self.own_headers(request)}
        headers = [
            [name, value]
            for name, value in request.headers
            if name.lower() not in own
        ]
        answer = streaming_client.stream_response(
            self.address,
            request.method,
            request.path,
            headers + self.own_headers(request),
            request.body,
            request.timeout,
            silence_s,
        )
        try:
            async for part in answer:
                if isinstance(part, ports.ServerResponseHead):
                    self.check_echo(request, part)
                yield part
        finally:
            await answer.aclose()

    def own_headers(self, request: ports.ServerRequest) -> list:
        """Return the header pairs that the adapter itself sets."""
        return [[caller_api.REQUEST_ID, request.request_id]]

    def check_echo(
        self, request: ports.ServerRequest, head: ports.ServerResponseHead
    ) -> None:
        """Raise :class:`errors.ServerBroken` on another request's answer."""
        for name, value in head.headers:
            if name.lower() == caller_api.REQUEST_ID.lower():
                if value == request.request_id:
                    return
                raise errors.ServerBroken(
                    self.address, 'the answer belongs to another request'
                )
        raise errors.ServerBroken(
            self.address, 'the answer carries no request id'
        )

    async def cancel(self, request_id: str) -> None:
        """Do nothing: plain services cannot stop a request."""

    async def healthy(self) -> bool:
        """Tell whether the server answers its health check."""
        try:
            answer = await self.call('GET', HEALTH_PATH, HEALTH_TIMEOUT_S)
        except (httpclient.HTTPError, OSError):
            return False
        return answer.code == 200

    async def call(
        self, method: str, path: str, timeout: float, body: bytes | None = None
    ) -> httpclient.HTTPResponse:
        """Call the server; raises HTTPError or OSError without an answer."""
        return await self.client.fetch(
            f'http://{self.address}{path}',
            method=method,
            body=body,
            request_timeout=timeout,
            connect_timeout=min(timeout, streaming_client.CONNECT_TIMEOUT_S),
            raise_error=False,
        )
