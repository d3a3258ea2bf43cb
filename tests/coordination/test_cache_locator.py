import asyncio

import pytest

from arbutusvale.coordination import cache_locator
from arbutusvale.protocol import messages
from arbutusvale.state import directory
from arbutusvale.state import fleet
from arbutusvale.state import rendezvous
from tests import helpers_sidecar as helpers

NAMES = ['s1', 's2', 's3']
POOL = helpers.make_pool()


class LocatorPool:
    """Locators of one pool, each linked to every other."""

    def __init__(self):
        self.clock = helpers.Clock()
        self.fleet = fleet.Fleet()
        self.fleet.replace([helpers.make_vm(name) for name in NAMES])
        self.locators = {name: self.make_locator(name) for name in NAMES}

    def make_locator(self, name):
        links = helpers.FakeLinks()
        locator = cache_locator.CacheLocator(
            name,
            'panel',
            directory.Directory(100),
            self.fleet,
            links,
            self.clock,
        )
        locator.on_vm_list_changed()
        for peer in NAMES:
            links.links[peer] = self.connect(name, peer)
        return locator

    def connect(self, source, target):
        def answer(message):
            self.locators[source].receive_located(message)

        def deliver(message):
            reply_link = helpers.FakeLink(source, answer)
            self.locators[target].receive_locate(reply_link, message)

        return helpers.FakeLink(target, deliver)

    def find_holder(self, home, chat, **changes):
        submit = helpers.make_submit(chat=chat, home=home, **changes)
        return asyncio.run(self.locators[home].find_cache_holder(submit, POOL))

    def count_queries(self, name):
        links = self.locators[name].links.links.values()
        return sum(len(link.sent) for link in links)


def rank_chat(chat='c1'):
    return rendezvous.rank(chat, NAMES)


def test_recently_joined_home_queries_the_next_in_rank_once():
    locator_pool = LocatorPool()
    home, second, other = rank_chat()
    locator_pool.locators[second].receive_placed(messages.Placed('c1', other))
    assert locator_pool.find_holder(home, 'c1') == other
    assert locator_pool.find_holder(home, 'c1') == other
    assert locator_pool.count_queries(home) == 1


@pytest.mark.parametrize('case', ['first-turn', 'old', 'not-home'])
def test_no_query_when_no_peer_can_know_the_chat(case):
    locator_pool = LocatorPool()
    home, second, other = rank_chat()
    locator_vm = second if case == 'not-home' else home
    fields = {'first_turn': case == 'first-turn'}
    if case == 'old':
        locator_pool.clock.now += POOL.policy.horizon_s + 1
    submit = helpers.make_submit(chat='c1', home=home, **fields)
    holder = locator_pool.locators[locator_vm].find_cache_holder(submit, POOL)
    assert asyncio.run(holder) == ''
    assert locator_pool.count_queries(locator_vm) == 0


def test_established_home_queries_after_missed_events_or_a_flap():
    locator_pool = LocatorPool()
    home, second, other = rank_chat()
    locator = locator_pool.locators[home]
    locator_pool.clock.now += POOL.policy.horizon_s + 1
    locator.directory.may_be_stale = True
    locator_pool.find_holder(home, 'c1')
    assert locator_pool.count_queries(home) == 1
    locator.directory.may_be_stale = False
    vms = [helpers.make_vm(name) for name in NAMES if name != home]
    locator_pool.fleet.replace(vms)
    locator.on_vm_list_changed()
    locator_pool.fleet.replace([*vms, helpers.make_vm(home)])
    locator.on_vm_list_changed()
    locator_pool.find_holder(home, 'c1')
    assert locator_pool.count_queries(home) == 2


def test_unanswered_query_finds_no_holder():
    locator_pool = LocatorPool()
    home, second, _ = rank_chat()
    locator_pool.locators[home].links.links[second].deliver = None
    assert locator_pool.find_holder(home, 'c1') == ''
    locator_pool.locators[home].links.drop(second)
    assert locator_pool.find_holder(home, 'c1') == ''
