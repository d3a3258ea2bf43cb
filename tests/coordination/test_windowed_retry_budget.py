"""Repeats of all routers stay within the users' bound in any window."""

import random

import pytest

from arbutusvale.coordination import retries
from tests import helpers_edge

RATIO, RESERVE, WINDOW_S = 0.2, 56.0, 10.0


def make(clock):
    return retries.WindowedRetryBudget(RATIO, RESERVE, WINDOW_S, clock)


@pytest.mark.parametrize('routers', [1, 5, 32])
def test_a_pool_that_fails_for_long_gets_no_more_than_its_budget(routers):
    """Every request asks for a repeat, at every router, for 40 s."""
    clock = helpers_edge.Clock()
    budgets = [make(clock) for _ in range(routers)]
    generator = random.Random(routers)
    requests, repeats = [], []
    for _ in range(4000):
        clock.now += 0.01
        budget = generator.choice(budgets)
        budget.add_request()
        requests.append(clock.now)
        if budget.try_spend(routers):
            repeats.append(clock.now)
    for start in range(1000, 1040):
        window = (start, start + WINDOW_S)
        asked = sum(window[0] < at <= window[1] for at in requests)
        again = sum(window[0] < at <= window[1] for at in repeats)
        assert again <= RATIO * asked + RESERVE


def test_a_router_alone_may_use_its_reserve_at_once():
    budget = make(helpers_edge.Clock())
    assert sum(budget.try_spend(1) for _ in range(100)) == 50
    assert budget.denied == 50


def test_old_repeats_no_longer_count():
    clock = helpers_edge.Clock()
    budget = make(clock)
    while budget.try_spend(8):
        pass
    assert not budget.can_spend(8)
    clock.now += WINDOW_S
    assert budget.can_spend(8)
