"""Retries of all routers stay within the required bound in any window."""

import bisect
import random

import pytest

from arbutusvale.coordination import retries
from arbutusvale.state import router_census
from tests import helpers_edge

RATIO, RESERVE, WINDOW_S = 0.2, 56.0, 10.0


def make_budget(clock, routers=8):
    """Return the budget of one of the routers, at the first start of all."""
    census = router_census.RouterCensus(clock, is_first_start=True)
    for number in range(1, routers):
        census.record_heard(f'10.0.0.{number}')
    return retries.WindowedRetryBudget(RATIO, RESERVE, WINDOW_S, clock, census)


@pytest.mark.parametrize('routers', [1, 5, 32])
def test_retries_stay_within_the_budget_when_a_pool_fails_for_long(routers):
    """Every request at every router asks for a retry, for 40 s."""
    clock = helpers_edge.Clock()
    budgets = [make_budget(clock, routers) for _ in range(routers)]
    generator = random.Random(routers)
    request_times, retry_times = [], []
    for _ in range(4000):
        clock.now += 0.01
        budget = generator.choice(budgets)
        budget.add_request()
        request_times.append(clock.now)
        if budget.try_reserve() and budget.spend():
            retry_times.append(clock.now)
    for start in range(1000, 1040):
        window = (start, start + WINDOW_S)
        request_count = sum(
            window[0] < at <= window[1] for at in request_times
        )
        retry_count = sum(window[0] < at <= window[1] for at in retry_times)
        assert retry_count <= RATIO * request_count + RESERVE


def test_single_router_may_spend_the_whole_reserve_at_once():
    budget = make_budget(helpers_edge.Clock(), 1)
    assert sum(budget.try_reserve() for _ in range(100)) == 50
    assert budget.denied == 50


def test_retries_expire_after_the_window():
    clock = helpers_edge.Clock()
    budget = make_budget(clock)
    while budget.try_reserve():
        assert budget.spend()
    assert not budget.can_reserve()
    clock.now += WINDOW_S
    assert budget.can_reserve()


def test_retries_that_wait_hold_their_place():
    clock = helpers_edge.Clock()
    budget = make_budget(clock)
    while budget.try_reserve():
        pass
    waiting = budget.reserved
    clock.now += WINDOW_S
    assert not budget.can_reserve()
    assert all(budget.spend() for _ in range(waiting))
    assert not budget.can_reserve()
    clock.now += WINDOW_S
    assert budget.can_reserve()


def test_retry_that_is_not_sent_gives_its_place_back():
    budget = make_budget(helpers_edge.Clock())
    while budget.try_reserve():
        pass
    budget.cancel()
    assert budget.try_reserve()
    assert not budget.can_reserve()


def test_retry_is_denied_once_its_requests_have_left_the_window():
    clock = helpers_edge.Clock()
    budget = make_budget(clock)
    for _ in range(100):
        budget.add_request()
    while budget.try_reserve():
        pass
    clock.now += WINDOW_S
    sent = sum(budget.spend() for _ in range(budget.reserved))
    assert 0 < sent <= RESERVE / 8
    assert not budget.reserved


class Fleet:
    """Routers whose requests all fail, so that each asks for a retry."""

    def __init__(self, seed, routers=5, requests_per_s=50.0):
        self.random = random.Random(seed)
        self.clock = helpers_edge.Clock()
        self.gap_s = 1 / requests_per_s
        self.cut_hosts = set()
        self.budgets = {}
        self.censuses = {}
        # Retries that wait for a server, with the time at which it is free.
        self.waiting = []
        self.request_times = []
        self.retry_times = []
        for number in range(routers):
            self.start(f'10.0.0.{number}', is_first_start=True)

    def start(self, host, is_first_start=False):
        """Start a router, or start it again without what it knew."""
        census = router_census.RouterCensus(
            self.clock, ('10.0.0.0', '10.0.0.1'), is_first_start
        )
        self.censuses[host] = census
        self.budgets[host] = retries.WindowedRetryBudget(
            RATIO, RESERVE, WINDOW_S, self.clock, census
        )
        self.waiting = [entry for entry in self.waiting if entry[1] != host]

    def leave(self, host):
        for peer, census in self.censuses.items():
            if not {host, peer} & self.cut_hosts:
                census.record_left(host)
        del self.budgets[host], self.censuses[host]
        self.waiting = [entry for entry in self.waiting if entry[1] != host]

    def run(self, seconds, is_failing=True, wait_s=0.0):
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += self.gap_s
            self.gossip()
            host = self.random.choice(list(self.budgets))
            self.budgets[host].add_request()
            self.request_times.append(self.clock.now)
            if is_failing and self.budgets[host].try_reserve():
                self.waiting.append((self.clock.now + wait_s, host))
            self.send_retries()

    def gossip(self):
        host = self.random.choice(list(self.censuses))
        for peer, census in self.censuses.items():
            if peer != host and not {host, peer} & self.cut_hosts:
                census.record_heard(host)

    def send_retries(self):
        now = self.clock.now
        due = [entry for entry in self.waiting if entry[0] <= now]
        self.waiting = [entry for entry in self.waiting if entry[0] > now]
        for _, host in due:
            if self.budgets[host].spend():
                self.retry_times.append(now)

    def most_beyond_bound(self):
        """Return by how many retries any window exceeds what is allowed."""
        return max(
            self.count(self.retry_times, end, 0)
            - RATIO * max(
                self.count(self.request_times, end, shift)
                for shift in (0, WINDOW_S / 2, WINDOW_S)
            )
            - RESERVE
            for end in self.retry_times
        )  # fmt: skip

    def count(self, times, end, shift):
        last = bisect.bisect_right(times, end - shift)
        return last - bisect.bisect_right(times, end - shift - WINDOW_S)


@pytest.mark.parametrize('failing_s', [0.5, 1.0, 2.0, 5.0, 9.5])
@pytest.mark.parametrize('starts', [1, 3])
def test_routers_that_all_start_again_stay_within_the_budget(
    failing_s, starts
):
    fleet = Fleet(seed=1, requests_per_s=200.0)
    fleet.run(20, is_failing=False)
    fleet.run(failing_s)
    for _ in range(starts):
        for host in list(fleet.budgets):
            fleet.start(host)
        fleet.run(3.0)
    fleet.run(15)
    assert fleet.most_beyond_bound() <= 0


@pytest.mark.parametrize('seed', range(20))
def test_retries_stay_within_the_budget_while_routers_come_and_go(seed):
    fleet = Fleet(seed, routers=6)
    fleet.run(15, is_failing=False)
    added = 100
    for _ in range(30):
        host = fleet.random.choice(list(fleet.budgets))
        match fleet.random.choice(('start', 'leave', 'add', 'cut', 'heal')):
            case 'start':
                fleet.start(host)
            case 'leave' if len(fleet.budgets) > 3:
                fleet.leave(host)
            case 'add':
                added += 1
                fleet.start(f'10.0.0.{added}')
            case 'cut':
                fleet.cut_hosts.add(host)
            case 'heal':
                fleet.cut_hosts.clear()
        fleet.run(
            fleet.random.uniform(0.2, 3.0),
            is_failing=fleet.random.random() < 0.7,
            wait_s=fleet.random.choice((0.0, 0.0, 2.0, 8.0)),
        )
    assert fleet.most_beyond_bound() <= 0
