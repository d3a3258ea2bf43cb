"""Messages between edge routers, lost, odd and in any order."""

import asyncio
import random
import time

from arbutusvale.coordination import peers
from arbutusvale.protocol import peer_message
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import server_loads
from arbutusvale.state import suspects
from tests import helpers_edge


class Network:
    """Routers that exchange datagrams; some are lost."""

    def __init__(self, count, loss=0.0, seed=1):
        self.clock = helpers_edge.Clock()
        self.generator = random.Random(seed)
        self.loss = loss
        self.routers = {}
        self.sent = 0
        for number in range(count):
            self.add(number)

    def add(self, number):
        host = f'10.0.0.{number}'
        one = peers.Peers(
            f'r{number}',
            host,
            ('10.0.0.0', '10.0.0.1'),
            helpers_edge.Events(),
            self.clock,
            random.Random(number),
        )
        one.loads = server_loads.ServerLoads(self.clock)
        one.prompts = prompt_cache_index.PromptCacheIndex(self.clock)
        one.suspects = suspects.SuspectTable(self.clock)
        one.send = self.deliver
        self.routers[host] = one
        return one

    def deliver(self, host, data):
        assert len(data) <= peer_message.MAX_BYTES
        self.sent += 1
        if host in self.routers and self.generator.random() >= self.loss:
            self.routers[host].receive(data)

    def run(self, seconds):
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += peers.SEND_S
            for one in list(self.routers.values()):
                one.tell()


def test_routers_find_all_others_by_two_seeds():
    network = Network(12, loss=0.2)
    network.run(10)
    for one in network.routers.values():
        assert one.count_live() >= 11


def test_loads_of_all_routers_add_up():
    network = Network(5)
    for one in network.routers.values():
        one.loads.record_start('e1')
    network.run(3)
    for one in network.routers.values():
        assert one.loads.estimate('e1') == 5


def test_a_router_that_dies_or_leaves_no_longer_counts():
    network = Network(4)
    network.run(3)
    dead = network.routers.pop('10.0.0.3')
    dead.loads.record_start('e1')
    leaving = network.routers['10.0.0.2']
    leaving.leaving = True
    leaving.tell()
    assert network.routers['10.0.0.0'].count_live() == 3
    del network.routers['10.0.0.2']
    network.run(3)
    assert network.routers['10.0.0.0'].count_live() == 2


def test_cache_places_reach_the_others_once():
    network = Network(3)
    network.run(2)
    first = network.routers['10.0.0.0']
    for number in range(40):
        first.note_place(f'p{number}', 'e1')
    network.run(2)
    for one in network.routers.values():
        if one is not first:
            assert set(one.prompts.find_engines('p39')) == {'e1'}
    assert not first.places


def test_a_new_cache_place_does_not_wait_for_the_next_message(monkeypatch):
    """In the first second of a day 32 routers meet the same new prompts."""
    monkeypatch.setattr(peers, 'SEND_S', 3600.0)

    async def run():
        network = Network(2)
        first, second = network.routers.values()
        first.clock = time.monotonic
        told = asyncio.Event()

        def send(host, data):
            network.deliver(host, data)
            if second.prompts.find_engines('p'):
                told.set()

        first.send = send
        first.tell()
        task = asyncio.create_task(first.run())
        await asyncio.sleep(0)
        first.note_place('p', 'e1')
        async with asyncio.timeout(20):
            await told.wait()
        task.cancel()

    asyncio.run(run())


def test_some_routers_tell_at_once_how_far_they_read():
    """All of them at once would be a thousand datagrams a change."""
    network = Network(32)
    network.run(5)
    for one in network.routers.values():
        one.has_news.clear()
        one.note_progress()
    early = sum(one.has_news.is_set() for one in network.routers.values())
    assert 1 <= early <= 12
    alone = Network(2)
    alone.run(2)
    first = alone.routers['10.0.0.0']
    first.note_progress()
    assert first.has_news.is_set()


def test_crashes_seen_by_two_routers_add_up():
    network = Network(3)
    network.run(2)
    routers = list(network.routers.values())
    routers[0].suspects.merge(b'f' * 16, ['e1/1'])
    routers[1].suspects.merge(b'f' * 16, ['e2/1'])
    network.run(2)
    assert all(one.suspects.find(b'f' * 16).quarantined for one in routers)


def test_a_peer_that_read_further_is_noticed():
    network = Network(2)
    first, second = network.routers.values()
    first.read_offsets = lambda: {'topic': 9}
    told = []
    second.on_behind = lambda topic, offset: told.append((topic, offset))
    network.run(1)
    assert ('topic', 9) in told


def test_messages_become_rarer_as_routers_become_many():
    few, many = Network(4), Network(60)
    few.run(5)
    many.run(5)
    assert few.routers['10.0.0.0'].interval_s() == peers.SEND_S
    rate = 59 / many.routers['10.0.0.0'].interval_s()
    assert rate <= peers.FULL_RATE_PEERS / peers.SEND_S * 1.01


def test_peers_that_were_heard_of_late_are_asked_first():
    network = Network(4)
    network.run(3)
    one = network.routers['10.0.0.0']
    del network.routers['10.0.0.1']
    network.run(2)
    assert one.list_hosts()[:2] == ['10.0.0.2', '10.0.0.3']
    assert set(one.list_hosts()) == {'10.0.0.1', '10.0.0.2', '10.0.0.3'}


def test_odd_datagrams_change_nothing():
    network = Network(2)
    network.run(2)
    one = network.routers['10.0.0.0']
    live = one.count_live()
    odd = (
        b'', b'{}', b'[]', b'\xff', b'{"v":1}', b'{"v":9}', b'null',
        b'[' * 100_000,
        peer_message.encode(
            peer_message.PeerMessage(
                'x', '10.0.0.9', {}, {}, (), (),
                (peer_message.Suspicion(b'f', (), ()),),
            )
        ).replace(b'"66"', b'"no hex"'),
    )  # fmt: skip
    for data in odd:
        one.receive(data)
    assert one.malformed == len(odd)
    assert one.count_live() == live
