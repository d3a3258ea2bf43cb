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


class Mates:
    """Locators of one pool, each linked to every other."""

    def __init__(self):
        self.clock = helpers.Clock()
        self.fleet = fleet.Fleet()
        self.fleet.replace([helpers.make_vm(name) for name in NAMES])
        self.locators = {name: self.make(name) for name in NAMES}

    def make(self, name):
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
        for mate in NAMES:
            links.links[mate] = self.connect(name, mate)
        return locator

    def connect(self, source, target):
        def answer(message):
            self.locators[source].receive_located(message)

        def deliver(message):
            back = helpers.FakeLink(source, answer)
            self.locators[target].receive_locate(back, message)

        return helpers.FakeLink(target, deliver)

    def find(self, home, chat, **changes):
        submit = helpers.make_submit(chat=chat, home=home, **changes)
        return asyncio.run(self.locators[home].find_cache_holder(submit, POOL))

    def count_asked(self, name):
        links = self.locators[name].links.links.values()
        return sum(len(link.sent) for link in links)


def rank_chat(chat='c1'):
    return rendezvous.rank(chat, NAMES)


def test_young_home_asks_the_next_in_rank_once():
    mates = Mates()
    home, following, other = rank_chat()
    mates.locators[following].receive_placed(messages.Placed('c1', other))
    assert mates.find(home, 'c1') == other
    assert mates.find(home, 'c1') == other
    assert mates.count_asked(home) == 1


@pytest.mark.parametrize('case', ['first-turn', 'old', 'not-home'])
def test_nobody_is_asked_when_no_mate_can_know(case):
    mates = Mates()
    home, following, other = rank_chat()
    asked = following if case == 'not-home' else home
    fields = {'first_turn': case == 'first-turn'}
    if case == 'old':
        mates.clock.now += POOL.policy.horizon_s + 1
    submit = helpers.make_submit(chat='c1', home=home, **fields)
    found = mates.locators[asked].find_cache_holder(submit, POOL)
    assert asyncio.run(found) == ''
    assert mates.count_asked(asked) == 0


def test_old_home_asks_after_a_gap_of_events_or_a_flap():
    mates = Mates()
    home, following, other = rank_chat()
    locator = mates.locators[home]
    mates.clock.now += POOL.policy.horizon_s + 1
    locator.directory.uncertain = True
    mates.find(home, 'c1')
    assert mates.count_asked(home) == 1
    locator.directory.uncertain = False
    vms = [helpers.make_vm(name) for name in NAMES if name != home]
    mates.fleet.replace(vms)
    locator.on_vm_list_changed()
    mates.fleet.replace([*vms, helpers.make_vm(home)])
    locator.on_vm_list_changed()
    mates.find(home, 'c1')
    assert mates.count_asked(home) == 2


def test_silent_mate_costs_only_a_short_wait():
    mates = Mates()
    home, following, _ = rank_chat()
    mates.locators[home].links.links[following].deliver = None
    assert mates.find(home, 'c1') == ''
    mates.locators[home].links.drop(following)
    assert mates.find(home, 'c1') == ''
