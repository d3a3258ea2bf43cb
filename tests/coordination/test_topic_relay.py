"""Tests of the relay of store reads, under loss, crashes and partitions."""

import asyncio
import json
import random

import pytest

from arbutusvale.coordination import log_follower
from arbutusvale.coordination import server_view
from arbutusvale.coordination import topic_relay
from arbutusvale.platform import records
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import list_update
from arbutusvale.protocol import peer_message
from arbutusvale.state import server_list
from tests import helpers_edge

TOPIC = 'servers'
APPLY_S = 3.0
ROUTERS = 12
SERVERS = 6
HEARTBEAT_S = 0.2
STEP_S = 0.05


class Store:
    """A log of server entries, with a stream of heartbeat records."""

    def __init__(self, seed=1):
        self.log = []
        self.states = {f's{n}': 'ready' for n in range(SERVERS)}
        self.sequence = 0
        self.idle = False
        self.generator = random.Random(seed)
        for name in list(self.states):
            self.write(name)

    def write(self, name):
        self.sequence += 1
        state = self.states[name]
        value = None
        if state != 'gone':
            value = helpers_edge.make_entry(
                '1.1.1.1:1', State=state, Sequence=self.sequence
            )
        self.log.append(keyed_log.Record(name, value, len(self.log)))

    def renew_random_entry(self):
        name = self.generator.choice(sorted(self.states))
        if self.idle:
            return
        if self.states[name] != 'gone':
            self.write(name)

    def set_state(self, name, state):
        self.states[name] = state
        self.write(name)

    def list_ready(self, end=None):
        newest = {record.key: record for record in self.log[:end]}
        return {
            record.key
            for record in newest.values()
            if record.value and json.loads(record.value)['State'] == 'ready'
        }


class Router:
    """A router whose follower is driven step by step, without a task."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.host = f'10.0.0.{number}'
        self.events = helpers_edge.Events()
        self.servers = server_list.ServerList(fleet.clock)
        view = server_view.ServerView(
            self.servers,
            records.read_server,
            self.events,
            lambda server_id: None,
        )
        self.follower = log_follower.LogFollower(
            TOPIC, None, view, self.events, APPLY_S, fleet.clock
        )
        self.relay = topic_relay.TopicRelay(
            self.host, self.follower, self.list_live, self.events, fleet.clock
        )
        self.follower.relay = self.relay
        self.relay.send = fleet.send
        self.next_read = 0.0
        self.calls = 0
        self.partitioned = False

    def list_live(self):
        return [
            router.host
            for router in self.fleet.routers
            if router is not self and router.host not in self.fleet.dead_hosts
        ]

    def step(self):
        now = self.fleet.clock.now
        follower = self.follower
        if now < self.next_read:
            return
        if follower.offset is not None and self.relay.poll_delay_s() > 0:
            return
        self.calls += 1
        if self.partitioned:
            follower.contact.lost_at = follower.contact.lost_at or now
            self.next_read = now + 0.4
            return
        log = self.fleet.store.log
        if follower.offset is None or follower.full_read_due:
            newest = {record.key: record for record in log}
            listed = [record for record in newest.values() if record.value]
            follower.sink.replace(listed, follower._record_answer())
            follower._advance(None, keyed_log.Page([], len(log)), [])
        else:
            start = follower.offset
            changed = follower.sink.update(
                log[start:], follower._record_answer()
            )
            follower._advance(start, keyed_log.Page([], len(log)), changed)
        is_idle = self.fleet.store.idle
        pause_s = (
            log_follower.POLL_WAIT_S if is_idle else follower.batch_delay_s
        )
        self.next_read = now + pause_s

    def list_ready(self):
        return {
            listed.server.id
            for listed in self.servers.list_ready_servers('chat')
        }


class Fleet:
    """Routers, a store, and a network with random loss of datagrams."""

    def __init__(self, loss=0.0, seed=1, count=ROUTERS):
        self.clock = helpers_edge.Clock()
        self.store = Store(seed)
        self.generator = random.Random(seed)
        self.loss = loss
        self.dead_hosts = set()
        self.routers = []
        self.routers.extend(Router(self, number) for number in range(count))

    def send(self, host, data):
        assert len(data) <= peer_message.MAX_BYTES
        if host in self.dead_hosts or self.generator.random() < self.loss:
            return
        for router in self.routers:
            if router.host == host:
                router.relay.receive(list_update.decode(data))

    def run(self, seconds):
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += STEP_S
            if self.generator.random() < STEP_S / HEARTBEAT_S:
                self.store.renew_random_entry()
            for router in self.list_alive():
                router.step()

    def list_alive(self):
        return [
            router
            for router in self.routers
            if router.host not in self.dead_hosts
        ]

    def list_readers(self):
        return [
            router for router in self.list_alive() if router.relay._is_reader()
        ]


@pytest.mark.parametrize('idle', [False, True])
def test_only_the_designated_readers_poll_the_store(idle):
    fleet = Fleet()
    fleet.store.idle = idle
    fleet.run(20)
    assert len(fleet.list_readers()) == topic_relay.READERS
    listeners = [
        router for router in fleet.routers if not router.relay.acts_as_reader
    ]
    assert len(listeners) == ROUTERS - topic_relay.READERS
    assert max(router.calls for router in listeners) <= 3
    assert listeners[0].events.named('list-listener')


def test_all_routers_poll_in_a_small_fleet():
    fleet = Fleet(count=topic_relay.MIN_ROUTERS - 1)
    fleet.run(10)
    assert min(router.calls for router in fleet.routers) >= 9


def test_listeners_still_make_periodic_full_reads():
    fleet = Fleet()
    fleet.run(2 * topic_relay.FULL_READ_INTERVAL_S + 5)
    listeners = [
        router for router in fleet.routers if not router.relay.acts_as_reader
    ]
    assert all(3 <= router.calls <= 6 for router in listeners)


@pytest.mark.parametrize('idle', [False, True])
@pytest.mark.parametrize('loss', [0.0, 0.3])
def test_a_draining_server_is_known_to_all_routers_in_time(loss, idle):
    fleet = Fleet(loss)
    fleet.store.idle = idle
    fleet.run(10)
    fleet.store.set_state('s0', 'draining')
    fleet.run(0.7 * APPLY_S)
    for router in fleet.routers:
        assert 's0' not in router.list_ready()


def test_simultaneous_loss_of_all_readers_does_not_delay_a_change():
    """The last relayed read soon expires; then each router polls."""
    fleet = Fleet()
    fleet.run(10)
    dead_hosts = {router.host for router in fleet.list_readers()}
    live = fleet.list_alive()
    fleet.dead_hosts = dead_hosts
    for router in live:
        # Dead peers are listed as live for some seconds.
        router.list_live = lambda own=router: [
            other.host for other in fleet.routers if other is not own
        ]
        router.relay.list_live = router.list_live
    fleet.store.set_state('s1', 'draining')
    fleet.run(0.7 * APPLY_S)
    for router in fleet.list_alive():
        assert 's1' not in router.list_ready()


def test_readers_partitioned_from_the_store_do_not_delay_listeners():
    fleet = Fleet()
    fleet.run(10)
    for router in fleet.list_readers():
        router.partitioned = True
    fleet.store.set_state('s2', 'gone')
    fleet.run(0.7 * APPLY_S)
    for router in fleet.routers:
        assert router.partitioned or 's2' not in router.list_ready()


def test_relayed_records_after_a_gap_are_rejected():
    fleet = Fleet()
    fleet.run(5)
    listener = next(
        router for router in fleet.routers if not router.relay.acts_as_reader
    )
    end = len(fleet.store.log)
    gap = list_update.ListUpdate('10.0.0.9', TOPIC, end + 5, end + 9, 0.0, ())
    confirmed_at = listener.relay.confirmed_at
    listener.relay.receive(gap)
    assert listener.relay.confirmed_at == confirmed_at
    assert listener.follower.offset <= end


def test_known_relayed_records_are_not_applied_again():
    fleet = Fleet()
    fleet.run(5)
    listener = next(
        router for router in fleet.routers if not router.relay.acts_as_reader
    )
    offset = listener.follower.offset
    old = keyed_log.Record('s3', None, offset - 1)
    new = keyed_log.Record('s4', None, offset)
    relayed = list_update.ListUpdate(
        '10.0.0.9', TOPIC, offset - 2, offset + 1, 0.1, (old, new)
    )
    listener.relay.receive(relayed)
    assert 's3' in listener.list_ready()
    assert 's4' not in listener.list_ready()
    assert listener.follower.offset == offset + 1


def test_relayed_records_are_rejected_during_a_call():
    fleet = Fleet()
    fleet.run(5)
    listener = next(
        router for router in fleet.routers if not router.relay.acts_as_reader
    )
    offset = listener.follower.offset
    listener.follower.call_in_flight = True
    listener.relay.receive(
        list_update.ListUpdate('10.0.0.9', TOPIC, offset, offset + 4, 0.0, ())
    )
    assert listener.follower.offset == offset


def test_every_router_polls_until_the_recovery_grace_has_passed():
    fleet = Fleet()
    fleet.run(5)
    listener = next(
        router for router in fleet.routers if not router.relay.acts_as_reader
    )
    listener.follower.contact.regained_at = fleet.clock.now
    assert listener.relay.poll_delay_s() <= 0
    fleet.clock.now += server_list.RECOVERY_GRACE_S + 1.1
    listener.relay.confirmed_at = fleet.clock.now
    assert listener.relay.poll_delay_s() > 0


@pytest.mark.parametrize('seed', range(20))
def test_routers_match_a_prefix_of_the_log_under_random_faults(seed):
    """Faults are crashes, partitions and lost datagrams, among changes."""
    fleet = Fleet(loss=0.3, seed=seed)
    generator = random.Random(seed)
    for _ in range(60):
        fleet.run(generator.uniform(0.1, 1.0))
        name = generator.choice(sorted(fleet.store.states))
        match generator.randrange(6):
            case 0 | 1:
                state = generator.choice(['ready', 'draining', 'gone'])
                fleet.store.set_state(name, state)
            case 2:
                router = generator.choice(fleet.routers)
                router.partitioned = not router.partitioned
                if (
                    not router.partitioned
                    and router.follower.contact.lost_at is not None
                ):
                    router.follower.offset = None
            case 3:
                host = generator.choice(fleet.routers).host
                fleet.dead_hosts ^= {host}
        for router in fleet.list_alive():
            offset = router.follower.offset
            if offset is not None and not router.servers.expire():
                pending = {
                    server_id
                    for server_id, listed in router.servers.by_id.items()
                    if listed.expires_at is not None
                }
                expected = fleet.store.list_ready(offset)
                assert router.list_ready() - pending == expected - pending
    for router in fleet.routers:
        if router.partitioned:
            router.partitioned = False
            router.follower.offset = None
    fleet.dead_hosts = set()
    fleet.run(server_list.RECOVERY_GRACE_S + APPLY_S + 2)
    for router in fleet.routers:
        assert router.list_ready() == fleet.store.list_ready()


def test_a_follower_with_a_relay_makes_no_call_until_refreshed():
    class Log:
        def __init__(self):
            self.calls = []
            self.called = asyncio.Event()

        async def read_newest(self):
            self.calls.append('newest')
            self.called.set()
            return keyed_log.Page([], 5)

        async def read_from(self, offset, wait_s):
            self.calls.append('on')
            return keyed_log.Page([], offset)

        def disconnect(self):
            pass

        def is_receiving(self):
            return False

    class Relay(log_follower.NoRelay):
        def poll_delay_s(self):
            return 60.0

    async def follow():
        log, events = Log(), helpers_edge.Events()
        servers = server_list.ServerList(helpers_edge.Clock())
        view = server_view.ServerView(
            servers, records.read_server, events, lambda server_id: None
        )
        follower = log_follower.LogFollower(TOPIC, log, view, events, APPLY_S)
        follower.relay = Relay()
        task = asyncio.create_task(follower.run())
        await asyncio.wait_for(log.called.wait(), 10)
        for _ in range(10):
            await asyncio.sleep(0)
        assert log.calls == ['newest']
        await follower.refresh()
        assert log.calls == ['newest', 'newest']
        task.cancel()

    asyncio.run(follow())
