"""Send one HTTP request to a server and stream its answer."""

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
MAX_ANSWER_BYTES = 1 << 40
QUEUED_PIECES = 16
HOP_BY_HOP = frozenset(
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
_PARAMETERS = http1connection.HTTP1ConnectionParameters(
    no_keep_alive=True, max_body_size=MAX_ANSWER_BYTES
)


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """Tell that nothing arrived for a while; the answer may still come."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Ended:
    """Mark the end of an answer."""

    whole: bool


class _Receiver(httputil.HTTPMessageDelegate):
    """Queue the parts of an answer; a full queue stops the reading."""

    def __init__(self):
        self.parts: asyncio.Queue = asyncio.Queue(QUEUED_PIECES)
        self.whole = False

    def headers_received(self, start_line, headers):
        """Queue the head of the answer, unless it is an interim one."""
        if start_line.code < 200:
            return None
        pairs = [[name, value] for name, value in headers.get_all()]
        return self.parts.put(
            ports.ServerResponseHead(start_line.code, end_to_end(pairs))
        )

    def data_received(self, chunk):
        """Queue a piece of the body."""
        return self.parts.put(chunk)

    def finish(self):
        """Note that the answer is whole."""
        self.whole = True

    async def receive(
        self, connection: http1connection.HTTP1Connection
    ) -> None:
        """Read one answer and queue its end."""
        with contextlib.suppress(iostream.StreamClosedError):
            await connection.read_response(self)
        await self.parts.put(_Ended(self.whole))


def end_to_end(headers: list) -> list:
    """Return the header pairs without the hop-by-hop ones."""
    dropped = set(HOP_BY_HOP)
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
    silence_s: float = math.inf,
) -> AsyncIterator[ports.ServerResponseHead | bytes | Silent]:
    """Send a request and yield the head, then pieces of the body.

    Yields a :class:`Silent` whenever nothing arrived for ``silence_s``.
    Closing the iterator closes the connection.  Raises
    :class:`errors.ServerUnreachable` when nothing was sent and
    :class:`errors.ServerBroken` when the answer is not whole or not there
    after ``timeout`` s.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    channel = await _connect(address, min(CONNECT_TIMEOUT_S, timeout))
    receiver = _Receiver()
    connection = http1connection.HTTP1Connection(channel, True, _PARAMETERS)
    _send(connection, address, method, path, headers, body)
    reading = asyncio.create_task(receiver.receive(connection))
    try:
        while True:
            part = await _next_part(receiver, deadline, silence_s)
            match part:
                case _Ended(whole=True):
                    return
                case _Ended():
                    raise errors.ServerBroken(address, 'connection closed')
            yield part
    except TimeoutError:
        raise errors.ServerBroken(address, 'timeout') from None
    finally:
        channel.close()
        reading.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await reading


async def _next_part(
    receiver: _Receiver, deadline: float, silence_s: float
) -> ports.ServerResponseHead | bytes | Silent | _Ended:
    """Wait for the next part; raises TimeoutError at the deadline."""
    silent_at = asyncio.get_running_loop().time() + silence_s
    try:
        async with asyncio.timeout_at(min(deadline, silent_at)):
            return await receiver.parts.get()
    except TimeoutError:
        if deadline <= silent_at:
            raise
        return Silent()


async def _connect(address: str, timeout: float) -> iostream.IOStream:
    """Open a connection or raise :class:`errors.ServerUnreachable`."""
    target = settings.split_address(address)
    family = socket.AF_INET6 if ':' in target.host else socket.AF_INET
    channel = iostream.IOStream(socket.socket(family))
    channel.set_nodelay(True)
    try:
        async with asyncio.timeout(timeout):
            await channel.connect((target.host.strip('[]'), target.port))
    except (OSError, iostream.StreamClosedError, TimeoutError) as error:
        channel.close()
        cause = getattr(error, 'real_error', None) or error
        raise errors.ServerUnreachable(address, str(cause)) from error
    except asyncio.CancelledError:
        channel.close()
        raise
    return channel


def _send(
    connection: http1connection.HTTP1Connection,
    address: str,
    method: str,
    path: str,
    headers: list,
    body: bytes,
) -> None:
    """Write the request; a failure shows when its answer is read."""
    sent = httputil.HTTPHeaders()
    for name, value in end_to_end(headers):
        if name.lower() not in ('host', 'content-length'):
            sent.add(name, value)
    sent['Host'] = address
    sent['Connection'] = 'close'
    if body or method in ('POST', 'PUT', 'PATCH'):
        sent['Content-Length'] = str(len(body))
    line = httputil.RequestStartLine(method, path, 'HTTP/1.1')
    connection.write_headers(line, sent, body)
    connection.finish()
