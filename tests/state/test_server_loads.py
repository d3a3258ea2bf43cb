"""Load estimates from own counts, peers' counts and servers' reports."""

from arbutusvale.state import server_loads
from tests import helpers_edge


def make_loads():
    clock = helpers_edge.Clock()
    return clock, server_loads.ServerLoads(clock)


def test_own_requests_count_immediately():
    _, loads = make_loads()
    loads.record_start('a')
    loads.record_start('a')
    loads.record_end('a')
    assert loads.estimate('a') == 1
    assert loads.own_counts() == {'a': 1}


def test_counts_of_peers_are_added_until_they_expire():
    clock, loads = make_loads()
    loads.record_start('a')
    loads.record_peer_counts('p1', {'a': 3}, 1.0)
    loads.record_peer_counts('p2', {'a': 4, 'b': 1}, 1.0)
    assert loads.estimate('a') == 8
    assert loads.estimate('b') == 1
    clock.now += 0.5
    loads.record_peer_counts('p2', {'a': 1}, 1.0)
    assert loads.estimate('a') == 5
    clock.now += 0.6
    assert loads.estimate('a') == 2
    clock.now += 1.0
    assert loads.estimate('a') == 1


def test_a_report_replaces_missing_counts_of_peers():
    clock, loads = make_loads()
    loads.record_start('a')
    loads.record_reported_load('a', 9)
    assert loads.estimate('a') == 9
    loads.record_peer_counts('p1', {'a': 20}, 5.0)
    assert loads.estimate('a') == 21
    clock.now += server_loads.MAX_REPORT_AGE_S + 0.1
    assert loads.estimate('a') == 21
    loads.record_end('a')
    assert loads.own_counts() == {}
