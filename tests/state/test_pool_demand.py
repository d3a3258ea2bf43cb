"""Admission rates of routes; priorities and target latencies in use."""

from arbutusvale.state import pool_demand


def test_a_route_that_is_rarely_admitted_is_starved():
    rates = pool_demand.AdmissionRates()
    assert not rates.is_starved('chat', 'r')
    for number in range(100):
        rates.record('chat', 'urgent', True)
        rates.record('chat', 'r', number % 8 == 0)
    assert rates.is_starved('chat', 'r')
    assert not rates.is_starved('chat', 'urgent')


def test_only_priorities_in_use_count_as_more_urgent():
    demand = pool_demand.PoolDemand()
    demand.record('chat', 4, 1.0)
    assert demand.count_more_urgent('chat', 4) == 0
    demand.record('chat', 1, 0.8)
    assert demand.count_more_urgent('chat', 4) == 1
    assert demand.count_more_urgent('chat', 1) == 0
    assert demand.count_more_urgent('plain', 7) == 0
    assert demand.shortest_target_s('chat') == 0.8
