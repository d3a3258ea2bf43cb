"""Requests in flight by organisation, and fair shares."""

from arbutusvale.state import organisation_usage


def test_a_fair_share_is_at_least_an_equal_share():
    usage = organisation_usage.OrganisationUsage()
    for organisation in ('a', 'a', 'a', 'b'):
        usage.record_start('chat', organisation)
    for _ in range(95):
        usage.record_arrival('chat', 'a')
    for _ in range(5):
        usage.record_arrival('chat', 'b')
    assert usage.count_in_flight('chat', 'a') == 3
    assert usage.total_in_flight('chat') == 4
    assert usage.fair_share('chat', 'b') == 2.0
    assert 3.7 < usage.fair_share('chat', 'a') < 3.9
    usage.record_end('chat', 'b')
    assert usage.fair_share('chat', 'a') == 3.0
    assert usage.fair_share('elsewhere', 'a') == 0.0


def test_with_few_requests_a_fair_share_is_all_in_flight():
    usage = organisation_usage.OrganisationUsage()
    usage.record_start('chat', 'a')
    usage.record_start('chat', 'b')
    usage.record_arrival('chat', 'a')
    assert usage.fair_share('chat', 'a') == 2.0


def test_a_short_surge_hardly_changes_a_fair_share():
    usage = organisation_usage.OrganisationUsage()
    for number in range(3000):
        usage.record_arrival('chat', 'quiet' if number % 10 else 'surging')
    for _ in range(100):
        usage.record_arrival('chat', 'surging')
    for _ in range(100):
        usage.record_start('chat', 'surging')
    for index in range(9):
        usage.record_start('chat', f'quiet{index}')
    assert usage.fair_share('chat', 'surging') < 0.25 * usage.total_in_flight(
        'chat'
    )


def test_weights_stay_bounded_over_many_requests():
    usage = organisation_usage.OrganisationUsage()
    for number in range(40_000):
        usage.record_arrival('chat', f'o{number // 100}')
    for _ in range(10):
        usage.record_start('chat', 'o399')
    shares = usage.request_shares['chat']
    assert shares.newest_weight <= 2e6
    assert len(shares.weights) < 400
    assert 0.0 < shares.share_of('o399') < 0.2
