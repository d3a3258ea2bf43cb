"""HTTP client of a sidecar for its model engine."""

from collections.abc import AsyncIterator
import contextlib
import json
import urllib.parse

from tornado import httpclient

from arbutusvale import errors
from arbutusvale.protocol import plain_service
from arbutusvale.protocol import ports
from arbutusvale.protocol import resumption
from arbutusvale.protocol import streaming_client

CACHE_KEY = 'Prompt-Cache-Key'
PRIORITY = 'Priority'
CALL_TIMEOUT_S = 5.0
ORDER_TIMEOUT_S = 120.0
_CALL_ERRORS = (httpclient.HTTPError, OSError)


class HttpEngine(plain_service.HttpService):
    """Client for a model engine; implements :class:`ports.Engine`.

    Methods other than :meth:`run`, :meth:`cancel` and :meth:`healthy` raise
    :class:`errors.ServerResponseError` without a response or with an error
    status.
    """

    def adapter_headers(self, request: ports.ServerRequest) -> list:
        """Return the header pairs that replace those of the caller."""
        headers = super().adapter_headers(request)
        headers.append([PRIORITY, str(request.priority)])
        if request.chat:
            headers.append([CACHE_KEY, request.chat])
        return headers

    async def run(
        self, request: ports.ServerRequest
    ) -> AsyncIterator[ports.ServerResponseHead | bytes]:
        """Run a request, resuming its response if the connection is idle.

        Yields one head, then chunks of the body.
        """
        response = resumption.read_with_resume(self, request)
        try:
            async for part in response:
                yield part
        finally:
            await response.aclose()

    async def resume(
        self,
        request: ports.ServerRequest,
        start_byte: int,
        idle_after_s: float,
    ) -> AsyncIterator[
        ports.ServerResponseHead | bytes | streaming_client.IdleEvent
    ]:
        """Stream the response again, its body from ``start_byte`` on.

        Raises :class:`errors.ServerResponseError` if the engine lost the run
        and :class:`resumption.ResumeUnsupported` if it cannot resume any.
        """
        run_id = urllib.parse.quote(request.request_id, safe='')
        response = streaming_client.stream_response(
            self.address,
            'GET',
            f'/resume/{run_id}?from={start_byte}',
            self.adapter_headers(request),
            b'',
            request.timeout,
            idle_after_s,
        )
        try:
            async for part in response:
                if isinstance(part, ports.ServerResponseHead):
                    resumption.check_resume_status(self.address, part)
                    self.check_request_id(request, part)
                yield part
        finally:
            await response.aclose()

    async def cancel(self, request_id: str) -> None:
        """Cancel a request at the engine; failures are ignored."""
        with contextlib.suppress(*_CALL_ERRORS):
            path = f'/cancel/{urllib.parse.quote(request_id, safe="")}'
            await self.call('POST', path, CALL_TIMEOUT_S, b'')

    async def read_cache_events(
        self, start: int, wait_s: float
    ) -> ports.CacheEventPage:
        """Read cache events from ``start`` on, waiting up to ``wait_s`` s."""
        path = f'/events?from={start}&wait={wait_s}'
        page = await self.read_json(path, wait_s + CALL_TIMEOUT_S)
        events = [
            ports.CacheEvent(event['number'], event['kind'], event['chat'])
            for event in page['events']
        ]
        missed = len(events) != page['next'] - start
        return ports.CacheEventPage(events, page['next'], missed)

    async def read_load(self) -> ports.EngineLoad:
        """Read the engine's load report."""
        report = await self.read_json('/load', CALL_TIMEOUT_S)
        return ports.EngineLoad(
            report['running'],
            report['waiting'],
            report['model'],
            report['version'],
        )

    async def send_order(self, order: ports.EngineOrder) -> bool:
        """Send an order; returns False if its fencing number is outdated."""
        body = json.dumps(
            {
                'kind': order.kind,
                'model': order.model,
                'version': order.version,
                'role': order.role,
                'fence': order.fence,
            }
        ).encode()
        response = await self.call_engine(
            'POST', '/orders', ORDER_TIMEOUT_S, body
        )
        if response.code == 409:
            return False
        self.check_success(response)
        return True

    async def export_cache(self, chat: str) -> bytes:
        """Export the KV cache of a chat; empty if the engine has none."""
        response = await self.call_engine('GET', f'/kv/{chat}', CALL_TIMEOUT_S)
        if response.code == 404:
            return b''
        self.check_success(response)
        return response.body

    async def import_cache(self, chat: str, data: bytes) -> bool:
        """Import the KV cache of a chat; returns False if it does not fit."""
        response = await self.call_engine(
            'PUT', f'/kv/{chat}', CALL_TIMEOUT_S, data
        )
        if response.code == 507:
            return False
        self.check_success(response)
        return True

    async def read_json(self, path: str, timeout: float) -> dict:
        """GET a path and return the JSON document of the response."""
        try:
            status, body = await self.fetch(path, timeout)
        except errors.ServerUnreachable as error:
            raise errors.ServerResponseError(
                self.address, str(error)
            ) from error
        if status != 200:
            raise errors.ServerResponseError(self.address, f'status {status}')
        return json.loads(body)

    async def call_engine(
        self, method: str, path: str, timeout: float, body: bytes | None = None
    ) -> httpclient.HTTPResponse:
        """Call the engine.

        Raises :class:`errors.ServerResponseError` on failure.
        """
        try:
            return await self.call(method, path, timeout, body)
        except _CALL_ERRORS as error:
            raise errors.ServerResponseError(
                self.address, str(error)
            ) from error

    def check_success(self, response: httpclient.HTTPResponse) -> None:
        """Raise :class:`errors.ServerResponseError` unless status is 200."""
        if response.code != 200:
            raise errors.ServerResponseError(
                self.address, f'status {response.code}'
            )
