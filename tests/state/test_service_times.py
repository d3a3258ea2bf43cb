"""Average service times, and latency from the rate of completions."""

import random

from arbutusvale.state import service_times
from tests import helpers_edge


def test_an_average_follows_recorded_times():
    averages = service_times.ServiceTimes()
    assert averages.average_s('r') == 0.0
    averages.record('r', 1.0)
    assert averages.average_s('r') == 1.0
    for _ in range(100):
        averages.record('r', 3.0)
    assert 2.9 < averages.average_s('r') <= 3.0


def test_the_estimate_rises_in_a_burst_before_responses_do():
    clock = helpers_edge.Clock()
    estimator = service_times.LatencyEstimator(clock)
    assert estimator.estimate('chat', 50, 1.0) == 1.0
    for _ in range(20):
        clock.now += 0.05
        estimator.record_completion('chat')
    assert estimator.estimate('chat', 20, 1.0) == 1.0
    assert 2.4 < estimator.estimate('chat', 50, 1.0) < 2.7
    clock.now += 5
    assert estimator.estimate('chat', 50, 1.0) == 4.0


def test_with_few_calls_in_flight_the_average_is_the_estimate():
    """With few calls in flight the average is used, not Little's law.

    One of 32 routers has two calls in flight and completes two a second.
    The estimate was 0.4 s for calls that take 0.1 s, so calls were refused
    though servers had free slots.
    """
    clock = helpers_edge.Clock()
    estimator = service_times.LatencyEstimator(clock)
    for _ in range(10):
        clock.now += 0.5
        estimator.record_completion('plain')
    assert estimator.estimate('plain', 2, 0.1) == 0.1


def test_few_run_times_exceed_their_upper_bound():
    generator = random.Random(7)
    times = service_times.RunTimes()
    assert times.upper_bound_s('r') is None
    exceeded = 0
    for number in range(2000):
        seconds = generator.lognormvariate(0.0, 0.5)
        exceeded += number > 20 and seconds > times.upper_bound_s('r')
        times.record('r', seconds)
    assert exceeded < 100
    assert times.upper_bound_s('r') > times.average_s('r') > 0.8
