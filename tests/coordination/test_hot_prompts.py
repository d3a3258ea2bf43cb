"""A prompt that more and more callers ask for, on a pool of many routers.

Played with a second engine only when the first is at its load bound, with one
as soon as the prompt's rate asks for it, and with one scheduler that sends
each request to the engine with the least load.
"""

import pytest

from tests.coordination import stale_pool

HOT_FROM_S = 5.0
MAX_HOT_SHARE = 0.4
HOT = 'hot'


class HotDay(stale_pool.Day):
    """The share of a prompt grows; loads that it meets are recorded."""

    def __init__(self, seed, router_count, max_hot_share=MAX_HOT_SHARE):
        super().__init__(seed, router_count)
        self.max_hot_share = max_hot_share
        self.hot_loads = []

    def draw_part(self):
        grown = (self.clock.now - HOT_FROM_S) / (
            stale_pool.PLAYED_S - HOT_FROM_S
        )
        if self.random.random() < self.max_hot_share * grown:
            return HOT
        # Others are asked for equally often.
        return f'p{self.random.randrange(stale_pool.PARTS)}'

    def start(self, number, engine):
        if self.last_part == HOT:
            self.hot_loads.append(self.in_flight[engine])
        return super().start(number, engine)

    def choose(self, part, number):
        self.last_part = part
        return super().choose(part, number)

    def mean_hot_load(self):
        self.play()
        return sum(self.hot_loads) / len(self.hot_loads)

    def count_holders(self):
        self.play()
        return sum(len(holders) for holders in self.holders.values())


class UncountedDay(HotDay):
    """Routers don't know how many requests a prompt asks for."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        for loads in self.prompt_loads:
            loads.record = lambda part, service_time_s: None


class SeeingDay(HotDay):
    """One scheduler sees all loads as they are."""

    def choose(self, part, number):
        self.last_part = part
        self.holders.setdefault(part, {})
        return min(self.engines, key=self.in_flight.get)


@pytest.mark.parametrize('router_count', [8, 32])
def test_hot_prompt_is_spread_before_engines_are_above_the_bound(router_count):
    for seed in range(2):
        before = UncountedDay(seed, router_count).mean_hot_load()
        day = HotDay(seed, router_count)
        after = day.mean_hot_load()
        best = SeeingDay(seed, router_count).mean_hot_load()
        assert best < after < before
        share_above_bound = day.above_bound / day.sent
        assert share_above_bound <= stale_pool.MAX_SHARE_ABOVE_BOUND


def test_no_prompt_is_copied_for_its_rate_on_an_ordinary_day():
    counted = HotDay(1, 32, 0.0).count_holders()
    assert counted <= UncountedDay(1, 32, 0.0).count_holders()
