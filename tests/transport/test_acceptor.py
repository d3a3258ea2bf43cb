"""Connections are accepted while there is room, and served while wanted."""

import asyncio
import errno
import socket
import time

from arbutusvale.protocol import routing
from arbutusvale.transport import acceptor
from arbutusvale.transport import edge_server
from tests import helpers_edge

REQUEST = b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n\r\n'


def ignore(*_):
    pass


class Listening:
    """An edge server behind an acceptor on loopback."""

    def __init__(self, most):
        self.served = []
        self.events = helpers_edge.Events()
        self.server = edge_server.EdgeServer(
            self.serve, routing.CallerLimits, 1 << 20, ignore, ignore, most
        )
        self.acceptor = acceptor.Acceptor(
            self.server.make_connection,
            self.server.has_capacity,
            self.events.write,
        )
        self.server.on_capacity_freed = self.acceptor.resume
        self.acceptor.listen('127.0.0.1', 0, 64)
        self.address = self.acceptor.listening.getsockname()
        self.answering = asyncio.Event()
        self.answering.set()

    async def serve(self, request, caller):
        self.served.append(request)
        await self.answering.wait()
        caller.send_response(200, [], b'ok')

    def connect(self, data=b''):
        client = socket.create_connection(self.address, timeout=2)
        client.setblocking(False)
        if data:
            client.sendall(data)
        return client

    async def read(self, client):
        """Return what comes next; empty at the end of the connection."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(5):
            return await loop.sock_recv(client, 4096)


def stand_still():
    """Let all that is under way arrive while the event loop does nothing."""
    time.sleep(0.1)


async def turn(count=20):
    for _ in range(count):
        await asyncio.sleep(0.001)


def test_the_longest_idle_connection_gives_way():
    async def run():
        listening = Listening(most=2)
        clients = [listening.connect(REQUEST) for _ in range(2)]
        for client in clients:
            assert (await listening.read(client)).startswith(b'HTTP/1.1 200')
        newest = listening.connect(REQUEST)
        assert (await listening.read(newest)).startswith(b'HTTP/1.1 200')
        assert await listening.read(clients[0]) == b''
        assert len(listening.server.connections) == 2
        assert not listening.server.is_full()
        listening.acceptor.close()

    asyncio.run(run())


def test_a_crowd_of_idle_connections_leaves_room_for_the_next():
    async def run():
        listening = Listening(most=4)
        crowd = [listening.connect() for _ in range(20)]
        await turn()
        last = listening.connect(REQUEST)
        assert (await listening.read(last)).startswith(b'HTTP/1.1 200')
        assert await listening.read(crowd[0]) == b''
        listening.acceptor.close()

    asyncio.run(run())


def test_connections_wait_while_each_open_one_has_a_request():
    async def run():
        listening = Listening(most=2)
        listening.answering.clear()
        clients = [listening.connect(REQUEST) for _ in range(4)]
        await turn()
        assert len(listening.served) == 2
        assert listening.server.is_full()
        assert listening.events.named('accept-paused')
        listening.answering.set()
        for client in clients:
            assert (await listening.read(client)).startswith(b'HTTP/1.1 200')
        assert len(listening.served) == 4
        listening.acceptor.close()

    asyncio.run(run())


def test_a_system_without_descriptors_is_asked_again_quietly(monkeypatch):
    class Exhausted:
        def __init__(self, inner):
            self.inner = inner
            self.calls = 0

        def fileno(self):
            return self.inner.fileno()

        def accept(self):
            self.calls += 1
            if self.calls <= 3:
                raise OSError(errno.EMFILE, 'too many open files')
            return self.inner.accept()

        def close(self):
            self.inner.close()

    async def run():
        monkeypatch.setattr(acceptor, 'RETRY_S', 0.01)
        listening = Listening(most=5)
        scarce = Exhausted(listening.acceptor.listening)
        listening.acceptor.listening = scarce
        client = listening.connect(REQUEST)
        assert (await listening.read(client)).startswith(b'HTTP/1.1 200')
        assert scarce.calls >= 4
        assert len(listening.events.named('accept-paused')) == 1
        listening.acceptor.close()

    asyncio.run(run())


def test_a_request_whose_caller_has_left_meanwhile_is_not_served():
    """The process was too busy to read while callers came and went.

    Six to ten such requests reached servers on a day with few descriptors.
    """

    async def run():
        listening = Listening(most=10)
        for _ in range(5):
            listening.connect(REQUEST).close()
        staying = listening.connect(REQUEST)
        stand_still()
        assert (await listening.read(staying)).startswith(b'HTTP/1.1 200')
        await turn()
        assert len(listening.served) == 1
        listening.acceptor.close()

    asyncio.run(run())
