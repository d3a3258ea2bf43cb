"""Short soak runs with fixed seeds."""

import pytest

from tests.soak import fault_schedule
from tests.soak import rolling_stops
from tests.soak import run

pytestmark = pytest.mark.process

DURATION_S = 6.0
# Together these seeds draw a terminated router, an engine crash, store faults
# and frozen connections.
SEEDS = (2, 7)
# All routers stop within a second; some stand still or are told so again.
STOPS_SEED = 1
STOPS_DURATION_S = 14.0


@pytest.mark.parametrize('seed', SEEDS)
def test_guarantees_hold_under_random_faults(tmp_path, seed):
    soak_run = run.SoakRun(tmp_path, seed, DURATION_S)
    try:
        assert soak_run.run_and_check() == []
        attempt_count = sum(
            len(caller.attempts) for caller in soak_run.callers
        )
        assert attempt_count > 200
    finally:
        soak_run.close()


# Requests that were read behind a stream were dropped at its end.
def test_no_request_is_lost_at_rolling_stops(tmp_path):
    play = rolling_stops.RollingStops(
        tmp_path, STOPS_SEED, STOPS_DURATION_S, callers=30
    )
    try:
        assert play.run_and_check() == []
        assert len(play.exchanges) > 200
        assert play.stops
    finally:
        play.close()


def test_seed_determines_faults():
    assert fault_schedule.draw_faults(5, 8.0) == fault_schedule.draw_faults(
        5, 8.0
    )
    assert fault_schedule.draw_faults(5, 8.0) != fault_schedule.draw_faults(
        6, 8.0
    )
    drawn_kinds = {
        fault.kind
        for seed in range(200)
        for fault in fault_schedule.draw_faults(seed, 8.0)
    }
    kinds = fault_schedule.FAULT_KINDS + fault_schedule.ADDED_KINDS
    assert drawn_kinds == set(kinds)
