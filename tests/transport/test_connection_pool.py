"""Connections to backend servers are kept within their limits."""

import asyncio
import time

import pytest

from arbutusvale import errors
from arbutusvale.transport import connection_pool
from tests import helpers_edge


class Link:
    """Stand in for an open connection."""

    def __init__(self):
        self.closed = False
        self.reusable = True
        self.idle_since = time.monotonic()
        self.idle_limit_s = 0.0

    def release(self):
        return not self.closed

    def abort(self):
        self.closed = True


def make_pool(limit, most_open=100):
    return connection_pool.ConnectionPool(len, lambda pool: limit, most_open)


def test_no_more_idle_connections_are_kept_than_allowed():
    pool = make_pool(2)
    server = helpers_edge.make_server('a')
    links = [Link() for _ in range(5)]
    for link in links:
        pool.release(server, link, 5.0)
    assert [link.closed for link in links] == [True, True, True, False, False]


def test_a_connection_that_idled_too_long_is_not_used_again():
    pool = make_pool(9)
    server = helpers_edge.make_server('a')
    link = Link()
    pool.release(server, link, 2.0)
    link.idle_since -= 1.0
    # A request that must not repeat wants one that is surely open.
    assert pool._take(server.id, fresh=True) is None
    assert pool._take(server.id, fresh=False) is link
    pool.release(server, link, 2.0)
    link.idle_since -= 1.9
    assert pool._take(server.id, fresh=False) is None
    assert link.closed


def test_the_longest_idle_connection_gives_way_to_a_new_one():
    pool = make_pool(9, most_open=3)
    links = {}
    for number, name in enumerate(('a', 'b', 'c')):
        link = links[name] = Link()
        link.idle_since -= 1.0 - number / 10
        pool.release(helpers_edge.make_server(name), link, 30.0)
        link.idle_since = time.monotonic() - (0.5 if name == 'b' else 0.1)
        pool.open += 1

    async def open_one():
        server = helpers_edge.make_server('d', address='127.0.0.1:1')
        with pytest.raises(errors.ServerFailed):
            await pool.acquire(server, False, 1.0)

    asyncio.run(open_one())
    assert [name for name, link in links.items() if link.closed] == ['b']


def test_open_connections_are_counted_until_they_end():
    async def run():
        listening = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        port = listening.sockets[0].getsockname()[1]
        pool = make_pool(9)
        server = helpers_edge.make_server('a', address=f'127.0.0.1:{port}')
        link = await pool.acquire(server, False, 1.0)
        assert pool.open == 1
        link.abort()
        for _ in range(5):
            await asyncio.sleep(0)
        assert pool.open == 0
        listening.close()

    asyncio.run(run())
