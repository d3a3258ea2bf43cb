"""Short soak runs with fixed seeds."""

import pytest

from tests.soak import fault_schedule
from tests.soak import run

pytestmark = pytest.mark.process

DURATION_S = 6.0
# Together these seeds draw a terminated router, an engine crash, store faults
# and frozen connections.
SEEDS = (2, 7)


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
