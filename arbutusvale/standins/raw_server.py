"""A minimal HTTP/1.1 server whose handlers can write malformed bytes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import threading
import urllib.parse

from arbutusvale.transport import socket_options

CALL_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class RawRequest:
    """A parsed request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


Handler = Callable[
    [RawRequest, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


class EventLoopThread:
    """An event loop on a thread of its own, until stopped."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.daemon = True
        self.thread.start()

    def run(self, coroutine):
        """Run a coroutine on the loop and return its result.

        Raises :class:`TimeoutError` after ``CALL_TIMEOUT_S``.
        """
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result(CALL_TIMEOUT_S)

    def stop(self) -> None:
        """Cancel all tasks and end the loop and its thread."""
        self.run(_cancel_other_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(CALL_TIMEOUT_S)
        self.loop.close()


class RawServer:
    """Server that passes each request and its streams to a handler.

    The handler writes the response, and returns False to end the
    connection.
    """

    def __init__(self, handle: Handler):
        self.handle = handle
        self.server: asyncio.Server | None = None
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self, port: int = 0) -> int:
        """Listen on loopback and return the port; 0 binds a free one."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection in turn."""
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.handle(request, reader, writer):
                    break
        except (OSError, EOFError, asyncio.LimitOverrunError):
            # The client closed the connection or sent too long a head.
            pass
        except asyncio.CancelledError:
            # The loop stops; asyncio would log the cancellation as an error.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def _cancel_other_tasks() -> None:
    """Cancel all other tasks of the loop and wait for them."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def read_request(reader: asyncio.StreamReader) -> RawRequest:
    """Read one request, whose body needs a Content-Length."""
    head = await reader.readuntil(b'\r\n\r\n')
    request_line, *header_lines = head.decode('latin-1').split('\r\n')
    method, target, _ = request_line.split(' ', 2)
    headers = {}
    for line in header_lines:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    path, _, query = target.partition('?')
    return RawRequest(
        method, path, dict(urllib.parse.parse_qsl(query)), headers, body
    )


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset (RST), discarding unsent data.

    One that is closed already stays so.
    """
    raw_socket = writer.get_extra_info('socket')
    if raw_socket.fileno() >= 0:
        socket_options.reset_on_close(raw_socket)
    writer.transport.abort()


def format_response(
    status: int, headers: dict[str, str], body: bytes, with_length: bool = True
) -> bytes:
    """Return an encoded response.

    Without a length, the end of the connection ends its body.
    """
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    if with_length:
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body
