"""Tests of snapshots from peers, used while the store is unreachable."""

import asyncio
import json

from arbutusvale import errors
from arbutusvale.coordination import config_view
from arbutusvale.coordination import evacuation_view
from arbutusvale.coordination import log_follower
from arbutusvale.coordination import peer_snapshot
from arbutusvale.coordination import server_view
from arbutusvale.platform import records
from arbutusvale.protocol import keyed_log
from arbutusvale.state import evacuations
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import server_list
from tests import helpers_edge


class Router:
    """The state of one router and its snapshot exchange."""

    def __init__(self, version=None):
        self.events = helpers_edge.Events()
        clock = helpers_edge.Clock()
        source = config_view.ConfigSource(
            records.CONFIG_KEY, records.read_configuration
        )
        self.config = config_view.ConfigView(source, self.events, clock)
        self.servers = server_list.ServerList(clock)
        self.view = server_view.ServerView(
            self.servers,
            records.read_server,
            self.events,
            lambda server_id: None,
        )
        self.followers = [
            log_follower.LogFollower(
                topic, None, sink, self.events, 0.5, clock
            )
            for topic, sink in (('c', self.config), ('s', self.view))
        ]
        self.prompts = prompt_cache_index.PromptCacheIndex(clock)
        self.evacuations = evacuation_view.EvacuationView(
            evacuations.Evacuations(clock),
            records.read_evacuated_data_centre,
            lambda: self.followers[0].page_end,
            self.events,
        )
        self.exchange = peer_snapshot.SnapshotExchange(
            peer_snapshot.LocalState(
                self.config,
                self.view,
                *self.followers,
                self.prompts,
                self.evacuations,
            ),
            self.events,
        )
        if version is not None:
            self.load(version)

    def load(self, version):
        self.config.apply(helpers_edge.make_config(version), 'store')
        entry = helpers_edge.make_entry('1.1.1.1:1')
        self.view.update([keyed_log.Record(f'e{version}', entry)], None)
        for follower in self.followers:
            follower.offset = version

    def lose_store(self, peer_offset=0):
        for follower in self.followers:
            follower.contact.lost_at = 1.0
            follower.hinted_offset = peer_offset


async def run_exchange(router, *peers):
    async def fetch(host, path):
        answer = peers[int(host)]
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, bytes):
            return answer
        return answer.exchange.render_snapshot()[1].encode()

    hosts = [str(number) for number in range(len(peers))]
    task = asyncio.create_task(router.exchange.run(lambda: hosts, fetch))
    await asyncio.sleep(peer_snapshot.POLL_INTERVAL_S + 0.1)
    task.cancel()


def test_a_router_started_in_an_outage_applies_a_peers_snapshot():
    router, peer = Router(), Router(5)
    router.lose_store()
    asyncio.run(run_exchange(router, peer))
    assert router.config.version == 5
    assert set(router.servers.by_id) == {'e5'}
    assert [follower.offset for follower in router.followers] == [5, 5]


def test_a_router_without_the_store_applies_a_newer_snapshot():
    router, peer = Router(5), Router(8)
    router.lose_store(peer_offset=8)
    asyncio.run(run_exchange(router, peer))
    assert router.config.version == 8
    assert set(router.servers.by_id) == {'e8'}


def test_a_snapshot_starts_and_ends_evacuations():
    router, peer = Router(5), Router(8)
    router.evacuations.state.start('south', keyed_log.Position(0, 3))
    peer.evacuations.state.start('north', keyed_log.Position(0, 6))
    router.lose_store(peer_offset=8)
    asyncio.run(run_exchange(router, peer))
    assert set(router.evacuations.state.in_force) == {'north'}


def test_a_starting_router_fetches_cache_locations():
    """Guards against prompts that engines read again after a restart.

    A rolling restart clears a router's map of cache locations.
    """
    router, peer = Router(5), Router(5)
    peer.prompts.record('m/p1', 'e1')
    peer.prompts.record('m/p1', 'e2')
    peer.prompts.record('m/p2', 'e3')

    async def fetch(host, path):
        return peer.exchange.render_snapshot()[1].encode()

    asyncio.run(router.exchange.fetch_cache_locations(lambda: ['peer'], fetch))
    assert set(router.prompts.find_engines('m/p1')) == {'e1', 'e2'}
    assert set(router.prompts.find_engines('m/p2')) == {'e3'}


def test_fetching_cache_locations_ends_when_no_peer_has_any(monkeypatch):
    monkeypatch.setattr(peer_snapshot, 'CACHE_FETCH_TIMEOUT_S', 0.05)
    monkeypatch.setattr(peer_snapshot, 'POLL_INTERVAL_S', 0.01)
    router = Router()

    async def fetch(host, path):
        raise errors.ServerFailed('status 503', True)

    asyncio.run(router.exchange.fetch_cache_locations(lambda: ['peer'], fetch))
    assert router.prompts.by_prompt == {}


def test_no_snapshot_is_fetched_while_the_store_answers():
    router = Router(5)
    asyncio.run(
        run_exchange(router, errors.ServerFailed('not to be asked', True))
    )
    assert router.events.named('peer-copy-failed') == []


def test_an_older_snapshot_is_not_applied():
    router, peer = Router(5), Router(3)
    router.lose_store(peer_offset=9)
    asyncio.run(run_exchange(router, peer))
    assert router.config.version == 5
    assert set(router.servers.by_id) == {'e5'}


def test_failed_empty_and_malformed_snapshots_are_skipped():
    malformed = json.dumps({'config': '!', 'servers': []}).encode()
    router = Router()
    router.lose_store()
    unreachable = errors.ServerFailed('away', False)
    asyncio.run(
        run_exchange(
            router, unreachable, b'no json', malformed, Router(), Router(4)
        )
    )
    assert router.config.version == 4
    assert len(router.events.named('peer-copy-failed')) >= 3


def test_a_router_without_offsets_serves_no_snapshot():
    assert Router().exchange.render_snapshot()[0] == 503
