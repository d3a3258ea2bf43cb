"""Counts, descriptors and turns beside callers outside the limits."""

import asyncio
import socket

import pytest

from arbutusvale.coordination import slow_reader_policy
from arbutusvale.transport import edge_server
from tests.transport import test_edge_server

CALLERS = 200
MAX_CONNECTIONS = 10
WAVES = 4
CROWD = 100
ACCEPTED = 10
# From its bytes to its answer, a request takes so many turns alone.
SERVING_TURNS = 8
CHUNKED_HEAD = (
    b'POST /good HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
)


@pytest.fixture
def opened(monkeypatch):
    """List all connections that are opened, in order."""
    connections = []
    connection_made = edge_server.CallerConnection.connection_made

    def record(connection, transport):
        connections.append(connection)
        connection_made(connection, transport)

    monkeypatch.setattr(
        edge_server.CallerConnection, 'connection_made', record
    )
    return connections


def test_requests_whose_callers_leave_at_once_count_no_longer():
    async def run():
        async with test_edge_server.Router(1_000_000_000) as router:
            clients = [await router.connect(b'') for _ in range(CALLERS)]
            await asyncio.sleep(0.1)
            # They arrive at once, so that parsing is deferred.
            for client in clients:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 1024 * 1024
                )
                client.send(
                    CHUNKED_HEAD + b'2\r\nxx\r\n' * 2000 + b'0\r\n\r\n'
                )
                client.close()
            for _ in range(500):
                await asyncio.sleep(0.02)
                if not router.server.connections:
                    break
            await asyncio.sleep(0.1)
            assert not router.server.connections
            return router.server.budget.held_bytes

    assert asyncio.run(run()) == 0


def test_evicted_connections_with_unread_answers_free_descriptors(opened):
    async def run():
        async with test_edge_server.Router(100_000_000) as router:
            router.server.max_connections = MAX_CONNECTIONS
            head = test_edge_server.HEAD % b'good'
            last = head.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
            clients = []
            for _ in range(WAVES):
                for _ in range(MAX_CONNECTIONS):
                    clients.append(await router.connect(head * 30 + last))
                await asyncio.sleep(slow_reader_policy.MIN_STALL_S + 0.3)
            open_count = sum(
                each.transport.get_extra_info('socket').fileno() >= 0
                for each in opened
            )
            for client in clients:
                client.close()
            return open_count

    assert asyncio.run(run()) <= MAX_CONNECTIONS


# Each accepted connection looked at all others, several times.
def test_accepting_at_the_limit_looks_at_few_connections(monkeypatch):
    looks = 0
    iterate_evictable = edge_server.EdgeServer._iterate_evictable

    def count_looks_at(server):
        nonlocal looks
        for connection in iterate_evictable(server):
            looks += 1
            yield connection

    monkeypatch.setattr(
        edge_server.EdgeServer, '_iterate_evictable', count_looks_at
    )

    async def count_looks(open_count):
        nonlocal looks
        async with test_edge_server.Router(100_000_000) as router:
            server = router.server
            server.max_connections = open_count
            clients = [await router.connect(b'') for _ in range(open_count)]
            await asyncio.sleep(0.1)
            looks = 0
            for _ in range(ACCEPTED):
                assert server.has_capacity(0)
                clients.append(await router.connect(b''))
                await asyncio.sleep(0.01)
            for client in clients:
                client.close()
            return looks

    few = asyncio.run(count_looks(50))
    many = asyncio.run(count_looks(200))
    assert many <= 2 * few + ACCEPTED


# It may wait for one step of each other connection, and is then served.
def test_small_request_waits_for_few_steps_of_a_crowd(monkeypatch):
    async def run():
        async with test_edge_server.Router(1_000_000_000) as router:
            turns = router.server.turns
            steps = 0
            take_step = turns.take_step

            def count_step():
                nonlocal steps
                is_taken = take_step()
                steps += is_taken
                return is_taken

            monkeypatch.setattr(turns, 'take_step', count_step)
            crowd = [await router.connect(b'') for _ in range(CROWD)]
            good = await router.connect(b'')
            await asyncio.sleep(0.1)
            for client in crowd:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 1024 * 1024
                )
                client.send(CHUNKED_HEAD + b'2\r\nxx\r\n' * 9000)
            # Until the crowd has filled what may be unparsed.
            for _ in range(1000):
                await asyncio.sleep(0)
                if len(turns.deferred) >= CROWD // 2:
                    break
            for _ in range(20):
                await asyncio.sleep(0)
            assert len(turns.deferred) >= CROWD // 2
            before = steps
            good.send(test_edge_server.HEAD % b'good')
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(20):
                await loop.sock_recv(good, 65536)
            for client in (*crowd, good):
                client.close()
            return steps - before, CROWD + SERVING_TURNS * turns.max_steps

    taken, allowed = asyncio.run(run())
    assert taken <= allowed
