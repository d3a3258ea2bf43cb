"""Tests of the limits and the reuse of connections to servers."""

import asyncio
import time

import pytest

from arbutusvale import errors
from arbutusvale.transport import connection_pool
from tests import helpers_edge


class FakeConnection:
    """A fake of an open connection."""

    def __init__(self):
        self.closed = False
        self.reusable = True
        self.idle_since = time.monotonic()
        self.idle_limit_s = 0.0

    def release(self):
        return not self.closed

    def abort(self):
        self.closed = True


def make_pool(max_idle, max_open=100):
    return connection_pool.ConnectionPool(len, lambda pool: max_idle, max_open)


def test_idle_connections_over_the_limit_are_closed():
    pool = make_pool(2)
    server = helpers_edge.make_server('a')
    connections = [FakeConnection() for _ in range(5)]
    for connection in connections:
        pool.release(server, connection, 5.0)
    assert [connection.closed for connection in connections] == [
        True,
        True,
        True,
        False,
        False,
    ]


def test_connection_idle_for_too_long_is_not_reused():
    pool = make_pool(9)
    server = helpers_edge.make_server('a')
    connection = FakeConnection()
    pool.release(server, connection, 2.0)
    connection.idle_since -= 1.0
    # A request that can't be retried needs a recently used connection.
    assert pool._pop_idle(server.id, fresh=True) is None
    assert pool._pop_idle(server.id, fresh=False) is connection
    pool.release(server, connection, 2.0)
    connection.idle_since -= 1.9
    assert pool._pop_idle(server.id, fresh=False) is None
    assert connection.closed


def test_new_connection_evicts_the_one_idle_longest():
    pool = make_pool(9, max_open=3)
    connections = {}
    for number, name in enumerate(('a', 'b', 'c')):
        connection = connections[name] = FakeConnection()
        connection.idle_since -= 1.0 - number / 10
        pool.release(helpers_edge.make_server(name), connection, 30.0)
        connection.idle_since = time.monotonic() - (
            0.5 if name == 'b' else 0.1
        )
        pool.open_count += 1

    async def open_connection():
        server = helpers_edge.make_server('d', address='127.0.0.1:1')
        with pytest.raises(errors.ServerFailed):
            await pool.acquire(server, False, 1.0)

    asyncio.run(open_connection())
    assert [
        name for name, connection in connections.items() if connection.closed
    ] == ['b']


def test_open_connections_are_counted_until_closed():
    async def run():
        server_socket = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        port = server_socket.sockets[0].getsockname()[1]
        pool = make_pool(9)
        server = helpers_edge.make_server('a', address=f'127.0.0.1:{port}')
        connection = await pool.acquire(server, False, 1.0)
        assert pool.open_count == 1
        connection.abort()
        for _ in range(5):
            await asyncio.sleep(0)
        assert pool.open_count == 0
        server_socket.close()

    asyncio.run(run())


async def _wait_until_closed(connection):
    while not connection.closed:  # noqa: ASYNC110
        await asyncio.sleep(0.01)


def test_connection_that_stays_open_shows_that_its_server_lives():
    async def run():
        writers = []
        server_socket = await asyncio.start_server(
            lambda reader, writer: writers.append(writer), '127.0.0.1', 0
        )
        port = server_socket.sockets[0].getsockname()[1]
        pool = make_pool(9)
        server = helpers_edge.make_server('a', address=f'127.0.0.1:{port}')
        before = time.monotonic()
        own = await pool.acquire(server, False, 1.0)
        other = await pool.acquire(server, False, 1.0)
        after = time.monotonic()
        assert not pool.has_open_since(server, before)
        assert pool.has_open_since(server, after)
        own.abort()
        assert pool.has_open_since(server, after)
        for writer in writers:
            writer.transport.abort()
        await asyncio.wait_for(_wait_until_closed(other), 5.0)
        assert not pool.has_open_since(server, after)
        assert not pool.opened_at
        server_socket.close()

    asyncio.run(run())
