"""Decide whether a server takes one more request within its load bound."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import math
import time

from absl import logging

from arbutusvale.coordination import slots
from arbutusvale.protocol import bundle
from arbutusvale.protocol import messages
from arbutusvale.state import pooltable

ALTERNATIVES = 2
FIRST_PAUSE_S = 0.005
MOST_PAUSE_S = 0.1
MOST_WAIT_S = 1.0
BUSY_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Report that the request holds a place at this server."""

    ticket: slots.Ticket


Decision = Admitted | messages.Refused | messages.Redirect
Refresh = Callable[[], Awaitable[None]]
FindHolder = Callable[[messages.Submit, bundle.Pool], Awaitable[str]]


class Admission:
    """Keep one server's load within the bound and its absolute limits.

    ``refresh`` asks pool mates for their loads; ``find_holder`` returns
    the VM whose engine holds the chat's cache, or an empty name.
    """

    def __init__(
        self,
        table: pooltable.PoolTable,
        places: slots.Slots,
        refresh: Refresh,
        find_holder: FindHolder,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.table = table
        self.places = places
        self.refresh = refresh
        self.find_holder = find_holder
        self.clock = clock

    async def admit(
        self,
        submit: messages.Submit,
        pool: bundle.Pool,
        organisation: bundle.Organisation,
    ) -> Decision:
        """Admit an attempt, refuse it or send it to the cache holder."""
        arrived_at = self.clock()
        self.table.merge(submit.loads)
        self.places.configure(pool.slots, pool.queue)
        redirect = await self._redirect(submit, pool)
        if redirect is not None:
            return redirect
        bound = pool.policy.bound
        await self._wait_for_room(submit, bound)
        # No await from here on: the count must not change before enter().
        ticket = slots.Ticket(
            submit.organisation,
            organisation.weight,
            submit.priority,
            arrived_at + submit.time_left,
        )
        if ticket.deadline <= self.clock():
            return self.refuse(submit, messages.Refusal.EXPIRED)
        if self.places.has_room() and not self._within(bound):
            return self.refuse(submit, messages.Refusal.BUSY, bound=bound)
        if not self.places.enter(ticket):
            return self.refuse(submit, messages.Refusal.FULL, bound=bound)
        self._log(submit, 'admitted', bound)
        return Admitted(ticket)

    def refuse(
        self,
        submit: messages.Submit,
        reason: messages.Refusal,
        *,
        bound: float = math.inf,
        detail: str = '',
    ) -> messages.Refused:
        """Make the refusal of an attempt, with fresh loads on it."""
        retry_after = BUSY_RETRY_S
        if reason == messages.Refusal.FULL:
            retry_after = self.places.retry_after
        self._log(submit, str(reason), bound)
        return messages.Refused(
            submit.attempt,
            str(reason),
            detail,
            retry_after,
            self.places.load,
            float(self.table.mean),
            self.table.name_alternatives(ALTERNATIVES),
        )

    async def _wait_for_room(
        self, submit: messages.Submit, bound: float
    ) -> None:
        """Refresh the table until the bound lets one more request in.

        A last hop waits a bounded time, as others in the same burst raise
        the mean step by step; other hops do not wait.
        """
        deadline = self.clock() + min(MOST_WAIT_S, submit.time_left / 2)
        pause_s = FIRST_PAUSE_S
        while self.places.has_room() and not self._within(bound):
            await self.refresh()
            if self._within(bound) or not submit.last_hop:
                return
            if self.clock() >= deadline:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MOST_PAUSE_S)

    def _within(self, bound: float) -> bool:
        """Tell whether one more request surely keeps the bound."""
        limit = self.table.safe_limit(bound, self.places.mean_hold_s)
        return self.places.load + 1 <= limit

    async def _redirect(
        self, submit: messages.Submit, pool: bundle.Pool
    ) -> messages.Redirect | None:
        """Send a chat to the server that holds its cache, given room."""
        match pool.policy:
            case bundle.DirectoryPolicy(bound=bound):
                if submit.redirected or submit.last_hop or not submit.chat:
                    return None
            case _:
                return None
        vm = await self.find_holder(submit, pool)
        if vm in ('', self.table.own.vm):
            return None
        load = self.table.find(vm)
        if load is None or load.load + 1 > self.table.bound_limit(bound):
            return None
        self._log(submit, f'redirect:{vm}', bound)
        return messages.Redirect(submit.attempt, vm, 'cache-holder')

    def _log(self, submit: messages.Submit, choice: str, bound: float) -> None:
        """Log one admission decision."""
        limit = 0 if bound == math.inf else self.table.bound_limit(bound)
        logging.info(
            'event=admission request=%s attempt=%s organisation=%s chat=%s '
            'hop=%d load=%d limit=%d mean=%.2f choice=%s',
            submit.request_id,
            submit.attempt,
            submit.organisation,
            submit.chat[:8],
            submit.hop,
            self.places.load,
            limit,
            self.table.mean,
            choice,
        )
