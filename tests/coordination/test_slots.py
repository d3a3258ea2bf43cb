import asyncio

import pytest

from arbutusvale.coordination import slots
from tests import helpers_sidecar as helpers


def make_scheduler(running, waiting, clock=None):
    scheduler = slots.SlotScheduler(clock or helpers.Clock())
    scheduler.configure(running, waiting)
    return scheduler


def make_ticket(organisation, weight=1.0, priority=0, deadline=200.0):
    return slots.Ticket(organisation, weight, priority, deadline)


def run(work):
    return asyncio.run(work)


def test_queue_order_is_priority_then_fair_share_then_deadline():
    async def work():
        scheduler = make_scheduler(1, 9)
        first = make_ticket('big')
        waiting = {
            'late': make_ticket('big', deadline=190),
            'early': make_ticket('big', deadline=150),
            'quiet': make_ticket('small', deadline=195),
            'urgent': make_ticket('big', priority=5, deadline=199),
        }
        scheduler.try_enqueue(first)
        for ticket in waiting.values():
            scheduler.try_enqueue(ticket)
        run_order = []
        current = first
        while scheduler.waiting:
            scheduler.release(current)
            current = scheduler.running[0]
            run_order.extend(n for n, t in waiting.items() if t is current)
        assert run_order == ['urgent', 'quiet', 'early', 'late']

    run(work())


def test_organisation_below_its_share_displaces_one_above():
    async def work():
        scheduler = make_scheduler(1, 2)
        surge = [make_ticket('big', deadline=150 + i) for i in range(3)]
        assert all(scheduler.try_enqueue(ticket) for ticket in surge)
        assert not scheduler.try_enqueue(make_ticket('big'))
        quiet = make_ticket('small')
        assert scheduler.try_enqueue(quiet)
        assert isinstance(surge[2].outcome.result(), slots.Displaced)
        assert scheduler.load == 3
        scheduler.release(surge[0])
        assert quiet in scheduler.running

    run(work())


def test_expired_ticket_leaves_the_queue():
    async def work():
        clock = helpers.Clock()
        scheduler = make_scheduler(1, 1, clock)
        scheduler.try_enqueue(make_ticket('big'))
        ticket = make_ticket('small', deadline=clock.now + 0.01)
        scheduler.try_enqueue(ticket)
        outcome = await scheduler.wait(ticket)
        assert isinstance(outcome, slots.Expired)
        assert scheduler.load == 1

    run(work())


@pytest.mark.parametrize('enqueued', [1, 3])
def test_second_release_has_no_effect(enqueued):
    async def work():
        scheduler = make_scheduler(2, 2)
        tickets = [make_ticket('big') for _ in range(enqueued)]
        for ticket in tickets:
            scheduler.try_enqueue(ticket)
        scheduler.release(tickets[0])
        scheduler.release(tickets[0])
        assert scheduler.load == enqueued - 1

    run(work())
