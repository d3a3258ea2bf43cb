"""Requests in flight by organisation, usual times, admitted shares."""

from arbutusvale.state import holdings
from tests import helpers_edge


def test_a_fair_share_is_an_equal_one_at_least():
    held = holdings.Holdings()
    for owner in ('a', 'a', 'a', 'b'):
        held.begin('chat', owner)
    for _ in range(95):
        held.note_arrival('chat', 'a')
    for _ in range(5):
        held.note_arrival('chat', 'b')
    assert held.count('chat', 'a') == 3
    assert held.total('chat') == 4
    assert held.fair('chat', 'b') == 2.0
    assert 3.7 < held.fair('chat', 'a') < 3.9
    held.end('chat', 'b')
    assert held.fair('chat', 'a') == 3.0
    assert held.fair('elsewhere', 'a') == 0.0


def test_no_share_is_unusual_before_enough_is_known():
    held = holdings.Holdings()
    held.begin('chat', 'a')
    held.begin('chat', 'b')
    held.note_arrival('chat', 'a')
    assert held.fair('chat', 'a') == 2.0


def test_a_surge_of_a_few_seconds_hardly_changes_a_usual_share():
    held = holdings.Holdings()
    for turn in range(3000):
        held.note_arrival('chat', 'quiet' if turn % 10 else 'surging')
    for _ in range(100):
        held.note_arrival('chat', 'surging')
    for _ in range(100):
        held.begin('chat', 'surging')
    for index in range(9):
        held.begin('chat', f'quiet{index}')
    assert held.fair('chat', 'surging') < 0.25 * held.total('chat')


def test_usual_shares_stay_bounded_over_many_requests():
    held = holdings.Holdings()
    for turn in range(40_000):
        held.note_arrival('chat', f'o{turn // 100}')
    for _ in range(10):
        held.begin('chat', 'o399')
    usual = held.usual['chat']
    assert usual.unit <= 2e6
    assert len(usual.weights) < 400
    assert 0.0 < usual.find('o399') < 0.2


def test_a_usual_time_follows_what_is_measured():
    usual = holdings.UsualTimes()
    assert usual.find('r') == 0.0
    usual.note('r', 1.0)
    assert usual.find('r') == 1.0
    for _ in range(100):
        usual.note('r', 3.0)
    assert 2.9 < usual.find('r') <= 3.0


def test_the_rate_of_completions_tells_of_a_burst_before_answers_do():
    clock = helpers_edge.Clock()
    throughput = holdings.Throughput(clock)
    assert throughput.estimate('chat', 50, 1.0) == 1.0
    for _ in range(20):
        clock.now += 0.05
        throughput.note_end('chat')
    assert throughput.estimate('chat', 20, 1.0) == 1.0
    assert 2.4 < throughput.estimate('chat', 50, 1.0) < 2.7
    clock.now += 5
    assert throughput.estimate('chat', 50, 1.0) == 4.0


def test_a_router_with_few_calls_keeps_to_their_usual_time():
    """One of 32 routers has two calls in flight and ends two a second.

    Little's law made 0.4 s of calls that take 0.1 s, and calls were refused
    at servers that had places.
    """
    clock = helpers_edge.Clock()
    throughput = holdings.Throughput(clock)
    for _ in range(10):
        clock.now += 0.5
        throughput.note_end('plain')
    assert throughput.estimate('plain', 2, 0.1) == 0.1


def test_a_route_that_is_hardly_admitted_is_deprived():
    shares = holdings.AdmittedShares()
    assert not shares.is_deprived('chat', 'r')
    for turn in range(100):
        shares.note('chat', 'urgent', True)
        shares.note('chat', 'r', turn % 8 == 0)
    assert shares.is_deprived('chat', 'r')
    assert not shares.is_deprived('chat', 'urgent')


def test_priorities_are_ranked_among_those_in_use():
    demand = holdings.PoolDemand()
    demand.note('chat', 4, 1.0)
    assert demand.rank('chat', 4) == 0
    demand.note('chat', 1, 0.8)
    assert demand.rank('chat', 4) == 1
    assert demand.rank('chat', 1) == 0
    assert demand.rank('plain', 7) == 0
    assert demand.least_target('chat') == 0.8
