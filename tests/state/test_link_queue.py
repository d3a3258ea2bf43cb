"""Estimated queueing delay at a slow link."""

from arbutusvale.state import link_queue
from tests import helpers_edge


def test_a_link_below_capacity_has_no_queue():
    clock = helpers_edge.Clock()
    link = link_queue.LinkQueue(5.0, clock)
    for _ in range(200):
        link.add_bytes(12_000)
        clock.now += 1 / 20
        assert link.queueing_delay_s() < 0.05


def test_an_overloaded_link_has_a_growing_queue():
    """Guards against work for callers that have left.

    A VM with a link of 5 Mbit/s forwarded 37 requests a second of 12 kB, and
    as many bytes of responses.  Requests reached engines 1.4 s after their
    callers left (rule GONE on a variant of lembrete-sul).
    """
    clock = helpers_edge.Clock()
    link = link_queue.LinkQueue(5.0, clock)
    for _ in range(37 * 3):
        link.add_bytes(12_000)
        link.add_bytes(12_000)
        clock.now += 1 / 37
    assert link.queueing_delay_s() > 0.5
    clock.now += 5
    assert link.queueing_delay_s() == 0.0


def test_a_link_without_a_rate_limit_has_no_delay():
    link = link_queue.LinkQueue(0.0, helpers_edge.Clock())
    link.add_bytes(10**9)
    assert link.queueing_delay_s() == 0.0
