"""A router's part of a limit never grows because it hears less."""

import pytest

from arbutusvale.state import router_census
from tests import helpers_edge

WINDOW_S = 10.0


@pytest.fixture
def clock():
    return helpers_edge.Clock()


@pytest.fixture
def census(clock):
    created = router_census.RouterCensus(clock)
    for number in range(4):
        created.record_heard(f'10.0.0.{number}')
    clock.now += WINDOW_S
    return created


def test_router_without_peers_has_the_whole_limit(clock):
    census = router_census.RouterCensus(clock)
    clock.now += WINDOW_S
    assert census.own_part(WINDOW_S) == 1


def test_router_that_starts_has_no_part_for_a_window(clock):
    census = router_census.RouterCensus(clock, ('10.0.0.0',))
    census.record_heard('10.0.0.0')
    clock.now += WINDOW_S - 1
    assert not census.own_part(WINDOW_S)
    clock.now += 1
    assert census.own_part(WINDOW_S) == 1 / 2


def test_router_that_has_heard_none_of_its_seeds_has_no_part(clock):
    census = router_census.RouterCensus(clock, ('10.0.0.0', '10.0.0.1'))
    clock.now += 5 * WINDOW_S
    assert not census.own_part(WINDOW_S)


def test_first_start_of_the_system_counts_the_seeds_at_once(clock):
    census = router_census.RouterCensus(clock, ('a', 'b'), True)
    assert census.own_part(WINDOW_S) == 1 / 3
    census.record_heard('c')
    assert census.own_part(WINDOW_S) == 1 / 4


def test_silent_routers_count_until_they_cannot_be_running(census, clock):
    clock.now += router_census.SILENCE_RETENTION_S - WINDOW_S
    assert census.own_part(WINDOW_S) == 1 / 5
    assert len(census.list_running()) == 4
    clock.now += 1
    assert census.own_part(WINDOW_S) == 1


def test_router_that_left_counts_for_the_window_of_the_limit(census, clock):
    census.record_left('10.0.0.0')
    clock.now += WINDOW_S - 1
    assert census.own_part(WINDOW_S) == 1 / 5
    assert len(census.list_running()) == 3
    clock.now += 1
    assert census.own_part(WINDOW_S) == 1 / 4


def test_late_news_of_a_router_that_left_do_not_bring_it_back(census, clock):
    census.record_left('10.0.0.0')
    census.record_named('10.0.0.0')
    clock.now += WINDOW_S
    assert census.own_part(WINDOW_S) == 1 / 4


def test_router_that_starts_again_counts_once(census, clock):
    census.record_left('10.0.0.0')
    census.record_heard('10.0.0.0')
    census.record_named('10.0.0.9')
    clock.now += WINDOW_S
    assert census.own_part(WINDOW_S) == 1 / 6
