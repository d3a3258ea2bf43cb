"""Drawn schedules of requests that crash what runs them."""

import dataclasses
import functools

import pytest

from arbutusvale.transport import http_connection
from tests import helpers_log
from tests.coordination import crashing_pool

SEEDS = range(48)
# The share of sound requests served at d1a23b4, before the limit on crashes.
SERVED_BEFORE = 0.551


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of crashing and of sound requests in one schedule."""

    plan: crashing_pool.Plan
    late_retries: dict[bytes, int]
    crashes: int
    sound_sent: int
    sound_served: int


@functools.cache
def play(seed):
    day = crashing_pool.CrashingPoolDay(seed)
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(
            http_connection, 'open_connection', day.open_connection
        )
        helpers_log.run_in_virtual_time(day.play())
    return Outcome(
        day.plan,
        {key: day.count_late_retries(key) for key in crashing_pool.KEYS},
        len(day.crashes),
        day.sound_sent,
        day.sound_served,
    )


@pytest.mark.parametrize('seed', SEEDS)
def test_crashing_request_goes_on_felling_servers(seed):
    outcome = play(seed)
    late = max(outcome.late_retries.values())
    assert late <= crashing_pool.MAX_LATE_RETRIES, outcome.plan


def test_sound_requests_beside_it_are_served_as_often_as_before():
    outcomes = [play(seed) for seed in SEEDS]
    sent = sum(outcome.sound_sent for outcome in outcomes)
    served = sum(outcome.sound_served for outcome in outcomes)
    assert served / sent >= SERVED_BEFORE
    days_with_three_crashes = sum(outcome.crashes >= 3 for outcome in outcomes)
    assert days_with_three_crashes > len(SEEDS) / 2
