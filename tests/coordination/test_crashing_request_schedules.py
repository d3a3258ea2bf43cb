"""Drawn schedules of requests that crash what runs them."""

from arbutusvale.transport import http_connection
from tests import helpers_log
from tests.coordination import crashing_pool

SEEDS = range(48)
# The share of sound requests served at d1a23b4, before the limit on crashes.
SERVED_BEFORE = 0.551


def play(monkeypatch, seed):
    day = crashing_pool.CrashingPoolDay(seed)
    monkeypatch.setattr(
        http_connection, 'open_connection', day.open_connection
    )
    helpers_log.run_in_virtual_time(day.play())
    return day


def test_crashing_request_goes_on_felling_servers(monkeypatch):
    """Sound requests beside it are served as often as before."""
    failed = {}
    days_with_three_crashes = sent = served = 0
    for seed in SEEDS:
        day = play(monkeypatch, seed)
        days_with_three_crashes += len(day.crashes) >= 3
        sent += day.sound_sent
        served += day.sound_served
        late = {key: day.count_late_retries(key) for key in crashing_pool.KEYS}
        if max(late.values()) > crashing_pool.MAX_LATE_RETRIES:
            failed[seed] = late, day.plan
    assert not failed
    assert served / sent >= SERVED_BEFORE
    assert days_with_three_crashes > len(SEEDS) / 2
