"""Requests in flight by organisation, and usual shares."""

from arbutusvale.state import organisation_usage


def test_a_fair_share_is_an_equal_one_at_least():
    held = organisation_usage.OrganisationUsage()
    for owner in ('a', 'a', 'a', 'b'):
        held.record_start('chat', owner)
    for _ in range(95):
        held.record_arrival('chat', 'a')
    for _ in range(5):
        held.record_arrival('chat', 'b')
    assert held.count_in_flight('chat', 'a') == 3
    assert held.total_in_flight('chat') == 4
    assert held.fair_share('chat', 'b') == 2.0
    assert 3.7 < held.fair_share('chat', 'a') < 3.9
    held.record_end('chat', 'b')
    assert held.fair_share('chat', 'a') == 3.0
    assert held.fair_share('elsewhere', 'a') == 0.0


def test_no_share_is_unusual_before_enough_is_known():
    held = organisation_usage.OrganisationUsage()
    held.record_start('chat', 'a')
    held.record_start('chat', 'b')
    held.record_arrival('chat', 'a')
    assert held.fair_share('chat', 'a') == 2.0


def test_a_surge_of_a_few_seconds_hardly_changes_a_usual_share():
    held = organisation_usage.OrganisationUsage()
    for turn in range(3000):
        held.record_arrival('chat', 'quiet' if turn % 10 else 'surging')
    for _ in range(100):
        held.record_arrival('chat', 'surging')
    for _ in range(100):
        held.record_start('chat', 'surging')
    for index in range(9):
        held.record_start('chat', f'quiet{index}')
    assert held.fair_share('chat', 'surging') < 0.25 * held.total_in_flight(
        'chat'
    )


def test_usual_shares_stay_bounded_over_many_requests():
    held = organisation_usage.OrganisationUsage()
    for turn in range(40_000):
        held.record_arrival('chat', f'o{turn // 100}')
    for _ in range(10):
        held.record_start('chat', 'o399')
    usual = held.request_shares['chat']
    assert usual.newest_weight <= 2e6
    assert len(usual.weights) < 400
    assert 0.0 < usual.share_of('o399') < 0.2
