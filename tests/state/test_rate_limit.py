import pytest

from arbutusvale.state import rate_limit
from tests import helpers_edge


def make_limit(rate):
    clock = helpers_edge.Clock()
    limit = rate_limit.RateLimit(clock)
    limit.observe(rate, clock.now)
    return clock, limit


def count_most_in_window(clock, limit, seconds, window_s=4.0):
    """Send whenever it is allowed; return the most in any window."""
    sent_at = []
    end = clock.now + seconds
    while clock.now < end:
        clock.now += 0.01
        while not limit.time_until_free_s():
            limit.spend()
            sent_at.append(clock.now)
    return max(
        sum(at <= other < at + window_s for other in sent_at) for at in sent_at
    )


@pytest.mark.parametrize('rate', [0.0, 0.3, 2.8, 12.0, 200.0])
def test_server_gets_no_more_than_the_rate_that_it_names(rate):
    clock, limit = make_limit(rate)
    most = count_most_in_window(clock, limit, 60.0)
    assert 4.0 * rate * 0.8 - 1 <= most <= 1.5 * 4.0 * rate + 5


def test_limit_ends_with_an_answer_to_a_later_request():
    clock, limit = make_limit(1.0)
    assert limit.time_until_free_s()
    assert not limit.observe(None, clock.now - 1.0)
    assert limit.time_until_free_s()
    clock.now += 1.0
    assert limit.observe(None, clock.now)
    assert not limit.time_until_free_s()


@pytest.mark.parametrize('text', ['soon', '-1', 'nan', '1e9', ''])
def test_rate_that_is_no_number_within_bounds_is_ignored(text):
    assert rate_limit.parse_rate(text) is None
