"""Client of the engines' lists of cached prompt parts."""

import asyncio
import json

from arbutusvale import errors
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import engine_cache
from arbutusvale.protocol import numeric
from arbutusvale.protocol import proxying

LIST_PATH = '/-/kv-list'
# The answer needs no slot of the engine; a slow one is of no use, as a caller
# waits for it.
TIMEOUT_S = 0.25
MAX_LIST_BYTES = 4 * 1024 * 1024
_OK = 200


class EngineCacheClient:
    """Implementation of :class:`engine_cache.EngineCaches` over HTTP."""

    def __init__(self, connections: edge_ports.ServerConnectionPool):
        self.connections = connections

    async def list_parts(
        self, server: proxying.BackendServer
    ) -> engine_cache.CachedParts:
        """Return what an engine has cached; raise ServerFailed."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return decode_list(await self._fetch(server))
        except TimeoutError as error:
            raise errors.ServerFailed('no list in time', True) from error

    async def _fetch(self, server: proxying.BackendServer) -> bytes:
        """Return the body of the list, or raise ServerFailed."""
        connection = await self.connections.acquire(server, True, TIMEOUT_S)
        request = (
            f'GET {LIST_PATH} HTTP/1.1\r\n'
            f'Host: {server.address}\r\n'
            f'X-Arbutusvale-Expected-Instance: {server.id}\r\n\r\n'
        )
        parts = []
        size = 0
        try:
            exchange = connection.send(
                request.encode('latin-1'), lambda status, *_: status
            )
            status = await exchange.head
            while data := await connection.read(exchange):
                parts.append(data)
                size += len(data)
                if size > MAX_LIST_BYTES:
                    raise errors.ServerFailed('list too long', True)
        except BaseException:
            connection.abort()
            raise
        self.connections.release(server, connection, None)
        if status != _OK:
            raise errors.ServerFailed(f'status {status}', True)
        return b''.join(parts)


def decode_list(data: bytes) -> engine_cache.CachedParts:
    """Decode the list; raise ServerFailed if it is malformed."""
    try:
        return {
            (model, part_id): int(tokens)
            for _, part_id, tokens, model in json.loads(data)['held']
            if numeric.is_finite(tokens)
        }
    except (
        ValueError, KeyError, TypeError, RecursionError,
    ) as error:  # fmt: skip
        raise errors.ServerFailed('malformed list', True) from error
