import asyncio

import numpy

from arbutusvale.coordination import gossip
from arbutusvale.state import fleet
from arbutusvale.state import pooltable
from tests import helpers_sidecar as helpers


class Fingerprints:
    def __init__(self):
        self.held = set()

    def export(self):
        return sorted(self.held)

    def merge(self, fingerprints):
        self.held.update(fingerprints)


def make_pool(size, seed=5):
    """Make a pool's gossips, each linked to every other."""
    clock = helpers.Clock()
    known = fleet.Fleet()
    names = [f's{index}' for index in range(size)]
    known.replace([helpers.make_vm(name) for name in names])
    mates = {}
    for index, name in enumerate(names):
        mates[name] = gossip.Gossip(
            'panel',
            pooltable.PoolTable(name, 1, clock),
            known,
            helpers.FakeLinks(),
            Fingerprints(),
            numpy.random.default_rng([seed, index]),
            clock,
        )
        mates[name].on_vm_list_changed()
    for name, mate in mates.items():
        for other in names:
            mate.links.links[other] = connect(mates, name, other)
    return clock, mates


def connect(mates, source, target):
    """Make the link on which ``source`` sends to ``target``."""

    def answer(message):
        mates[source].receive(helpers.FakeLink(target), message)

    def deliver(message):
        mates[target].receive(helpers.FakeLink(source, answer), message)

    return helpers.FakeLink(target, deliver)


def test_loads_and_fingerprints_reach_every_mate():
    async def work():
        clock, mates = make_pool(12)
        for index, mate in enumerate(mates.values()):
            mate.on_load_changed(index)
        mates['s3'].quarantine.held.add(b'bad')
        for _ in range(8):
            clock.now += 1.0
            for mate in mates.values():
                await mate.exchange()
        return mates

    mates = asyncio.run(work())
    assert [mate.table.total for mate in mates.values()] == [66] * 12
    assert all(mate.quarantine.held == {b'bad'} for mate in mates.values())


def test_every_mate_of_a_large_pool_stays_known():
    async def work():
        clock, mates = make_pool(60)
        for _ in range(40):
            clock.now += 1.0
            for mate in mates.values():
                await mate.exchange()
        return mates

    mates = asyncio.run(work())
    assert {mate.table.count for mate in mates.values()} == {60}


def test_refresh_asks_every_mate_of_a_small_pool():
    async def work():
        _, mates = make_pool(6)
        for mate in mates.values():
            mate.on_load_changed(4)
        await mates['s0'].refresh_loads()
        return mates['s0']

    assert asyncio.run(work()).table.total == 24


def test_refresh_of_a_large_pool_is_bounded():
    async def work():
        _, mates = make_pool(40)
        await mates['s0'].refresh_loads()
        sent = [link.sent for link in mates['s0'].links.links.values()]
        return sum(len(messages) for messages in sent)

    assert asyncio.run(work()) == gossip.REFRESH_MATES


def test_spent_budget_defers_an_exchange():
    async def work():
        clock, mates = make_pool(2)
        mate = mates['s0']
        mate.budget.spend(gossip.BUDGET_BURST_BYTES)
        await mate.exchange()
        assert not mate.links.links['s1'].sent
        clock.now += 1.0
        await mate.exchange()
        assert len(mate.links.links['s1'].sent) == 1

    asyncio.run(work())


def test_large_pool_stays_within_the_byte_budget():
    async def work():
        clock, mates = make_pool(40)
        for _ in range(20):
            clock.now += 1.0
            for mate in mates.values():
                await mate.exchange()
        return mates['s0']

    mate = asyncio.run(work())
    sent = [m for link in mate.links.links.values() for m in link.sent]
    assert len(sent) >= 10
    assert all(len(m.loads) <= gossip.MOST_LOADS for m in sent)
