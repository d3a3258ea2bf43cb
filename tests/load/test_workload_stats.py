import pytest

from arbutusvale.load import workload_stats


def test_load_skew_ignores_samples_of_a_nearly_idle_pool():
    skew = workload_stats.LoadSkew()
    skew.add_sample([1, 0, 0])
    assert skew.samples == []
    skew.add_sample([4, 1, 1])
    skew.add_sample([2, 2, 2])
    assert skew.percentile(50) == 1.0
    assert skew.percentile(100) == 2.0


def test_reuse_shares_and_violations():
    stats = workload_stats.WorkloadStats(
        returning=10, reused=8, reusable=9, duplicate_bookings=1
    )
    assert stats.reuse == pytest.approx(0.8)
    assert stats.best_reuse == pytest.approx(0.9)
    assert stats.list_violations() == ['1 bookings ran more than once']
