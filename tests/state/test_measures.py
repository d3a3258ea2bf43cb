import pytest

from arbutusvale.state import measures


def fill(recent, seconds, count):
    for _ in range(count):
        recent.add(seconds)


def test_percentiles_follow_the_last_full_histogram():
    recent = measures.RecentLatency()
    fill(recent, 0.010, 20)
    assert recent.percentile(95.0) == pytest.approx(0.010, rel=0.02)
    fill(recent, 0.010, 236)
    assert recent.count == 256
    assert recent.percentile(95.0) == pytest.approx(0.010, rel=0.02)
    fill(recent, 0.100, 255)
    assert recent.percentile(95.0) == pytest.approx(0.010, rel=0.02)
    fill(recent, 0.100, 1)
    assert recent.percentile(95.0) == pytest.approx(0.100, rel=0.02)
