"""Requests in flight by organisation, and usual shares."""

from arbutusvale.state import holdings


def test_a_fair_share_is_an_equal_one_at_least():
    held = holdings.Holdings()
    for owner in ('a', 'a', 'a', 'b'):
        held.begin('chat', owner)
    for _ in range(95):
        held.note_arrival('chat', 'a')
    for _ in range(5):
        held.note_arrival('chat', 'b')
    assert held.count('chat', 'a') == 3
    assert held.total('chat') == 4
    assert held.fair('chat', 'b') == 2.0
    assert 3.7 < held.fair('chat', 'a') < 3.9
    held.end('chat', 'b')
    assert held.fair('chat', 'a') == 3.0
    assert held.fair('elsewhere', 'a') == 0.0


def test_no_share_is_unusual_before_enough_is_known():
    held = holdings.Holdings()
    held.begin('chat', 'a')
    held.begin('chat', 'b')
    held.note_arrival('chat', 'a')
    assert held.fair('chat', 'a') == 2.0


def test_a_surge_of_a_few_seconds_hardly_changes_a_usual_share():
    held = holdings.Holdings()
    for turn in range(3000):
        held.note_arrival('chat', 'quiet' if turn % 10 else 'surging')
    for _ in range(100):
        held.note_arrival('chat', 'surging')
    for _ in range(100):
        held.begin('chat', 'surging')
    for index in range(9):
        held.begin('chat', f'quiet{index}')
    assert held.fair('chat', 'surging') < 0.25 * held.total('chat')


def test_usual_shares_stay_bounded_over_many_requests():
    held = holdings.Holdings()
    for turn in range(40_000):
        held.note_arrival('chat', f'o{turn // 100}')
    for _ in range(10):
        held.begin('chat', 'o399')
    usual = held.usual['chat']
    assert usual.unit <= 2e6
    assert len(usual.weights) < 400
    assert 0.0 < usual.find('o399') < 0.2
