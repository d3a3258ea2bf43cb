"""Which version began a stream, by what engines have cached."""

import pytest

from arbutusvale.coordination import stream_search_policy


def make_history(**changes):
    fields = {
        'recent_versions': frozenset(['v1']),
        'watched_s': 60.0,
        'window_s': 60.0,
        'is_current': True,
    }
    return stream_search_policy.PoolHistory(**(fields | changes))


@pytest.mark.parametrize(
    ('changes', 'with_attempt', 'without'),
    [
        ({}, 'v1', 'v1'),
        ({'recent_versions': frozenset(['v1', 'v2'])}, None, None),
        ({'recent_versions': frozenset()}, None, None),
        # A fresh router took the only version that was left.
        ({'watched_s': 59.0}, None, 'v1'),
        ({'is_current': False}, None, 'v1'),
    ],
)
def test_only_version_is_sure_after_watching_for_long(
    changes, with_attempt, without
):
    history = make_history(**changes)
    find = stream_search_policy.find_only_version
    assert find(history, names_attempt=True) == with_attempt
    assert find(history, names_attempt=False) == without


@pytest.mark.parametrize(
    ('holders', 'expected'),
    [
        ([], stream_search_policy.NotFound()),
        ([('v1', 500), ('v1', 900)], stream_search_policy.Found('v1')),
        # The engine keeps whole blocks only.
        ([('v1', 485)], stream_search_policy.Found('v1')),
        # An earlier turn of the session ran at another version.
        ([('v1', 300)], stream_search_policy.NotFound()),
        ([('v1', 300), ('v2', 500)], stream_search_policy.Found('v2')),
        ([('v1', 500), ('v2', 500)], stream_search_policy.Ambiguous()),
    ],
)
def test_who_has_read_the_whole_part_began_the_stream(holders, expected):
    holders = [stream_search_policy.Holder(*holder) for holder in holders]
    assert stream_search_policy.judge(holders, 500) == expected
