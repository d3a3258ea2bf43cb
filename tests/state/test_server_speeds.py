"""Slowdowns of servers, as told by them and as observed from calls."""

import pytest

from arbutusvale.coordination import edge_placement_policy
from arbutusvale.state import server_speeds
from tests import helpers_edge

USUAL_S = 0.04


@pytest.fixture
def clock():
    return helpers_edge.Clock()


def make_speeds(clock):
    return server_speeds.ServerSpeeds(clock)


def test_told_slowdown_fades_until_it_is_told_again(clock):
    speeds = make_speeds(clock)
    server = helpers_edge.make_server('e1')
    speeds.record_told(server, 6.0)
    assert speeds.estimate(server) == 6.0
    clock.now += 0.5
    assert 1.5 < speeds.estimate(server) < 6.0
    clock.now += 30.0
    assert speeds.estimate(server) == 1.0
    assert not speeds.told


def test_slowness_that_has_lasted_is_believed_for_longer(clock):
    speeds = make_speeds(clock)
    lasting, new = (helpers_edge.make_server(name) for name in ('e1', 'e2'))
    for _ in range(10):
        speeds.record_told(lasting, 6.0)
        clock.now += 0.3
    speeds.record_told(lasting, 6.0)
    speeds.record_told(new, 6.0)
    clock.now += 2.0
    assert speeds.estimate(new) < 1.5 < speeds.estimate(lasting)
    speeds.record_told(lasting, 1.0)
    clock.now += 0.3
    speeds.record_told(lasting, 1.0)
    assert speeds.estimate(lasting) < 1.5


def test_new_incarnation_begins_as_usual(clock):
    speeds = make_speeds(clock)
    server = helpers_edge.make_server('e1')
    speeds.record_told(server, 6.0)
    speeds.record_call(server, 'r', USUAL_S)
    again = helpers_edge.make_server('e1', started_at_ms=2)
    assert speeds.estimate(again) == 1.0
    speeds.forget('e1')
    assert not speeds.told
    assert not speeds.observed
    assert not speeds.pop_news()


def observe(speeds, clock, servers, slow, calls=40):
    for number in range(calls):
        for server in servers:
            factor = 6.0 if server.id == slow else 1.0
            # Sizes of calls vary, alike at all servers.
            seconds = USUAL_S * factor * (0.5 + number % 3 / 2)
            speeds.record_call(server, 'r', seconds)
        clock.now += 0.1


def test_slow_server_that_tells_nothing_is_observed(clock):
    speeds = make_speeds(clock)
    servers = [helpers_edge.make_server(name) for name in 'abcd']
    observe(speeds, clock, servers, 'a')
    slow, *others = (speeds.estimate(server) for server in servers)
    # Its part of the draw is at most what its speed allows.
    assert slow**edge_placement_policy.SPEED_EXPONENT > 6.0 * max(others)
    observe(speeds, clock, servers, '', 100)
    estimates = [speeds.estimate(server) for server in servers]
    assert max(estimates) < 1.2 * min(estimates)


def test_single_call_says_little(clock):
    speeds = make_speeds(clock)
    server = helpers_edge.make_server('a')
    speeds.record_call(helpers_edge.make_server('b'), 'r', USUAL_S)
    speeds.record_call(server, 'r', 5 * USUAL_S)
    assert speeds.estimate(server) == 1.0


def test_peers_observations_add_up(clock):
    """Each of twelve routers has seen a single call of the slow server."""
    routers = [make_speeds(clock) for _ in range(12)]
    slow, other = (helpers_edge.make_server(name) for name in 'ab')
    for speeds in routers:
        speeds.record_call(other, 'r', USUAL_S)
        speeds.record_call(slow, 'r', 6 * USUAL_S)
    for speeds in routers[1:]:
        for news in speeds.pop_news():
            routers[0].merge(news, 1)
        assert not speeds.pop_news()
    assert routers[0].estimate(slow) > 3.0
    assert routers[0].estimate(other) < 1.2


def test_told_figures_reach_peers_also_when_they_are_good_again(clock):
    speeds, peer = make_speeds(clock), make_speeds(clock)
    server = helpers_edge.make_server('e1')
    for slowdown in (6.0, 1.0):
        speeds.record_told(server, slowdown)
        for news in speeds.pop_news():
            peer.merge(news, 1)
        assert abs(peer.estimate(server) - slowdown) < 0.1
        clock.now += 2.0


def test_memory_and_messages_are_bounded(clock):
    speeds = make_speeds(clock)
    for number in range(3 * server_speeds.MAX_SERVERS):
        server = helpers_edge.make_server(f'e{number}')
        speeds.record_told(server, 2.0)
        speeds.record_call(server, f'r{number}', USUAL_S)
    assert len(speeds.told) <= server_speeds.MAX_SERVERS
    assert len(speeds.observed) <= server_speeds.MAX_SERVERS
    assert len(speeds.told_news) <= server_speeds.MAX_SERVERS
    assert len(speeds.observed_news) <= server_speeds.MAX_SERVERS
    assert len(speeds.usual_logs) <= server_speeds.MAX_ROUTES
    assert len(speeds.pop_news()) <= server_speeds.MAX_NEWS
