"""Replay the load patterns that admission answers."""

import random

from arbutusvale.coordination import edgeadmission

SLOTS = 6


def make_ask(left_s=0.8, service_s=0.06, held=1, mean_held=1.0):
    return edgeadmission.Ask(left_s, service_s, held, mean_held)


def decide(loads, ask, spread=0.5):
    return edgeadmission.decide(
        [edgeadmission.Load(load, SLOTS) for load in loads], ask, spread
    )


def test_a_free_slot_admits():
    assert isinstance(decide([5, 6, 9], make_ask()), edgeadmission.Admitted)


def test_what_can_not_be_served_in_time_is_refused_at_once():
    refused = decide([200, 220, 240], make_ask())
    assert isinstance(refused, edgeadmission.TurnedAway)
    assert refused.cause == 'overload'
    assert refused.wait_s > 0.8


def test_a_short_queue_that_can_be_waited_for_admits():
    assert isinstance(decide([20, 21], make_ask()), edgeadmission.Admitted)


def test_nothing_is_refused_before_times_are_known():
    admitted = decide([500], make_ask(service_s=0.0))
    assert isinstance(admitted, edgeadmission.Admitted)


def test_the_time_to_return_is_spread_and_bounded():
    generator = random.Random(1)
    delays = [
        decide([300], make_ask(), generator.random()).retry_after_s
        for _ in range(200)
    ]
    assert min(delays) >= edgeadmission.LEAST_RETRY_S * 0.75
    assert max(delays) <= edgeadmission.MOST_RETRY_S * 1.25
    assert max(delays) > 1.4 * min(delays)


def test_a_request_that_would_wait_at_the_link_is_refused():
    assert edgeadmission.decide_link(0.1, 0.5) is None
    refused = edgeadmission.decide_link(0.8, 0.5)
    assert refused.cause == 'link'
    assert 0.4 < refused.retry_after_s < 1.2


def test_a_surging_organisation_is_refused_before_quiet_ones():
    """One of ten organisations sends ten times its usual."""
    full = [8, 8, 8]
    surging = decide(full, make_ask(held=30, mean_held=5.0))
    quiet = decide(full, make_ask(held=2, mean_held=5.0))
    assert isinstance(surging, edgeadmission.TurnedAway)
    assert surging.cause == 'share'
    assert isinstance(quiet, edgeadmission.Admitted)


def test_a_surge_is_served_while_there_is_room():
    admitted = decide([1, 2, 3], make_ask(held=30, mean_held=5.0))
    assert isinstance(admitted, edgeadmission.Admitted)


def test_a_burst_at_twice_the_capacity_is_served_up_to_capacity():
    """Replays 4 s at 600 calls a second on 3 servers of 6 slots, 60 ms.

    Refusing what can't be served keeps the answers of the rest in time.
    """
    queues = [0.0, 0.0, 0.0]
    answered_late = refused = served = 0
    for _ in range(2400):
        queues = [max(0.0, load - SLOTS / 0.06 / 600) for load in queues]
        outcome = decide(queues, make_ask())
        if isinstance(outcome, edgeadmission.TurnedAway):
            refused += 1
            continue
        least = queues.index(min(queues))
        queues[least] += 1
        wait_s = max(0.0, queues[least] - SLOTS) / SLOTS * 0.06 + 0.06
        served += 1
        answered_late += wait_s > 0.8 * edgeadmission.WAIT_MARGIN + 0.01
    assert answered_late == 0
    assert refused > 500
    assert served >= 4 * 300
