import asyncio

import pytest

from arbutusvale.standins import fault_proxy
from tests import helpers_standins as helpers

LOCAL = '127.0.0.1:0'
RESPONSE_TIMEOUT_S = 0.2


async def echo(reader, writer):
    while data := await reader.read(1000):
        writer.write(data)
    writer.close()


class ProxiedEchoServer:
    """An echo server behind a fault proxy."""

    async def __aenter__(self):
        self.server = await asyncio.start_server(echo, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.proxy = fault_proxy.FaultProxy(LOCAL, f'127.0.0.1:{port}', LOCAL)
        await self.proxy.start()
        return self

    async def __aexit__(self, *_):
        await self.proxy.stop()
        self.server.close()

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.proxy.port)


async def exchange(connection, text=b'hi'):
    reader, writer = connection
    writer.write(text)
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        return await reader.read(100)


def test_frozen_connection_relays_nothing_while_new_ones_work():
    async def check():
        async with ProxiedEchoServer() as proxied:
            first = await proxied.connect()
            assert await exchange(first) == b'hi'
            proxied.proxy.freeze_connections()
            with pytest.raises(TimeoutError):
                await exchange(first)
            assert await exchange(await proxied.connect()) == b'hi'

    asyncio.run(check())


def test_dropped_response_closed_connections_and_refused_ones():
    async def check():
        async with ProxiedEchoServer() as proxied:
            first = await proxied.connect()
            assert await exchange(first) == b'hi'
            proxied.proxy.drop_next_response()
            assert await exchange(first) == b''
            second = await proxied.connect()
            assert await exchange(second) == b'hi'
            proxied.proxy.close_connections()
            assert await second[0].read() == b''
            await proxied.proxy.set_refusing()
            with pytest.raises(ConnectionRefusedError):
                await proxied.connect()
            await proxied.proxy.set_refusing(False)
            assert await exchange(await proxied.connect()) == b'hi'

    asyncio.run(check())


def test_delay_is_set_over_http():
    async def check():
        async with ProxiedEchoServer() as proxied:
            async with helpers.run_standins() as client:
                await helpers.set_faults(
                    client, proxied.proxy.control_server, delay_s=0.05
                )
                loop = asyncio.get_running_loop()
                began = loop.time()
                assert await exchange(await proxied.connect()) == b'hi'
                assert loop.time() - began >= 0.1

    asyncio.run(check())
