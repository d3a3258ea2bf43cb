import pytest

from arbutusvale.state import router_metrics


def fill(recent, seconds, count):
    for _ in range(count):
        recent.observe(seconds)


def test_percentiles_follow_the_last_full_histogram():
    recent = router_metrics.RecentLatencies()
    fill(recent, 0.010, 20)
    assert recent.percentile(95.0) == pytest.approx(0.010, rel=0.02)
    fill(recent, 0.010, 236)
    assert recent.count == 256
    assert recent.percentile(95.0) == pytest.approx(0.010, rel=0.02)
    fill(recent, 0.100, 255)
    assert recent.percentile(95.0) == pytest.approx(0.010, rel=0.02)
    fill(recent, 0.100, 1)
    assert recent.percentile(95.0) == pytest.approx(0.100, rel=0.02)
