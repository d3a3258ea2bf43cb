"""Tests of the connection limit and of eviction of idle connections."""

import asyncio
import errno
import socket
import time

from arbutusvale.protocol import routing
from arbutusvale.transport import acceptor
from arbutusvale.transport import edge_server
from tests import helpers_edge

REQUEST = b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n\r\n'


def ignore_call(*_):
    pass


class LoopbackServer:
    """An edge server that accepts connections on the loopback address."""

    def __init__(self, max_connections):
        self.served_requests = []
        self.events = helpers_edge.Events()
        self.server = edge_server.EdgeServer(
            self.serve,
            routing.CallerLimits,
            1 << 20,
            ignore_call,
            ignore_call,
            max_connections,
        )
        self.acceptor = acceptor.Acceptor(
            self.server.make_connection,
            self.server.has_capacity,
            self.events.write,
        )
        self.server.on_capacity_freed = self.acceptor.resume
        self.acceptor.listen('127.0.0.1', 0, 64)
        self.address = self.acceptor.listener.getsockname()
        self.may_respond = asyncio.Event()
        self.may_respond.set()

    async def serve(self, request, caller):
        self.served_requests.append(request)
        await self.may_respond.wait()
        caller.send_response(200, [], b'ok')

    def connect(self, data=b''):
        client = socket.create_connection(self.address, timeout=2)
        client.setblocking(False)
        if data:
            client.sendall(data)
        return client

    async def receive(self, client):
        """Return the next data; empty at the end of the connection."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(5):
            return await loop.sock_recv(client, 4096)


def block_event_loop():
    """Block the event loop until the sent data has arrived."""
    time.sleep(0.1)


async def run_event_loop_turns(count=20):
    for _ in range(count):
        await asyncio.sleep(0.001)


def test_new_connection_evicts_the_one_idle_longest():
    async def run():
        loopback = LoopbackServer(max_connections=2)
        clients = [loopback.connect(REQUEST) for _ in range(2)]
        for client in clients:
            assert (await loopback.receive(client)).startswith(b'HTTP/1.1 200')
        newest = loopback.connect(REQUEST)
        assert (await loopback.receive(newest)).startswith(b'HTTP/1.1 200')
        assert await loopback.receive(clients[0]) == b''
        assert len(loopback.server.connections) == 2
        assert not loopback.server.is_full()
        loopback.acceptor.close()

    asyncio.run(run())


def test_many_idle_connections_do_not_block_new_ones():
    async def run():
        loopback = LoopbackServer(max_connections=4)
        idle_clients = [loopback.connect() for _ in range(20)]
        await run_event_loop_turns()
        newest = loopback.connect(REQUEST)
        assert (await loopback.receive(newest)).startswith(b'HTTP/1.1 200')
        assert await loopback.receive(idle_clients[0]) == b''
        loopback.acceptor.close()

    asyncio.run(run())


def test_accepting_pauses_while_all_connections_have_requests():
    async def run():
        loopback = LoopbackServer(max_connections=2)
        loopback.may_respond.clear()
        clients = [loopback.connect(REQUEST) for _ in range(4)]
        await run_event_loop_turns()
        assert len(loopback.served_requests) == 2
        assert loopback.server.is_full()
        assert loopback.events.named('accept-paused')
        loopback.may_respond.set()
        for client in clients:
            assert (await loopback.receive(client)).startswith(b'HTTP/1.1 200')
        assert len(loopback.served_requests) == 4
        loopback.acceptor.close()

    asyncio.run(run())


def test_accept_is_retried_and_logged_once_without_descriptors(monkeypatch):
    class ListenerWithoutDescriptors:
        def __init__(self, listener):
            self.listener = listener
            self.calls = 0

        def fileno(self):
            return self.listener.fileno()

        def accept(self):
            self.calls += 1
            if self.calls <= 3:
                raise OSError(errno.EMFILE, 'too many open files')
            return self.listener.accept()

        def close(self):
            self.listener.close()

    async def run():
        monkeypatch.setattr(acceptor, 'RETRY_INTERVAL_S', 0.01)
        loopback = LoopbackServer(max_connections=5)
        failing_listener = ListenerWithoutDescriptors(
            loopback.acceptor.listener
        )
        loopback.acceptor.listener = failing_listener
        client = loopback.connect(REQUEST)
        assert (await loopback.receive(client)).startswith(b'HTTP/1.1 200')
        assert failing_listener.calls >= 4
        assert len(loopback.events.named('accept-paused')) == 1
        loopback.acceptor.close()

    asyncio.run(run())


def test_request_of_a_disconnected_caller_is_not_served():
    """A caller may disconnect while the process is too busy to read.

    Six to ten such requests reached servers in a load test with few
    descriptors.
    """

    async def run():
        loopback = LoopbackServer(max_connections=10)
        for _ in range(5):
            loopback.connect(REQUEST).close()
        connected_client = loopback.connect(REQUEST)
        block_event_loop()
        assert (await loopback.receive(connected_client)).startswith(
            b'HTTP/1.1 200'
        )
        await run_event_loop_turns()
        assert len(loopback.served_requests) == 1
        loopback.acceptor.close()

    asyncio.run(run())
