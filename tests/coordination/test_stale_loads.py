"""Placement by loads that other routers told some time ago."""

import pytest

from tests.coordination import stale_pool


# At 68 routers each hears of the others' requests every 2 s only.
@pytest.mark.parametrize('router_count', [8, 32, 68])
def test_few_requests_reach_engines_above_the_bound(router_count):
    shares = [stale_pool.Day(seed, router_count).play() for seed in range(4)]
    assert max(shares) <= stale_pool.MAX_SHARE_ABOVE_BOUND
