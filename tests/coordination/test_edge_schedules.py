"""Randomised interleavings of concurrent edge routers.

A seeded generator mixes records of the store, reads, lost history, snapshots
from peers, pauses and restarts in any order.  Invariants are checked after
each step.
"""

import json
import random

import pytest

from arbutusvale.coordination import config_view
from arbutusvale.coordination import crash_exchange
from arbutusvale.coordination import evacuation_view
from arbutusvale.coordination import peer_snapshot
from arbutusvale.coordination import server_view
from arbutusvale.coordination import sink_group
from arbutusvale.platform import records
from arbutusvale.protocol import crash_report
from arbutusvale.protocol import keyed_log
from arbutusvale.state import crash_evidence
from arbutusvale.state import evacuations
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import server_list
from arbutusvale.state import suspects
from tests import helpers_edge

ROUTERS = 3
SERVERS = 4
DATA_CENTRES = 3
GRACE_S = server_list.RECOVERY_GRACE_S
STEPS = 150


class Store:
    """A store with one log for each topic."""

    def __init__(self):
        self.topics = {'config': [], 'servers': []}
        self.version = 0
        self.era = 1

    def append_configuration(self):
        self.version += 1
        data = helpers_edge.make_config(self.version)
        self.append_operator_record('config', data)

    def append_operator_record(self, key, value):
        log = self.topics['config']
        log.append(keyed_log.Record(key, value, len(log)))

    def append_random_server(self, generator, born):
        name = f's{generator.randrange(SERVERS)}'
        state = generator.choice(('ready', 'ready', 'draining', 'gone'))
        value = None
        if state != 'gone':
            value = helpers_edge.make_entry(
                '1.1.1.1:1', State=state, born=born
            )
        self.topics['servers'].append(keyed_log.Record(name, value))

    def restore_older_copy(self, generator):
        """Lose the last records; the operator writes its own again."""
        self.era += 1
        for log in self.topics.values():
            del log[max(1, len(log) - generator.randint(0, 4)) :]
        self.append_operator_record(
            'config', helpers_edge.make_config(self.version)
        )

    def newest_by_key(self, topic):
        return {record.key: record for record in self.topics[topic]}


class Router:
    """The state of one incarnation of a router."""

    def __init__(self, clock):
        self.events = helpers_edge.Events()
        self.config = config_view.ConfigView(
            config_view.ConfigSource('config', records.read_configuration),
            self.events,
            clock,
        )
        self.servers = server_list.ServerList(clock)
        self.view = server_view.ServerView(
            self.servers,
            records.read_server,
            self.events,
            lambda server_id: None,
        )
        self.followers = {}
        self.evacuations = evacuation_view.EvacuationView(
            evacuations.Evacuations(clock),
            records.read_evacuated_data_centre,
            lambda: self.followers['config'].page_end,
            self.events,
        )
        operator = sink_group.SinkGroup((self.config, self.evacuations))
        for topic, sink in (('config', operator), ('servers', self.view)):
            self.followers[topic] = FakeFollower(topic, sink)
        self.exchange = peer_snapshot.SnapshotExchange(
            peer_snapshot.LocalState(
                self.config,
                self.view,
                self.followers['config'],
                self.followers['servers'],
                prompt_cache_index.PromptCacheIndex(clock),
                self.evacuations,
            ),
            self.events,
        )
        self.highest_version = 0
        self.ready_before = set()

    def read(self, store, generator):
        topic = generator.choice(list(self.followers))
        follower = self.followers[topic]
        log = store.topics[topic]
        is_older_copy = follower.era is not None and follower.era != store.era
        if (
            follower.offset is None
            or is_older_copy
            or generator.random() < 0.1
        ):
            newest = [
                record
                for record in store.newest_by_key(topic).values()
                if record.value
            ]
            follower.page_end = keyed_log.Position(store.era, len(log))
            if is_older_copy:
                follower.sink.note_older_copy(newest)
            follower.sink.replace(newest, None)
            follower.offset = len(log)
            follower.era = store.era
            return
        end = generator.randint(follower.offset, len(log))
        if end == follower.offset < len(log):
            # An answer is empty only at the end of the log.
            return
        follower.page_end = keyed_log.Position(store.era, end)
        follower.sink.update(log[follower.offset : end], None)
        follower.offset = end

    def copy_snapshot(self, peer):
        status, text = peer.exchange.render_snapshot()
        if status == 200:
            self.exchange.apply_snapshot('peer', text.encode())

    def list_evacuated(self):
        return set(self.evacuations.state.in_force)

    def list_ready(self):
        return {name for name, _ in self.list_ready_incarnations()}

    def list_ready_incarnations(self):
        return {
            (listed.server.id, listed.server.started_at_ms)
            for listed in self.servers.list_ready_servers('chat')
        }


class FakeFollower:
    """A log follower reduced to its offset and its sink."""

    def __init__(self, topic, sink):
        self.topic = topic
        self.sink = sink
        self.offset = None
        self.era = None
        self.page_end = keyed_log.Position(0, 0)

    def adopt(self, offset, era):
        self.offset, self.era = offset, era


def list_ready_in_log(store):
    """Return the servers that the whole log lists as ready."""
    return {
        record.key
        for record in store.newest_by_key('servers').values()
        if record.value and json.loads(record.value)['State'] == 'ready'
    }


@pytest.mark.parametrize('seed', range(60))
def test_routers_match_the_store_under_random_interleavings(seed):
    generator = random.Random(seed)
    clock = helpers_edge.Clock()
    store = Store()
    store.append_configuration()
    routers = [Router(clock) for _ in range(ROUTERS)]
    for step in range(STEPS):
        clock.now += generator.expovariate(5)
        number = generator.randrange(ROUTERS)
        router = routers[number]
        match generator.randrange(8):
            case 0:
                store.append_configuration()
            case 1:
                store.append_random_server(generator, step)
            case 2:
                router.copy_snapshot(generator.choice(routers))
            case 3 if generator.random() < 0.1:
                routers[number] = Router(clock)
            case _:
                router.read(store, generator)
        for checked in routers:
            assert checked.config.version >= checked.highest_version
            checked.highest_version = checked.config.version
            check_log_prefix(checked, store)
    for checked in routers:
        for topic, follower in checked.followers.items():
            start = follower.offset or 0
            follower.sink.update(store.topics[topic][start:], None)
        assert checked.config.version == store.version
        assert checked.list_ready() == list_ready_in_log(store)


class Operator:
    """An operator who evacuates data centres, and writes lost records again.

    ``wanted`` has all data centres that ever were evacuated, and whether they
    still are; ``positions`` the records that said so first.
    """

    def __init__(self, store):
        self.store = store
        self.wanted = {}
        self.positions = {}

    def step(self, generator):
        name = f'dc{generator.randrange(DATA_CENTRES)}'
        self.wanted[name] = not self.wanted.get(name, False)
        self.positions[name] = keyed_log.Position(
            self.store.era, len(self.store.topics['config'])
        )
        self.write(name)

    def write(self, name):
        value = b'{}' if self.wanted[name] else None
        self.store.append_operator_record(f'evacuate/{name}', value)

    def write_again(self):
        for name in self.wanted:
            self.write(name)

    def list_evacuated(self):
        return {name for name, evacuated in self.wanted.items() if evacuated}

    def list_followed(self, router):
        """List the evacuations of now that a router follows."""
        return {
            name
            for name, evacuation in router.evacuations.state.in_force.items()
            if self.wanted.get(name)
            and evacuation.position >= self.positions[name]
        }


@pytest.mark.parametrize('seed', range(60))
def test_no_router_loses_an_evacuation_until_it_is_taken_back(seed):
    generator = random.Random(seed)
    clock = helpers_edge.Clock()
    store = Store()
    store.append_configuration()
    operator = Operator(store)
    routers = [Router(clock) for _ in range(ROUTERS)]
    is_copy, copied_at = False, 0.0
    for _ in range(STEPS):
        clock.now += min(GRACE_S / 2, generator.expovariate(5))
        router, peer = generator.sample(routers, 2)
        write_now = clock.now >= copied_at + GRACE_S / 2
        if is_copy and (write_now or generator.random() < 0.5):
            operator.write_again()
            is_copy = False
        followed = {id(each): operator.list_followed(each) for each in routers}
        match generator.randrange(10):
            case 0 if not is_copy:
                operator.step(generator)
            case 1 if generator.random() < 0.3:
                store.restore_older_copy(generator)
                is_copy = True
                copied_at = clock.now
            case 2:
                router.copy_snapshot(peer)
            case 3:
                router.evacuations.apply_told(peer.evacuations.list_told())
            case 4 if generator.random() < 0.2:
                routers[routers.index(router)] = Router(clock)
            case _:
                router.read(store, generator)
        for each in routers:
            kept = followed.get(id(each), set()) & operator.list_evacuated()
            assert kept <= each.list_evacuated()
    operator.write_again()
    for router in routers:
        router.followers['config'].offset = None
        for _ in range(40):
            router.read(store, generator)
        clock.now += GRACE_S
        router.evacuations.update([], None)
        assert router.list_evacuated() == operator.list_evacuated()


class EngineFleet:
    """Servers that start, drain, leave and write lost entries again."""

    def __init__(self, store):
        self.store = store
        self.states = {}
        self.born = {}
        # Incarnations that have said that they leave, or left.
        self.ended = set()

    def step(self, generator, born):
        name = f's{generator.randrange(SERVERS)}'
        match self.states.get(name, 'gone'):
            case 'gone':
                self.states[name], self.born[name] = 'ready', born
            case 'ready':
                self.states[name] = generator.choice(('draining', 'gone'))
                self.ended.add((name, self.born[name]))
            case 'draining':
                self.states[name] = 'gone'
        self.write(name)

    def write(self, name):
        value = None
        if self.states[name] != 'gone':
            value = helpers_edge.make_entry(
                '1.1.1.1:1', State=self.states[name], born=self.born[name]
            )
        self.store.topics['servers'].append(keyed_log.Record(name, value))

    def write_lost_entries(self):
        for name, state in self.states.items():
            if state != 'gone':
                self.write(name)

    def list_ready(self):
        return {
            name for name, state in self.states.items() if state == 'ready'
        }


@pytest.mark.parametrize('seed', range(60))
def test_an_older_copy_of_the_store_brings_back_nothing_that_left(seed):
    generator = random.Random(seed)
    clock = helpers_edge.Clock()
    store = Store()
    store.append_configuration()
    engines = EngineFleet(store)
    routers = [Router(clock) for _ in range(ROUTERS)]
    known_ended = [set() for _ in routers]
    for step in range(STEPS):
        clock.now += generator.expovariate(5)
        number = generator.randrange(ROUTERS)
        match generator.randrange(12):
            case 0:
                store.append_configuration()
            case 1 | 2 | 3:
                engines.step(generator, step + 1)
            case 4:
                store.restore_older_copy(generator)
            case 5:
                engines.write_lost_entries()
            case _:
                routers[number].read(store, generator)
        for router, ended in zip(routers, known_ended, strict=True):
            assert router.config.version >= router.highest_version
            router.highest_version = router.config.version
            ready = router.list_ready_incarnations()
            assert not ready & ended
            # What it drops was known to leave only if it does.
            ended |= (router.ready_before - ready) & engines.ended
            router.ready_before = ready
    engines.write_lost_entries()
    for router in routers:
        for topic in router.followers:
            router.followers[topic].offset = None
            for _ in range(40):
                router.read(store, generator)
        assert router.config.version == store.version
        assert engines.list_ready() <= router.list_ready()


def check_log_prefix(router, store):
    """Assert that a router lists as ready what the log does at its offset."""
    offset = router.followers['servers'].offset
    if offset is None:
        assert router.list_ready() == set()
        return
    seen = {record.key: record for record in store.topics['servers'][:offset]}
    ready = {
        record.key
        for record in seen.values()
        if record.value and json.loads(record.value)['State'] == 'ready'
    }
    assert router.list_ready() == ready


@pytest.mark.parametrize('seed', range(40))
def test_crash_evidence_converges_in_any_message_order(seed):
    """After all messages and a sync, all agree what is blocked."""
    generator = random.Random(seed)
    clock = helpers_edge.Clock()
    exchanges = {}
    for number in range(ROUTERS):
        host = f'10.0.0.{number}'
        exchanges[host] = crash_exchange.CrashExchange(
            host,
            crash_evidence.CrashEvidence(clock),
            lambda: list(exchanges),
            clock,
        )
    in_flight = []

    def deliver(host, data):
        exchanges[host].receive(crash_report.decode(data))

    for exchange in exchanges.values():
        exchange.send = lambda host, data: in_flight.append((host, data))
    digests = [bytes([kind, n]) for n in range(4) for kind in b'rp']
    for step in range(60):
        clock.now += generator.choice((0.01, 0.3))
        exchange = generator.choice(list(exchanges.values()))
        match generator.randrange(4):
            case 0:
                suspects = generator.sample(digests, 3)
                exchange.report_crash(f'e/{step // 3}', suspects, clock.now)
            case 1:
                exchange.report_completion(
                    generator.choice(digests), clock.now
                )
            case 2:
                exchange.flush()
            case 3:
                generator.shuffle(in_flight)
                while in_flight and generator.random() < 0.7:
                    host, data = in_flight.pop()
                    if generator.random() < 0.8:
                        deliver(host, data)
    for exchange in exchanges.values():
        exchange.send = deliver
    for exchange in list(exchanges.values()) * 2:
        for digest in digests:
            if digest in exchange.evidence.completed_at:
                exchange.pending_completions[digest] = 1
        exchange.flush()
        for host in exchanges:
            exchange.sync(host)
    for exchange in exchanges.values():
        exchange.flush()
    blocked = {
        frozenset(
            digest
            for digest in digests
            if exchange.evidence.find_culprit([digest])
        )
        for exchange in exchanges.values()
    }
    assert len(blocked) == 1


@pytest.mark.parametrize('seed', range(40))
def test_suspect_tables_converge_in_any_message_order(seed):
    """After exchanging all entries, all agree which request is quarantined."""
    generator = random.Random(seed)
    clock = helpers_edge.Clock()
    tables = [suspects.SuspectTable(clock) for _ in range(ROUTERS)]
    crashes = [f'e{number}/1' for number in range(4)]
    for _ in range(40):
        table = generator.choice(tables)
        match generator.randrange(3):
            case 0:
                table.merge(b'p', [generator.choice(crashes)])
            case 1:
                table.record_success(b'p')
            case 2:
                other = generator.choice(tables)
                for fingerprint, suspect in other.list_newest():
                    table.merge(fingerprint, suspect.crashes, suspect.cleared)
    for _ in range(2):
        for table in tables:
            for other in tables:
                for fingerprint, suspect in other.list_newest():
                    table.merge(fingerprint, suspect.crashes, suspect.cleared)
    states = set()
    for table in tables:
        found = table.find(b'p')
        states.add(found is not None and found.quarantined)
    assert len(states) == 1
