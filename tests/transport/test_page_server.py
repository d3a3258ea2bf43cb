"""Callers of small pages that send without end or read nothing."""

import asyncio
import socket

import pytest

from arbutusvale.transport import page_server

GET = b'GET /p HTTP/1.1\r\nHost: a\r\n\r\n'
PAGE_BYTES = 100_000
MAX_SENT_BYTES = 8 * 1024 * 1024
SMALL_BUFFER = 4096
ENDLESS = {
    'target': (b'GET /', b'a' * 4096),
    'header': (b'GET /p HTTP/1.1\r\nX: ', b'a' * 4096),
    'headers': (b'GET /p HTTP/1.1\r\n', b'X: a\r\n' * 700),
    'body': (
        b'GET /p HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n',
        b'a' * 4096,
    ),
    'chunks': (
        b'GET /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'1\r\na\r\n' * 700,
    ),
}


class Pages:
    """A page server whose page is ``PAGE_BYTES`` long."""

    async def __aenter__(self):
        self.rendered = 0
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        listener.bind(('127.0.0.1', 0))
        self.address = listener.getsockname()
        self.listening = await asyncio.get_running_loop().create_server(
            page_server.PageServer({'/p': self.render}).make_connection,
            sock=listener,
        )
        return self

    async def __aexit__(self, *error):
        self.listening.close()

    def render(self):
        self.rendered += 1
        return 200, 'x' * PAGE_BYTES

    async def connect(self):
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, self.address)
        return await asyncio.open_connection(sock=client)

    async def fetch(self):
        reader, writer = await self.connect()
        writer.write(GET)
        head = await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(PAGE_BYTES)
        writer.close()
        return head


# It was buffered until the connection's timer closed it.
@pytest.mark.parametrize('kind', ENDLESS)
def test_request_without_end_is_closed(kind):
    async def run():
        async with Pages() as pages, asyncio.timeout(20):
            prefix, unit = ENDLESS[kind]
            _, writer = await pages.connect()
            writer.write(prefix)
            sent = 0
            with pytest.raises(ConnectionError):
                while sent < MAX_SENT_BYTES:
                    writer.write(unit)
                    await writer.drain()
                    sent += len(unit)
            assert pages.rendered == 0
            assert (await pages.fetch()).startswith(b'HTTP/1.1 200 OK')

    asyncio.run(run())


# Each was answered at once, though no answer was read.
def test_pipelined_requests_wait_until_responses_are_read():
    async def run():
        async with Pages() as pages, asyncio.timeout(20):
            reader, writer = await pages.connect()
            writer.write(GET * 2000)
            for _ in range(3):
                await pages.fetch()
            assert pages.rendered <= 2 + 3
            for _ in range(20):
                head = await reader.readuntil(b'\r\n\r\n')
                assert head.startswith(b'HTTP/1.1 200 OK')
                assert await reader.readexactly(PAGE_BYTES) == (
                    b'x' * PAGE_BYTES
                )
            writer.transport.abort()

    asyncio.run(run())
