import asyncio

import pytest

from arbutusvale.coordination import slots
from tests import helpers_sidecar as helpers


def make_slots(running, waiting, clock=None):
    places = slots.Slots(clock or helpers.Clock())
    places.configure(running, waiting)
    return places


def make_ticket(organisation, weight=1.0, priority=0, deadline=200.0):
    return slots.Ticket(organisation, weight, priority, deadline)


def run(work):
    return asyncio.run(work)


def test_waiting_runs_by_priority_then_share_and_deadline():
    async def work():
        places = make_slots(1, 9)
        first = make_ticket('big')
        waiting = {
            'late': make_ticket('big', deadline=190),
            'early': make_ticket('big', deadline=150),
            'quiet': make_ticket('small', deadline=195),
            'urgent': make_ticket('big', priority=5, deadline=199),
        }
        places.enter(first)
        for ticket in waiting.values():
            places.enter(ticket)
        order = []
        current = first
        while places.waiting:
            places.leave(current)
            current = places.running[0]
            order.extend(n for n, t in waiting.items() if t is current)
        assert order == ['urgent', 'quiet', 'early', 'late']

    run(work())


def test_quiet_organisation_displaces_a_surging_one():
    async def work():
        places = make_slots(1, 2)
        surge = [make_ticket('big', deadline=150 + i) for i in range(3)]
        assert all(places.enter(ticket) for ticket in surge)
        assert not places.enter(make_ticket('big'))
        quiet = make_ticket('small')
        assert places.enter(quiet)
        assert isinstance(surge[2].outcome.result(), slots.Displaced)
        assert places.load == 3
        places.leave(surge[0])
        assert quiet in places.running

    run(work())


def test_expired_ticket_frees_its_place():
    async def work():
        clock = helpers.Clock()
        places = make_slots(1, 1, clock)
        places.enter(make_ticket('big'))
        ticket = make_ticket('small', deadline=clock.now + 0.01)
        places.enter(ticket)
        outcome = await places.wait(ticket)
        assert isinstance(outcome, slots.Expired)
        assert places.load == 1

    run(work())


@pytest.mark.parametrize('entered', [1, 3])
def test_leaving_twice_counts_once(entered):
    async def work():
        places = make_slots(2, 2)
        tickets = [make_ticket('big') for _ in range(entered)]
        for ticket in tickets:
            places.enter(ticket)
        places.leave(tickets[0])
        places.leave(tickets[0])
        assert places.load == entered - 1

    run(work())
