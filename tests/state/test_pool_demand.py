"""Admitted shares of routes, priorities and objectives in use."""

from arbutusvale.state import pool_demand


def test_a_route_that_is_hardly_admitted_is_deprived():
    shares = pool_demand.AdmissionRates()
    assert not shares.is_starved('chat', 'r')
    for turn in range(100):
        shares.record('chat', 'urgent', True)
        shares.record('chat', 'r', turn % 8 == 0)
    assert shares.is_starved('chat', 'r')
    assert not shares.is_starved('chat', 'urgent')


def test_priorities_are_ranked_among_those_in_use():
    demand = pool_demand.PoolDemand()
    demand.record('chat', 4, 1.0)
    assert demand.count_more_urgent('chat', 4) == 0
    demand.record('chat', 1, 0.8)
    assert demand.count_more_urgent('chat', 4) == 1
    assert demand.count_more_urgent('chat', 1) == 0
    assert demand.count_more_urgent('plain', 7) == 0
    assert demand.shortest_target_s('chat') == 0.8
