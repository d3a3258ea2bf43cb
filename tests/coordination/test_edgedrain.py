"""Phases of a stop."""

from arbutusvale.coordination import edgedrain

PLAN = edgedrain.StopPlan(8.0)
Phase = edgedrain.Phase


def test_new_requests_are_served_until_callers_go_elsewhere():
    assert PLAN.find_phase(0.0, 0, 0) is Phase.LEAVING
    assert PLAN.find_phase(2.0, 5, 9) is Phase.LEAVING


def test_later_ones_are_refused_while_others_run():
    assert PLAN.find_phase(4.0, 1, 1) is Phase.REFUSING


def test_requests_on_their_way_are_still_refused_with_an_answer():
    assert PLAN.find_phase(2.7, 0, 0) is Phase.REFUSING


def test_answers_on_their_way_are_waited_for():
    assert PLAN.find_phase(4.0, 0, 1) is Phase.CLOSING


def test_the_stop_ends_when_nothing_is_open_or_the_grace_is_over():
    assert PLAN.find_phase(4.0, 0, 0) is Phase.ENDED
    assert PLAN.find_phase(7.7, 9, 9) is Phase.ENDED


def test_a_short_grace_still_leaves_half_of_it_for_what_runs():
    plan = edgedrain.StopPlan(3.0)
    assert plan.find_phase(1.6, 1, 1) is Phase.REFUSING
