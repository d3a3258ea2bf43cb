"""Drawn schedules of requests that crash what runs them."""

from arbutusvale.transport import http_connection
from tests import helpers_log
from tests.coordination import crashing_pool

SEEDS = range(48)


def play(monkeypatch, seed):
    day = crashing_pool.CrashingPoolDay(seed)
    monkeypatch.setattr(
        http_connection, 'open_connection', day.open_connection
    )
    helpers_log.run_in_virtual_time(day.play())
    return day


def test_crashing_request_goes_on_felling_servers(monkeypatch):
    failed = {}
    days_with_three_crashes = 0
    for seed in SEEDS:
        day = play(monkeypatch, seed)
        days_with_three_crashes += len(day.crashes) >= 3
        late = {key: day.count_late_retries(key) for key in crashing_pool.KEYS}
        if max(late.values()) > crashing_pool.MAX_LATE_RETRIES:
            failed[seed] = late, day.plan
    assert not failed
    assert days_with_three_crashes > len(SEEDS) / 2
