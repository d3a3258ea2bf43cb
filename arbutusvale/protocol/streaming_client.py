"""HTTP client that sends one request and streams its response."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import math
import socket

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from arbutusvale import errors
from arbutusvale import settings
from arbutusvale.protocol import ports

CONNECT_TIMEOUT_S = 1.0
# In effect unlimited, as bodies are streamed and not kept in memory.
MAX_BODY_BYTES = 1 << 40
MAX_QUEUED_PARTS = 16
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
_CONNECTION_PARAMETERS = http1connection.HTTP1ConnectionParameters(
    no_keep_alive=True, max_body_size=MAX_BODY_BYTES
)


@dataclasses.dataclass(frozen=True, slots=True)
class IdleEvent:
    """Nothing arrived for a while; the response may still continue."""


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """The end of a response, which may be incomplete."""

    is_complete: bool


class _ResponseReader(httputil.HTTPMessageDelegate):
    """Delegate that queues response parts; a full queue pauses reading."""

    def __init__(self):
        self.parts: asyncio.Queue = asyncio.Queue(MAX_QUEUED_PARTS)
        self.is_complete = False
        # Whether nobody takes parts from the queue any more.
        self.is_abandoned = False
        # Whether only the end of the connection marks the end of the body.
        self.ends_at_close = False

    def headers_received(self, start_line, headers):
        """Queue the head of the response, unless it is informational."""
        if start_line.code < 200:
            return None
        self.ends_at_close = (
            'Content-Length' not in headers
            and 'Transfer-Encoding' not in headers
        )
        pairs = [[name, value] for name, value in headers.get_all()]
        return self.parts.put(
            ports.ServerResponseHead(start_line.code, drop_hop_by_hop(pairs))
        )

    def data_received(self, chunk):
        """Queue a chunk of the body."""
        return self.parts.put(chunk)

    def finish(self):
        """Record that the response is complete."""
        self.is_complete = True

    async def read(self, connection: http1connection.HTTP1Connection) -> None:
        """Read one response, queueing its parts and its end."""
        with contextlib.suppress(iostream.StreamClosedError):
            await connection.read_response(self)
        if self.ends_at_close and connection.stream.error is not None:
            # tornado takes a reset for a normal end.
            self.is_complete = False
        # tornado may end normally when the task is cancelled.
        if not self.is_abandoned:
            await self.parts.put(_End(self.is_complete))


def drop_hop_by_hop(headers: list) -> list:
    """Return the header pairs that are not hop-by-hop."""
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == 'connection':
            dropped.update(part.strip().lower() for part in value.split(','))
    return [
        [name, value] for name, value in headers if name.lower() not in dropped
    ]


async def stream_response(
    address: str,
    method: str,
    path: str,
    headers: list,
    body: bytes,
    timeout: float,
    idle_after_s: float = math.inf,
) -> AsyncIterator[ports.ServerResponseHead | bytes | IdleEvent]:
    """Send a request; yields the response head, then chunks of the body.

    Yields an :class:`IdleEvent` whenever nothing arrived for
    ``idle_after_s``.  Closing the iterator closes the connection.  Raises
    :class:`errors.ServerUnreachable` if nothing was sent and
    :class:`errors.ServerResponseError` if the response is incomplete or not
    finished after ``timeout`` s.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    stream = await _connect(address, min(CONNECT_TIMEOUT_S, timeout))
    reader = _ResponseReader()
    connection = http1connection.HTTP1Connection(
        stream, True, _CONNECTION_PARAMETERS
    )
    _send(connection, address, method, path, headers, body)
    read_task = asyncio.create_task(reader.read(connection))
    try:
        while True:
            part = await _next_part(reader, deadline, idle_after_s)
            match part:
                case _End(is_complete=True):
                    return
                case _End():
                    raise errors.ServerResponseError(
                        address, 'connection closed'
                    )
            yield part
    except TimeoutError:
        raise errors.ServerResponseError(address, 'timeout') from None
    finally:
        reader.is_abandoned = True
        stream.close()
        read_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await read_task


async def _next_part(
    reader: _ResponseReader, deadline: float, idle_after_s: float
) -> ports.ServerResponseHead | bytes | IdleEvent | _End:
    """Wait for the next part; raises TimeoutError at the deadline."""
    idle_at = asyncio.get_running_loop().time() + idle_after_s
    try:
        async with asyncio.timeout_at(min(deadline, idle_at)):
            return await reader.parts.get()
    except TimeoutError:
        if deadline <= idle_at:
            raise
        return IdleEvent()


async def _connect(address: str, timeout: float) -> iostream.IOStream:
    """Open a connection; raises :class:`errors.ServerUnreachable`."""
    endpoint = settings.split_address(address)
    family = socket.AF_INET6 if ':' in endpoint.host else socket.AF_INET
    stream = iostream.IOStream(socket.socket(family))
    stream.set_nodelay(True)
    try:
        async with asyncio.timeout(timeout):
            await stream.connect((endpoint.host.strip('[]'), endpoint.port))
    except (OSError, iostream.StreamClosedError, TimeoutError) as error:
        stream.close()
        cause = getattr(error, 'real_error', None) or error
        raise errors.ServerUnreachable(address, str(cause)) from error
    except asyncio.CancelledError:
        stream.close()
        raise
    return stream


def _send(
    connection: http1connection.HTTP1Connection,
    address: str,
    method: str,
    path: str,
    headers: list,
    body: bytes,
) -> None:
    """Write the request; write errors surface when the response is read."""
    request_headers = httputil.HTTPHeaders()
    for name, value in drop_hop_by_hop(headers):
        if name.lower() not in ('host', 'content-length'):
            request_headers.add(name, value)
    request_headers['Host'] = address
    request_headers['Connection'] = 'close'
    if body or method in ('POST', 'PUT', 'PATCH'):
        request_headers['Content-Length'] = str(len(body))
    start_line = httputil.RequestStartLine(method, path, 'HTTP/1.1')
    connection.write_headers(start_line, request_headers, body)
    connection.finish()
