"""Routers find the origin of a stream that another router served."""

import asyncio

import pytest

from arbutusvale.coordination import origin_exchange
from arbutusvale.protocol import stream_origin
from arbutusvale.state import stream_origins
from tests import helpers_edge


class Network:
    """Routers that exchange datagrams; ``lose`` drops some of them."""

    def __init__(self, count):
        self.clock = helpers_edge.Clock()
        self.hosts = [f'10.0.0.{number}' for number in range(count)]
        self.down = set()
        self.lose = lambda message: False
        self.sent = []
        self.routers = {host: self.make_router(host) for host in self.hosts}

    def make_router(self, host):
        others = [other for other in self.hosts if other != host]
        exchange = origin_exchange.OriginExchange(
            host,
            stream_origins.StreamOrigins(self.clock),
            lambda: others,
            lambda: others,
        )
        exchange.send = self.deliver
        return exchange

    def deliver(self, host, data):
        message = stream_origin.decode(data)
        self.sent.append(message)
        if host not in self.down and not self.lose(message):
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, self.routers[host].receive, message)

    async def begin_stream(self, attempt_id, host):
        origin = stream_origin.StreamOrigin(attempt_id, 'chat', 'v1')
        self.routers[host].record(origin)
        await asyncio.sleep(0.005)
        return origin


@pytest.mark.parametrize('count', [2, 5, 40])
def test_every_router_finds_the_stream_of_one_that_is_gone(count):
    async def check():
        network = Network(count)
        for number in range(10):
            attempt_id = f'a{number}'
            origin = await network.begin_stream(attempt_id, network.hosts[0])
            network.down = {network.hosts[0]}
            for host in network.hosts[1:]:
                found = await network.routers[host].find(attempt_id)
                assert found == origin
            network.down = set()

    asyncio.run(check())


def test_a_lost_query_or_notice_is_repeated():
    async def check():
        network = Network(3)
        origin = await network.begin_stream('a', network.hosts[0])
        asker = network.routers[network.hosts[1]]
        asker.origins.by_attempt.clear()
        lost = []

        def lose_first_round(message):
            lost.append(message)
            return len(lost) <= 2

        network.lose = lose_first_round
        assert await asker.find('a') == origin

    asyncio.run(check())


def test_an_origin_that_nobody_knows_is_given_up_in_a_bounded_time():
    async def check():
        network = Network(4)
        started_at = asyncio.get_running_loop().time()
        assert await network.routers[network.hosts[0]].find('a') is None
        waited_s = asyncio.get_running_loop().time() - started_at
        rounds = origin_exchange.MAX_QUERY_ROUNDS
        assert waited_s < rounds * origin_exchange.QUERY_TIMEOUT_S + 0.5
        assert len(network.sent) == 3 * rounds

    asyncio.run(check())


def test_a_router_alone_does_not_wait():
    async def check():
        network = Network(1)
        assert await network.routers['10.0.0.0'].find('a') is None
        assert network.sent == []

    asyncio.run(check())
