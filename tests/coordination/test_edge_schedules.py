"""Randomised interleavings of concurrent edge routers.

A seeded generator mixes records of the store, reads, lost history, snapshots
from peers, pauses and restarts in any order.  Invariants are checked after
each step.
"""

import json
import random

import pytest

from arbutusvale.coordination import config_view
from arbutusvale.coordination import peer_snapshot
from arbutusvale.coordination import server_view
from arbutusvale.platform import records
from arbutusvale.protocol import keyed_log
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import server_list
from arbutusvale.state import suspects
from tests import helpers_edge

ROUTERS = 3
SERVERS = 4
STEPS = 150


class Store:
    """A store with one log for each topic."""

    def __init__(self):
        self.topics = {'config': [], 'servers': []}
        self.version = 0

    def append_configuration(self):
        self.version += 1
        data = helpers_edge.make_config(self.version)
        self.topics['config'].append(keyed_log.Record('config', data))

    def append_random_server(self, generator, born):
        name = f's{generator.randrange(SERVERS)}'
        state = generator.choice(('ready', 'ready', 'draining', 'gone'))
        value = None
        if state != 'gone':
            value = helpers_edge.make_entry(
                '1.1.1.1:1', State=state, born=born
            )
        self.topics['servers'].append(keyed_log.Record(name, value))

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
        for topic, sink in (('config', self.config), ('servers', self.view)):
            self.followers[topic] = FakeFollower(topic, sink)
        self.exchange = peer_snapshot.SnapshotExchange(
            peer_snapshot.LocalState(
                self.config,
                self.view,
                self.followers['config'],
                self.followers['servers'],
                prompt_cache_index.PromptCacheIndex(clock),
            ),
            self.events,
        )
        self.highest_version = 0

    def read(self, store, generator):
        topic = generator.choice(list(self.followers))
        follower = self.followers[topic]
        log = store.topics[topic]
        if follower.offset is None or generator.random() < 0.1:
            newest = [
                record
                for record in store.newest_by_key(topic).values()
                if record.value
            ]
            follower.sink.replace(newest, None)
            follower.offset = len(log)
            return
        end = generator.randint(follower.offset, len(log))
        follower.sink.update(log[follower.offset : end], None)
        follower.offset = end

    def copy_snapshot(self, peer):
        status, text = peer.exchange.render_snapshot()
        if status == 200:
            self.exchange.apply_snapshot('peer', text.encode())

    def list_ready(self):
        return {
            listed.server.id
            for listed in self.servers.list_ready_servers('chat')
        }


class FakeFollower:
    """A log follower reduced to its offset and its sink."""

    def __init__(self, topic, sink):
        self.topic = topic
        self.sink = sink
        self.offset = None


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
