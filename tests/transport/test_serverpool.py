"""Connections to backend servers are kept within their limits."""

import time

from arbutusvale.transport import serverpool
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


def make_pool(limit):
    return serverpool.ServerPool(len, lambda pool: limit)


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
