"""Reach a model engine beside its sidecar over HTTP."""

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
_NO_ANSWER = (httpclient.HTTPError, OSError)


class HttpEngine(plain_service.HttpService):
    """Implement :class:`ports.Engine`.

    Calls other than :meth:`run`, :meth:`cancel` and :meth:`healthy` raise
    :class:`errors.ServerBroken` when the engine gives no proper answer.
    """

    def own_headers(self, request: ports.ServerRequest) -> list:
        """Return the header pairs that the adapter itself sets."""
        headers = super().own_headers(request)
        headers.append([PRIORITY, str(request.priority)])
        if request.chat:
            headers.append([CACHE_KEY, request.chat])
        return headers

    async def run(
        self, request: ports.ServerRequest
    ) -> AsyncIterator[ports.ServerResponseHead | bytes]:
        """Run a request and resume its answer when a connection is silent.

        Yields one head, then pieces of the body.
        """
        answer = resumption.read_resuming(self, request)
        try:
            async for part in answer:
                yield part
        finally:
            await answer.aclose()

    async def resume(
        self, request: ports.ServerRequest, start: int, silence_s: float
    ) -> AsyncIterator[
        ports.ServerResponseHead | bytes | streaming_client.Silent
    ]:
        """Yield the answer of a run in flight again from byte ``start``.

        Raises :class:`errors.ServerBroken` when the engine lost the run
        and :class:`resumption.NotResumable` when it cannot resume any.
        """
        run_id = urllib.parse.quote(request.request_id, safe='')
        answer = streaming_client.stream_response(
            self.address,
            'GET',
            f'/resume/{run_id}?from={start}',
            self.own_headers(request),
            b'',
            request.timeout,
            silence_s,
        )
        try:
            async for part in answer:
                if isinstance(part, ports.ServerResponseHead):
                    resumption.check_status(self.address, part)
                    self.check_echo(request, part)
                yield part
        finally:
            await answer.aclose()

    async def cancel(self, request_id: str) -> None:
        """Ask the engine to stop a request; failures are ignored."""
        with contextlib.suppress(*_NO_ANSWER):
            path = f'/cancel/{urllib.parse.quote(request_id, safe="")}'
            await self.call('POST', path, CALL_TIMEOUT_S, b'')

    async def read_cache_events(
        self, start: int, wait: float
    ) -> ports.CacheEventPage:
        """Read cache events from number ``start`` on."""
        path = f'/events?from={start}&wait={wait}'
        page = await self.read_json(path, wait + CALL_TIMEOUT_S)
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

    async def send_command(self, order: ports.EngineCommand) -> bool:
        """Give an order; False when a newer fencing number refused it."""
        body = json.dumps(
            {
                'kind': order.kind,
                'model': order.model,
                'version': order.version,
                'role': order.role,
                'fence': order.fence,
            }
        ).encode()
        answer = await self.answered('POST', '/orders', ORDER_TIMEOUT_S, body)
        if answer.code == 409:
            return False
        self.check_success(answer)
        return True

    async def export_cache(self, chat: str) -> bytes:
        """Export a chat's KV cache; empty when the engine has none."""
        answer = await self.answered('GET', f'/kv/{chat}', CALL_TIMEOUT_S)
        if answer.code == 404:
            return b''
        self.check_success(answer)
        return answer.body

    async def import_cache(self, chat: str, data: bytes) -> bool:
        """Import a chat's KV cache; False when the engine has no room."""
        answer = await self.answered(
            'PUT', f'/kv/{chat}', CALL_TIMEOUT_S, data
        )
        if answer.code == 507:
            return False
        self.check_success(answer)
        return True

    async def read_json(self, path: str, timeout: float) -> dict:
        """Return a JSON answer's document."""
        answer = await self.answered('GET', path, timeout)
        self.check_success(answer)
        return json.loads(answer.body)

    async def answered(
        self, method: str, path: str, timeout: float, body: bytes | None = None
    ) -> httpclient.HTTPResponse:
        """Call the engine; raises :class:`errors.ServerBroken`."""
        try:
            return await self.call(method, path, timeout, body)
        except _NO_ANSWER as error:
            raise errors.ServerBroken(self.address, str(error)) from error

    def check_success(self, answer: httpclient.HTTPResponse) -> None:
        """Raise :class:`errors.ServerBroken` on a status other than 200."""
        if answer.code != 200:
            raise errors.ServerBroken(self.address, f'status {answer.code}')
