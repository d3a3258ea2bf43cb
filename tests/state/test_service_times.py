"""Usual times of requests, and what the rate of completions tells."""

from arbutusvale.state import service_times
from tests import helpers_edge


def test_a_usual_time_follows_what_is_measured():
    usual = service_times.ServiceTimes()
    assert usual.average_s('r') == 0.0
    usual.record('r', 1.0)
    assert usual.average_s('r') == 1.0
    for _ in range(100):
        usual.record('r', 3.0)
    assert 2.9 < usual.average_s('r') <= 3.0


def test_the_rate_of_completions_tells_of_a_burst_before_answers_do():
    clock = helpers_edge.Clock()
    throughput = service_times.LatencyEstimator(clock)
    assert throughput.estimate('chat', 50, 1.0) == 1.0
    for _ in range(20):
        clock.now += 0.05
        throughput.record_completion('chat')
    assert throughput.estimate('chat', 20, 1.0) == 1.0
    assert 2.4 < throughput.estimate('chat', 50, 1.0) < 2.7
    clock.now += 5
    assert throughput.estimate('chat', 50, 1.0) == 4.0


def test_a_router_with_few_calls_keeps_to_their_usual_time():
    """One of 32 routers has two calls in flight and ends two a second.

    Little's law made 0.4 s of calls that take 0.1 s, and calls were refused
    at servers that had places.
    """
    clock = helpers_edge.Clock()
    throughput = service_times.LatencyEstimator(clock)
    for _ in range(10):
        clock.now += 0.5
        throughput.record_completion('plain')
    assert throughput.estimate('plain', 2, 0.1) == 0.1
