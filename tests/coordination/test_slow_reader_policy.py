import pytest

from arbutusvale.coordination import slow_reader_policy

LIMIT = 50_000_000
MAXIMUM = 256 * 1024


def test_idle_budget_leaves_allowance_as_it_is():
    allowance = slow_reader_policy.allowance_bytes(LIMIT, 0, MAXIMUM)
    assert allowance == MAXIMUM


@pytest.mark.parametrize('connections', [200, 1900, 20_000])
def test_connections_that_fill_their_allowance_stay_within_budget(
    connections,
):
    held = [0] * connections
    for _ in range(3):
        for number, own in enumerate(held):
            total = sum(held)
            allowance = slow_reader_policy.allowance_bytes(
                LIMIT, total, MAXIMUM
            )
            held[number] = max(own, allowance)
            if slow_reader_policy.must_cut(LIMIT, sum(held)):
                break
        assert sum(held) <= LIMIT


def test_reader_that_holds_most_for_longest_is_cut_first():
    readers = [
        slow_reader_policy.Holder(0, 10_000_000, 0.2),
        slow_reader_policy.Holder(1, 2_000_000, 2.0),
        slow_reader_policy.Holder(2, 2_000_000, 9.0),
        slow_reader_policy.Holder(3, 3_000_000, 9.0),
    ]
    cuts = slow_reader_policy.choose_cuts(readers, LIMIT, 42_000_000)
    assert cuts == [3, 2]


def test_reader_that_takes_bytes_is_never_cut():
    readers = [slow_reader_policy.Holder(0, LIMIT, 0.05)]
    assert slow_reader_policy.choose_cuts(readers, LIMIT, LIMIT) == []
