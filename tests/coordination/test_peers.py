"""Tests of gossip between edge routers, with lost and malformed messages."""

import asyncio
import dataclasses
import json
import random
import time

import pytest

from arbutusvale import errors
from arbutusvale.coordination import crash_exchange
from arbutusvale.coordination import peers
from arbutusvale.protocol import peer_message
from arbutusvale.state import crash_evidence
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import server_loads
from tests import helpers_edge


class Network:
    """Routers that exchange datagrams, with random loss."""

    def __init__(self, count, loss=0.0, seed=1):
        self.clock = helpers_edge.Clock()
        self.generator = random.Random(seed)
        self.loss = loss
        self.routers = {}
        self.sent = 0
        self.exchanges = {}
        for number in range(count):
            self.add(number)

    def add(self, number):
        host = f'10.0.0.{number}'
        router = peers.Peers(
            f'r{number}',
            host,
            ('10.0.0.0', '10.0.0.1'),
            helpers_edge.Events(),
            self.clock,
            random.Random(number),
        )
        router.loads = server_loads.ServerLoads(self.clock)
        router.prompts = prompt_cache_index.PromptCacheIndex(self.clock)
        router.send = self.deliver
        self.exchanges[host] = self.make_exchange(router)
        self.routers[host] = router
        return router

    def make_exchange(self, router):
        exchange = crash_exchange.CrashExchange(
            router.host,
            crash_evidence.CrashEvidence(self.clock),
            router.list_known_hosts,
            self.clock,
        )
        exchange.send = self.deliver
        router.on_crash_message = exchange.receive
        router.on_suspicions = exchange.receive_suspicions
        router.list_suspicions = exchange.list_suspicions
        router.on_peer_returned = exchange.sync
        return exchange

    def deliver(self, host, data):
        assert len(data) <= peer_message.MAX_BYTES
        self.sent += 1
        if host in self.routers and self.generator.random() >= self.loss:
            self.routers[host].receive(data)

    def run(self, seconds):
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += peers.SEND_INTERVAL_S
            for router in list(self.routers.values()):
                router.broadcast()
                self.exchanges[router.host].flush()


def test_two_seeds_suffice_to_discover_all_routers():
    network = Network(12, loss=0.2)
    network.run(10)
    for router in network.routers.values():
        assert router.count_live() >= 11


def test_loads_of_all_routers_are_summed():
    network = Network(5)
    for router in network.routers.values():
        router.loads.record_start('e1')
    network.run(3)
    for router in network.routers.values():
        assert router.loads.estimate('e1') == 5


def test_dead_and_leaving_routers_do_not_count_as_live():
    network = Network(4)
    network.run(3)
    dead = network.routers.pop('10.0.0.3')
    dead.loads.record_start('e1')
    leaving = network.routers['10.0.0.2']
    leaving.leaving = True
    leaving.broadcast()
    assert network.routers['10.0.0.0'].count_live() == 3
    del network.routers['10.0.0.2']
    network.run(3)
    assert network.routers['10.0.0.0'].count_live() == 2


def test_cache_locations_reach_all_peers_and_leave_the_queue():
    network = Network(3)
    network.run(2)
    first = network.routers['10.0.0.0']
    for number in range(40):
        first.announce_cache_location(f'p{number}', 'e1', False)
    network.run(2)
    for router in network.routers.values():
        if router is not first:
            assert set(router.prompts.find_engines('p39')) == {'e1'}
    assert not first.pending_cache_locations


def test_a_new_cache_location_is_sent_before_the_interval_ends(monkeypatch):
    """Guards against prompts that are read on many engines.

    In the first second of a day 32 routers receive the same new prompts.
    """
    monkeypatch.setattr(peers, 'SEND_INTERVAL_S', 3600.0)

    async def run():
        network = Network(2)
        first, second = network.routers.values()
        first.clock = time.monotonic
        delivered = asyncio.Event()

        def send(host, data):
            network.deliver(host, data)
            if second.prompts.find_engines('p'):
                delivered.set()

        first.send = send
        first.broadcast()
        task = asyncio.create_task(first.run())
        await asyncio.sleep(0)
        first.announce_cache_location('p', 'e1', False)
        async with asyncio.timeout(20):
            await delivered.wait()
        task.cancel()

    asyncio.run(run())


def test_only_some_routers_announce_new_offsets_early():
    """If all 32 did, each change would cost a thousand datagrams."""
    network = Network(32)
    network.run(5)
    for router in network.routers.values():
        router.send_requested.clear()
        router.announce_offsets()
    early = sum(
        router.send_requested.is_set() for router in network.routers.values()
    )
    assert 1 <= early <= 12
    alone = Network(2)
    alone.run(2)
    first = alone.routers['10.0.0.0']
    first.announce_offsets()
    assert first.send_requested.is_set()


def test_crashes_seen_by_two_routers_are_merged():
    network = Network(3)
    network.run(2)
    exchanges = list(network.exchanges.values())
    request = crash_evidence.digest_request(b'f' * 16)
    exchanges[0].report_crash('e1/1', [request], network.clock.now)
    exchanges[1].report_crash('e2/1', [request], network.clock.now)
    network.run(2)
    assert all(
        exchange.evidence.find_culprit([request]) for exchange in exchanges
    )


def report_crashes(network, part, *numbers):
    """Let one router after the other see a crash with a part in flight."""
    exchanges = list(network.exchanges.values())
    for number in numbers:
        network.clock.now += 2.0
        exchange = exchanges[number % len(exchanges)]
        exchange.report_crash(f'e{number}/1', [part], network.clock.now)


def test_evidence_reaches_a_router_that_started_or_was_out_of_touch():
    network = Network(3, loss=0.3)
    network.run(2)
    part = crash_evidence.digest_part('acme', 'm', 'bad')
    network.loss = 1.0
    report_crashes(network, part, *range(4))
    network.run(3)
    assert not any(
        exchange.evidence.find_culprit([part])
        for exchange in network.exchanges.values()
    )
    network.loss = 0.0
    network.add(3)
    network.run(3)
    assert all(
        exchange.evidence.find_culprit([part])
        for exchange in network.exchanges.values()
    )
    network.add(0)
    network.run(1)
    assert network.exchanges['10.0.0.0'].evidence.find_culprit([part])


def test_evidence_adds_up_beside_a_router_of_the_build_before():
    """That one sends whole requests only, and knows no crash reports."""
    network = Network(3)
    old = network.routers['10.0.0.2']
    old.on_crash_message = lambda message: None
    old.on_peer_returned = lambda host: None
    old.incarnation = None
    request = crash_evidence.digest_request(b'f' * 16)
    suspicion = peer_message.Suspicion(b'f' * 16, ('e1/1',), ())
    old.list_suspicions = lambda: (suspicion,)
    received = []
    receive = old.receive

    def receive_and_record(data):
        if data.startswith(b'{"v":'):
            received.extend(peer_message.decode(data).suspicions)
        receive(data)

    old.receive = receive_and_record
    network.run(2)
    part = crash_evidence.digest_part('acme', 'm', 'bad')
    first = network.exchanges['10.0.0.0']
    second = network.exchanges['10.0.0.1']
    for number, exchange in enumerate((first, second, first, second)):
        network.clock.now += 2.0
        exchange.report_crash(f'e{number + 2}/1', [part], network.clock.now)
    network.clock.now += 2.0
    first.report_crash('e9/1', [request], network.clock.now)
    network.run(1)
    for exchange in (first, second):
        assert exchange.evidence.find_culprit([part])
        assert exchange.evidence.find_culprit([request])
    assert received[-1].fingerprint == b'f' * 16


def test_offsets_of_peers_are_passed_to_the_callback():
    network = Network(2)
    first, second = network.routers.values()
    first.read_offsets = lambda: {'topic': 9}
    seen = []
    second.on_peer_offset = lambda topic, offset, era: seen.append(
        (topic, offset)
    )
    network.run(1)
    assert ('topic', 9) in seen


def test_the_send_interval_grows_with_the_number_of_peers():
    few, many = Network(4), Network(60)
    few.run(5)
    many.run(5)
    assert few.routers['10.0.0.0'].interval_s() == peers.SEND_INTERVAL_S
    rate = 59 / many.routers['10.0.0.0'].interval_s()
    assert rate <= peers.FULL_RATE_PEERS / peers.SEND_INTERVAL_S * 1.01


def test_live_peers_are_listed_first():
    network = Network(4)
    network.run(3)
    router = network.routers['10.0.0.0']
    del network.routers['10.0.0.1']
    network.run(2)
    assert router.list_known_hosts()[:2] == ['10.0.0.2', '10.0.0.3']
    assert set(router.list_known_hosts()) == {
        '10.0.0.1',
        '10.0.0.2',
        '10.0.0.3',
    }


def test_malformed_datagrams_are_counted_and_ignored():
    network = Network(2)
    network.run(2)
    router = network.routers['10.0.0.0']
    live = router.count_live()
    malformed = (
        b'', b'{}', b'[]', b'\xff', b'{"v":1}', b'{"v":9}', b'null',
        b'[' * 100_000,
        peer_message.encode(
            peer_message.PeerMessage(
                'x', '10.0.0.9', {}, {}, (), (),
                (peer_message.Suspicion(b'f', (), ()),),
            )
        ).replace(b'"66"', b'"no hex"'),
    )  # fmt: skip
    for data in malformed:
        router.receive(data)
    assert router.malformed_count == len(malformed)
    assert router.count_live() == live


def test_peers_tell_what_is_being_read_from_what_is_cached():
    network = Network(2)
    network.run(2)
    first, second = network.routers.values()
    first.announce_cache_location('cached', 'e1', is_reading=False)
    first.announce_cache_location('new', 'e1', is_reading=True)
    first.broadcast()
    assert set(second.prompts.find_engines('cached')) == {'e1'}
    assert set(second.prompts.find_readers('new')) == {'e1'}


def test_demand_for_busy_pools_is_told_and_nonsense_is_not_read():
    message = peer_message.PeerMessage(
        'a', '10.0.0.1', {}, {}, (), demand={'chat': 7.5}
    )
    data = peer_message.encode(message)
    assert peer_message.decode(data).demand == {'chat': 7.5}
    with pytest.raises(errors.FrameError):
        peer_message.decode(data.replace(b'7.5', b'NaN'))
    quiet = peer_message.encode(dataclasses.replace(message, demand={}))
    assert b'demand' not in quiet


def test_message_of_a_build_that_tells_no_readings_is_read():
    network = Network(2)
    network.run(2)
    first, second = network.routers.values()
    first.announce_cache_location('p', 'e1', is_reading=False)
    document = json.loads(peer_message.encode(first._build_message()))
    del document['reading']
    second.receive(json.dumps(document).encode())
    assert set(second.prompts.find_engines('p')) == {'e1'}


def make_speed_news(count):
    return tuple(
        peer_message.SpeedNews(f'i-{number:010x}', 6.0, 0)
        for number in range(count)
    )


def test_speeds_reach_peers():
    network = Network(2)
    network.run(2)
    first, second = network.routers.values()
    received = []
    second.on_speed_news = received.extend
    first.pop_speed_news = lambda: make_speed_news(2)
    first.broadcast()
    assert tuple(received) == make_speed_news(2)


def test_speeds_are_left_out_of_a_message_that_would_be_too_long():
    network = Network(2)
    network.run(2)
    first, second = network.routers.values()
    for number in range(peers.MAX_LOADS):
        first.loads.record_start(f'i-{number:010x}' + 'x' * 18)
    first.pop_speed_news = lambda: make_speed_news(8)
    sent = []
    first.send = lambda host, data: sent.append(data)
    first.broadcast()
    assert all(len(data) <= peer_message.MAX_BYTES for data in sent)
    assert len(peer_message.decode(sent[0]).loads) == peers.MAX_LOADS
