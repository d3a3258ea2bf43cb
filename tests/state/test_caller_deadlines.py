"""Telling callers that have come back from new ones."""

import random

from arbutusvale.state import caller_deadlines


def make_usual(spread, seed=1):
    deadlines = caller_deadlines.CallerDeadlines()
    generator = random.Random(seed)
    for _ in range(400):
        deadlines.record('r', 10.0 * generator.uniform(1 - spread, 1 + spread))
    return deadlines


def test_a_caller_with_less_time_than_usual_has_come_back():
    deadlines = make_usual(0.15)
    assert deadlines.record('r', 7.0)
    assert not deadlines.record('r', 8.6)
    assert not deadlines.record('another', 7.0)


def test_times_that_differ_anyway_tell_nothing():
    assert not make_usual(0.8).record('r', 4.0)


def test_a_shorter_time_becomes_usual_if_all_callers_have_it():
    deadlines = make_usual(0.15)
    for _ in range(1000):
        deadlines.record('r', 5.0)
    assert not deadlines.record('r', 5.0)


def test_many_that_come_back_do_not_become_usual():
    deadlines = make_usual(0.15)
    for _ in range(300):
        deadlines.record('r', 10.0)
        assert deadlines.record('r', 7.0)
