"""GET requests to other VMs for small documents."""

import asyncio

from arbutusvale import errors
from arbutusvale.transport import http_connection

TIMEOUT_S = 0.5
_OK = 200


async def fetch(host: str, port: int, path: str) -> bytes:
    """Return the body of a response with status 200, else ServerFailed."""
    connection = await http_connection.open_connection(host, port, TIMEOUT_S)
    request = f'GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n'
    try:
        async with asyncio.timeout(TIMEOUT_S):
            exchange = connection.send(
                request.encode(), http_connection.decode_status
            )
            head = await exchange.head
            body = await connection.read_all(exchange)
    except TimeoutError as error:
        raise errors.ServerFailed('no page in time', True) from error
    finally:
        connection.abort()
    if head.status != _OK:
        raise errors.ServerFailed(f'status {head.status}', True)
    return body
