"""Requests in flight by organisation, and usual times by route."""

from arbutusvale.state import holdings


def test_the_mean_counts_active_organisations_only():
    held = holdings.Holdings()
    for owner in ('a', 'a', 'a', 'b'):
        held.begin('chat', owner)
    assert held.count('chat', 'a') == 3
    assert held.mean('chat') == 2.0
    held.end('chat', 'b')
    assert held.mean('chat') == 3.0
    assert held.mean('elsewhere') == 0.0


def test_a_usual_time_follows_what_is_measured():
    usual = holdings.UsualTimes()
    assert usual.find('r') == 0.0
    usual.note('r', 1.0)
    assert usual.find('r') == 1.0
    for _ in range(100):
        usual.note('r', 3.0)
    assert 2.9 < usual.find('r') <= 3.0
