"""Routers share their calls to engines for lists of cached parts."""

import asyncio
import random

from arbutusvale.coordination import stream_continuity
from arbutusvale.protocol import stream_origin
from tests import helpers_log
from tests.coordination import test_stream_continuity as continuity

VERSIONS = {f'e{number}': f'v{number % 2}' for number in range(29)}


class Network:
    """Routers that have just started, with one set of engines."""

    def __init__(self, count):
        self.caches = continuity.Caches()
        self.down = set()
        self.loss = 0.0
        self.generator = random.Random(5)
        self.routers = {}
        for number in range(count):
            host = f'10.0.0.{number}'
            context = continuity.make_router(VERSIONS)
            context.holders.host = host
            context.holders.survey.caches = self.caches
            context.holders.list_live = lambda host=host: [
                other for other in self.routers if other != host
            ]
            context.holders.send = self.deliver
            self.routers[host] = context

    def deliver(self, host, data):
        assert len(data) <= 1400
        message = stream_origin.decode(data)
        if host not in self.down and self.generator.random() >= self.loss:
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, self.routers[host].holders.receive, message)

    def run_take_ups(self, hosts, count):
        return helpers_log.run_in_virtual_time(self.take_up(hosts, count))

    async def take_up(self, hosts, count):
        """Take streams up at random routers; return expected and found."""
        generator = random.Random(3)
        expected, calls = [], []
        for number in range(count):
            server_id = generator.choice(list(VERSIONS))
            cached = self.caches.by_server.setdefault(server_id, {})
            cached['m', f'own{number}'] = 500
            expected.append(VERSIONS[server_id])
            context = self.routers[generator.choice(hosts)]
            request = continuity.make_take_up(number, f'a{number}')
            calls.append(stream_continuity.find_version(context, request))
        results = await asyncio.gather(*calls)
        return expected, [result.software_version for result in results]


# Each of 32 routers asked each of 29 engines.
def test_an_engine_is_asked_by_one_router_only():
    network = Network(32)
    expected, found = helpers_log.run_in_virtual_time(
        network.take_up(list(network.routers), 300)
    )
    assert found == expected
    assert max(map(network.caches.asked.count, network.caches.asked)) == 1


# Nearly every search had a datagram lost and fell back to the engines.
def test_lost_datagrams_are_repeated():
    network = Network(32)
    network.loss = 0.05
    expected, found = network.run_take_ups(list(network.routers), 300)
    assert found == expected
    assert len(network.caches.asked) < 2 * len(VERSIONS)


def test_engines_of_a_router_that_died_since_are_asked_directly():
    network = Network(4)
    hosts = list(network.routers)
    network.down = {hosts[0]}
    expected, found = helpers_log.run_in_virtual_time(
        network.take_up(hosts[1:], 40)
    )
    assert found == expected


# A router whose link is full let streams of all its engines be refused.
def test_engines_that_their_router_cannot_read_are_asked_directly():
    network = Network(4)
    hosts = list(network.routers)
    unable = continuity.Caches()
    unable.refusing = set(VERSIONS)
    network.routers[hosts[0]].holders.survey.caches = unable
    expected, found = network.run_take_ups(hosts[1:], 40)
    assert found == expected


def test_router_without_a_list_yet_leaves_its_engines_to_others():
    network = Network(2)
    first, second = network.routers
    network.routers[first].servers.keep_only(set(), None)
    expected, found = helpers_log.run_in_virtual_time(
        network.take_up([second], 20)
    )
    assert found == expected
