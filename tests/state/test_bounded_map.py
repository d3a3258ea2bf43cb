"""Eviction from a map of bounded size."""

from arbutusvale.state import bounded_map


def test_the_least_recently_set_key_is_evicted():
    bounded = bounded_map.BoundedMap(2)
    bounded.put('a', 1)
    bounded.put('b', 2)
    bounded.put('a', 3)
    bounded.put('c', 4)
    assert bounded.get('a', 0) == 3
    assert bounded.get('b', 0) == 0
    assert bounded.get('c', 0) == 4
    assert len(bounded) == 2
