import pytest

from arbutusvale.load import score


def test_skew_leaves_out_an_idle_pool():
    skew = score.Skew()
    skew.add([1, 0, 0])
    assert skew.samples == []
    skew.add([4, 1, 1])
    skew.add([2, 2, 2])
    assert skew.percentile(50) == 1.0
    assert skew.percentile(100) == 2.0


def test_reuse_and_promises():
    counts = score.Score(returning=10, reused=8, possible=9, doubled=1)
    assert counts.reuse == pytest.approx(0.8)
    assert counts.best_reuse == pytest.approx(0.9)
    assert counts.broken_promises() == ['1 bookings ran more than once']
