import asyncio

import numpy

from arbutusvale.coordination import gossip
from arbutusvale.state import fleet
from arbutusvale.state import pool_load_table
from tests import helpers_sidecar as helpers


class FakeQuarantine:
    def __init__(self):
        self.known = set()

    def export(self):
        return sorted(self.known)

    def merge(self, fingerprints):
        self.known.update(fingerprints)


def make_pool(size, seed=5):
    """Make the gossip parts of one pool, linked to each other."""
    clock = helpers.Clock()
    vm_fleet = fleet.Fleet()
    names = [f's{index}' for index in range(size)]
    vm_fleet.replace([helpers.make_vm(name) for name in names])
    peers = {}
    for index, name in enumerate(names):
        peers[name] = gossip.Gossip(
            'panel',
            pool_load_table.PoolLoadTable(name, 1, clock),
            vm_fleet,
            helpers.FakeLinks(),
            FakeQuarantine(),
            numpy.random.default_rng([seed, index]),
            clock,
        )
        peers[name].on_vm_list_changed()
    for name, peer in peers.items():
        for other in names:
            peer.links.links[other] = connect(peers, name, other)
    return clock, peers


def connect(peers, source, target):
    """Make the link on which ``source`` sends to ``target``."""

    def answer(message):
        peers[source].receive(helpers.FakeLink(target), message)

    def deliver(message):
        peers[target].receive(helpers.FakeLink(source, answer), message)

    return helpers.FakeLink(target, deliver)


def test_loads_and_fingerprints_reach_every_peer():
    async def work():
        clock, peers = make_pool(12)
        for index, peer in enumerate(peers.values()):
            peer.on_load_changed(index)
        peers['s3'].quarantine.known.add(b'bad')
        for _ in range(8):
            clock.now += 1.0
            for peer in peers.values():
                await peer.exchange()
        return peers

    peers = asyncio.run(work())
    assert [peer.table.total_load for peer in peers.values()] == [66] * 12
    assert all(peer.quarantine.known == {b'bad'} for peer in peers.values())


def test_every_peer_of_a_large_pool_stays_counted():
    async def work():
        clock, peers = make_pool(60)
        for _ in range(40):
            clock.now += 1.0
            for peer in peers.values():
                await peer.exchange()
        return peers

    peers = asyncio.run(work())
    assert {peer.table.server_count for peer in peers.values()} == {60}


def test_refresh_queries_every_peer_of_a_small_pool():
    async def work():
        _, peers = make_pool(6)
        for peer in peers.values():
            peer.on_load_changed(4)
        await peers['s0'].refresh_loads()
        return peers['s0']

    assert asyncio.run(work()).table.total_load == 24


def test_refresh_of_a_large_pool_is_bounded():
    async def work():
        _, peers = make_pool(40)
        await peers['s0'].refresh_loads()
        sent = [link.sent for link in peers['s0'].links.links.values()]
        return sum(len(messages) for messages in sent)

    assert asyncio.run(work()) == gossip.MAX_FANOUT


def test_spent_budget_defers_an_exchange():
    async def work():
        clock, peers = make_pool(2)
        peer = peers['s0']
        peer.budget.spend(gossip.BUDGET_BURST_BYTES)
        await peer.exchange()
        assert not peer.links.links['s1'].sent
        clock.now += 1.0
        await peer.exchange()
        assert len(peer.links.links['s1'].sent) == 1

    asyncio.run(work())


def test_large_pool_stays_within_the_byte_budget():
    async def work():
        clock, peers = make_pool(40)
        for _ in range(20):
            clock.now += 1.0
            for peer in peers.values():
                await peer.exchange()
        return peers['s0']

    peer = asyncio.run(work())
    sent = [m for link in peer.links.links.values() for m in link.sent]
    assert len(sent) >= 10
    assert all(len(m.loads) <= gossip.MAX_LOADS for m in sent)
