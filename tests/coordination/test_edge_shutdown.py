"""Phases of a stop."""

from arbutusvale.coordination import edge_shutdown

SCHEDULE = edge_shutdown.ShutdownSchedule(8.0)
ShutdownPhase = edge_shutdown.ShutdownPhase


def test_new_requests_are_served_until_callers_go_elsewhere():
    assert SCHEDULE.phase_at(0.0, 0, 0) is ShutdownPhase.LEAVING
    assert SCHEDULE.phase_at(2.0, 5, 9) is ShutdownPhase.LEAVING


def test_later_ones_are_refused_while_others_run():
    assert SCHEDULE.phase_at(4.0, 1, 1) is ShutdownPhase.REFUSING


def test_requests_on_their_way_are_still_refused_with_an_answer():
    assert SCHEDULE.phase_at(2.7, 0, 0) is ShutdownPhase.REFUSING


def test_answers_on_their_way_are_waited_for():
    assert SCHEDULE.phase_at(4.0, 0, 1) is ShutdownPhase.CLOSING


def test_the_stop_ends_when_nothing_is_open_or_the_grace_is_over():
    assert SCHEDULE.phase_at(4.0, 0, 0) is ShutdownPhase.ENDED
    assert SCHEDULE.phase_at(7.7, 9, 9) is ShutdownPhase.ENDED


def test_a_short_grace_still_leaves_half_of_it_for_what_runs():
    schedule = edge_shutdown.ShutdownSchedule(3.0)
    assert schedule.phase_at(1.6, 1, 1) is ShutdownPhase.REFUSING
