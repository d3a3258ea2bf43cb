"""Admitted shares of routes, priorities and objectives in use."""

from arbutusvale.state import pooldemand


def test_a_route_that_is_hardly_admitted_is_deprived():
    shares = pooldemand.AdmittedShares()
    assert not shares.is_deprived('chat', 'r')
    for turn in range(100):
        shares.note('chat', 'urgent', True)
        shares.note('chat', 'r', turn % 8 == 0)
    assert shares.is_deprived('chat', 'r')
    assert not shares.is_deprived('chat', 'urgent')


def test_priorities_are_ranked_among_those_in_use():
    demand = pooldemand.PoolDemand()
    demand.note('chat', 4, 1.0)
    assert demand.rank('chat', 4) == 0
    demand.note('chat', 1, 0.8)
    assert demand.rank('chat', 4) == 1
    assert demand.rank('chat', 1) == 0
    assert demand.rank('plain', 7) == 0
    assert demand.least_target('chat') == 0.8
