"""Lists of a peer stand in for a store that is away."""

import asyncio
import json

from arbutusvale import errors
from arbutusvale.coordination import configview
from arbutusvale.coordination import logfollower
from arbutusvale.coordination import peercopy
from arbutusvale.coordination import serverview
from arbutusvale.platform import records
from arbutusvale.protocol import keyed_log
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import server_list
from tests import helpers_edge


class Router:
    """The lists of one router and the copy that it offers."""

    def __init__(self, version=None):
        self.events = helpers_edge.Events()
        clock = helpers_edge.Clock()
        source = configview.Source(
            records.CONFIG_KEY, records.read_configuration
        )
        self.config = configview.ConfigView(source, self.events, clock)
        self.servers = server_list.ServerList(clock)
        self.view = serverview.ServerView(
            self.servers, records.read_server, self.events, lambda one: None
        )
        self.followers = [
            logfollower.LogFollower(topic, None, sink, self.events, 0.5, clock)
            for topic, sink in (('c', self.config), ('s', self.view))
        ]
        self.prompts = prompt_cache_index.PromptCacheIndex(clock)
        self.copy = peercopy.PeerCopy(
            peercopy.Lists(
                self.config, self.view, *self.followers, self.prompts
            ),
            self.events,
        )
        if version is not None:
            self.learn(version)

    def learn(self, version):
        self.config.take(helpers_edge.make_config(version), 'store')
        entry = helpers_edge.make_entry('1.1.1.1:1')
        self.view.update([keyed_log.Record(f'e{version}', entry)], None)
        for follower in self.followers:
            follower.offset = version

    def lose_store(self, told=0):
        for follower in self.followers:
            follower.contact.lost_at = 1.0
            follower.told_offset = told


async def ask(router, *peers):
    async def fetch(host, path):
        answer = peers[int(host)]
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, bytes):
            return answer
        return answer.copy.offer()[1].encode()

    hosts = [str(number) for number in range(len(peers))]
    task = asyncio.create_task(router.copy.run(lambda: hosts, fetch))
    await asyncio.sleep(peercopy.ASK_EACH_S + 0.1)
    task.cancel()


def test_a_starting_router_takes_a_peers_lists():
    router, peer = Router(), Router(5)
    router.lose_store()
    asyncio.run(ask(router, peer))
    assert router.config.version == 5
    assert set(router.servers.by_id) == {'e5'}
    assert [one.offset for one in router.followers] == [5, 5]


def test_a_router_that_the_store_turns_away_is_kept_up_to_date():
    router, peer = Router(5), Router(8)
    router.lose_store(told=8)
    asyncio.run(ask(router, peer))
    assert router.config.version == 8
    assert set(router.servers.by_id) == {'e8'}


def test_a_starting_router_learns_where_prompts_are_cached():
    """A router that a rolling restart made forget would read them again."""
    router, peer = Router(5), Router(5)
    peer.prompts.record('m/p1', 'e1')
    peer.prompts.record('m/p1', 'e2')
    peer.prompts.record('m/p2', 'e3')

    async def fetch(host, path):
        return peer.copy.offer()[1].encode()

    asyncio.run(router.copy.learn_places(lambda: ['peer'], fetch))
    assert set(router.prompts.find_engines('m/p1')) == {'e1', 'e2'}
    assert set(router.prompts.find_engines('m/p2')) == {'e3'}


def test_learning_places_ends_when_nobody_knows_any(monkeypatch):
    monkeypatch.setattr(peercopy, 'LEARN_S', 0.05)
    monkeypatch.setattr(peercopy, 'ASK_EACH_S', 0.01)
    router = Router()

    async def fetch(host, path):
        raise errors.ServerFailed('status 503', True)

    asyncio.run(router.copy.learn_places(lambda: ['peer'], fetch))
    assert router.prompts.by_prompt == {}


def test_nothing_is_asked_while_the_store_answers():
    router = Router(5)
    asyncio.run(ask(router, errors.ServerFailed('not to be asked', True)))
    assert router.events.named('peer-copy-failed') == []


def test_an_older_copy_is_not_taken():
    router, peer = Router(5), Router(3)
    router.lose_store(told=9)
    asyncio.run(ask(router, peer))
    assert router.config.version == 5
    assert set(router.servers.by_id) == {'e5'}


def test_a_peer_without_lists_or_with_odd_ones_is_passed_over():
    odd = json.dumps({'config': '!', 'servers': []}).encode()
    router = Router()
    router.lose_store()
    away = errors.ServerFailed('away', False)
    asyncio.run(ask(router, away, b'no json', odd, Router(), Router(4)))
    assert router.config.version == 4
    assert len(router.events.named('peer-copy-failed')) >= 3


def test_a_router_that_knows_nothing_offers_nothing():
    assert Router().copy.offer()[0] == 503
