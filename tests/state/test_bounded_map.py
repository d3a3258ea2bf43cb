"""Keys that are no longer used make room for others."""

from arbutusvale.state import bounded_map


def test_the_key_that_was_set_longest_ago_yields():
    kept = bounded_map.BoundedMap(2)
    kept.put('a', 1)
    kept.put('b', 2)
    kept.put('a', 3)
    kept.put('c', 4)
    assert kept.get('a', 0) == 3
    assert kept.get('b', 0) == 0
    assert kept.get('c', 0) == 4
    assert len(kept) == 2
