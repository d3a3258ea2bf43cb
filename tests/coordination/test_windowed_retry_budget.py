"""Retries of all routers stay within the required bound in any window."""

import random

import pytest

from arbutusvale.coordination import retries
from tests import helpers_edge

RATIO, RESERVE, WINDOW_S = 0.2, 56.0, 10.0


def make_budget(clock, routers=8):
    return retries.WindowedRetryBudget(
        RATIO, RESERVE, WINDOW_S, clock, lambda window_s: 1 / routers
    )


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
