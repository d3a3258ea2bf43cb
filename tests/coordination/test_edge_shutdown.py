"""Phases of a graceful shutdown."""

import pytest

from arbutusvale.coordination import edge_shutdown

SCHEDULE = edge_shutdown.ShutdownSchedule(8.0)
ShutdownPhase = edge_shutdown.ShutdownPhase


def test_requests_are_served_until_the_router_is_out_of_rotation():
    assert SCHEDULE.phase_at(0.0, 0, 0) is ShutdownPhase.LEAVING
    assert SCHEDULE.phase_at(2.0, 5, 9) is ShutdownPhase.LEAVING


def test_new_requests_are_refused_while_others_run():
    assert SCHEDULE.phase_at(4.0, 1, 1) is ShutdownPhase.REFUSING


def test_requests_in_transit_still_get_a_refusal():
    assert SCHEDULE.phase_at(2.7, 0, 0) is ShutdownPhase.REFUSING


def test_shutdown_waits_for_open_connections():
    assert SCHEDULE.phase_at(4.0, 0, 1) is ShutdownPhase.CLOSING


def test_shutdown_ends_without_connections_or_at_the_end_of_the_grace():
    assert SCHEDULE.phase_at(4.0, 0, 0) is ShutdownPhase.ENDED
    assert SCHEDULE.phase_at(7.7, 9, 9) is ShutdownPhase.ENDED


def test_short_grace_leaves_half_of_it_to_running_requests():
    schedule = edge_shutdown.ShutdownSchedule(3.0)
    assert schedule.phase_at(1.6, 1, 1) is ShutdownPhase.REFUSING


@pytest.mark.parametrize(
    ('wait_s', 'run_time_s', 'permitted'),
    [
        (0.0, 7.0, True),
        (0.0, 7.5, False),
        (2.0, 5.0, True),
        (2.0, 6.0, False),
        (3.0, 0.1, False),
    ],
)
def test_wait_is_permitted_if_the_run_ends_in_time(
    wait_s, run_time_s, permitted
):
    limits = SCHEDULE.limit_work(100.0)
    assert limits.permits_wait(100.0, wait_s, run_time_s) is permitted


def test_last_responses_precede_the_exit():
    ends_at = SCHEDULE.limit_work(0.0).ends_at
    assert SCHEDULE.phase_at(ends_at, 1, 1) is ShutdownPhase.REFUSING
    short = edge_shutdown.ShutdownSchedule(0.1).limit_work(0.0)
    assert short.ends_at == 0.0
