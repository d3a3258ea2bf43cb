"""GET requests to other VMs for documents, which are compressed on the way."""

import asyncio
import zlib

from arbutusvale import errors
from arbutusvale.state import body_buffer
from arbutusvale.transport import http_connection

# Time without a byte after which a fetch fails; it is longer on a slow link.
IDLE_TIMEOUT_S = 0.5
MAX_FETCH_S = 4.0
# Of a document, and of what is sent for it.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
ENCODING = b'deflate'
_OK = 200


async def fetch(host: str, port: int, path: str) -> bytes:
    """Return the body of a response with status 200, else ServerFailed.

    A body or document of more than ``MAX_DOCUMENT_BYTES`` fails.
    """
    connection = await http_connection.open_connection(
        host, port, IDLE_TIMEOUT_S
    )
    request = (
        f'GET {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Accept-Encoding: {ENCODING.decode()}\r\n\r\n'
    )
    try:
        async with asyncio.timeout(MAX_FETCH_S):
            exchange = connection.send(request.encode(), _decode_head)
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                head = await exchange.head
            body = await _read_body(connection, exchange)
    except TimeoutError as error:
        raise errors.ServerFailed('no page in time', True) from error
    finally:
        connection.abort()
    if head.status != _OK:
        raise errors.ServerFailed(f'status {head.status}', True)
    return _decompress(body) if head.is_compressed else body


class _Head:
    """A response head reduced to what a fetch needs."""

    def __init__(self, status: int, is_compressed: bool):
        self.status = status
        self.is_compressed = is_compressed


def _decode_head(
    status: int, reason: bytes, headers: http_connection.Headers
) -> _Head:
    """Decode a response head; header names are lower-case."""
    return _Head(status, (b'content-encoding', ENCODING) in headers)


async def _read_body(
    connection: http_connection.HttpConnection,
    exchange: http_connection.Exchange,
) -> bytes:
    """Read a body as long as bytes arrive; raise ServerFailed."""
    body = body_buffer.BodyBuffer()
    size = 0
    while True:
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            data = await connection.read(exchange)
        if not data:
            return body.take()
        size += len(data)
        if size > MAX_DOCUMENT_BYTES:
            raise errors.ServerFailed('page too long', True)
        body.append(data)


def _decompress(body: bytes) -> bytes:
    """Return a document from its compressed form, or raise ServerFailed."""
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(body, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise errors.ServerFailed('malformed page', True) from error
    if not decompressor.eof:
        raise errors.ServerFailed('page cut or too long', True)
    return document
