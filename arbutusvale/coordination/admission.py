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
MOST_PAUSE_S = 0.2
LAST_HOP_WAIT_S = 10.0
HOLDER_WAIT_S = 1.0
BUSY_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Report that the request holds a place at this server."""

    ticket: slots.Ticket


Decision = Admitted | messages.Refused | messages.Redirect
Refresh = Callable[[], Awaitable[None]]
FindHolder = Callable[[messages.Submit, bundle.Pool], Awaitable[str]]


class AdmissionController:
    """Keep one server's load within the bound and its absolute limits.

    ``refresh_loads`` asks pool mates for their loads; ``find_cache_holder``
    returns the VM whose engine holds the chat's cache, or an empty name.
    """

    def __init__(
        self,
        table: pooltable.PoolTable,
        scheduler: slots.SlotScheduler,
        refresh_loads: Refresh,
        find_cache_holder: FindHolder,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.table = table
        self.scheduler = scheduler
        self.refresh_loads = refresh_loads
        self.find_cache_holder = find_cache_holder
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
        self.scheduler.configure(pool.slots, pool.queue)
        holder = await self._find_holder(submit, pool)
        bound = pool.policy.bound
        if self._may_redirect(submit, holder, bound):
            self._log(submit, f'redirect:{holder}', bound)
            return messages.Redirect(submit.attempt, holder, 'cache-holder')
        patience_s = self._get_patience(submit, holder)
        within = await self._wait_for_bound(bound, patience_s)
        # No await from here on: the count must not change before
        # try_enqueue().
        ticket = slots.Ticket(
            submit.organisation,
            organisation.weight,
            submit.priority,
            arrived_at + submit.time_left,
        )
        if ticket.deadline <= self.clock():
            return self.refuse(submit, messages.Refusal.EXPIRED)
        if not within:
            return self.refuse(submit, messages.Refusal.BUSY, bound=bound)
        if not self.scheduler.try_enqueue(ticket):
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
            retry_after = self.scheduler.retry_after
        self._log(submit, str(reason), bound)
        return messages.Refused(
            submit.attempt,
            str(reason),
            detail,
            retry_after,
            self.scheduler.load,
            float(self.table.mean),
            self.table.name_alternatives(ALTERNATIVES),
        )

    def _get_patience(self, submit: messages.Submit, holder: str) -> float:
        """Return how long an attempt may wait for the bound, in seconds.

        A last hop waits, as others in the same burst raise the mean step
        by step; so does a chat whose cache is here, for a moment.
        """
        if submit.last_hop or submit.hop + 1 >= self.table.count:
            return min(LAST_HOP_WAIT_S, submit.time_left / 2)
        if holder == self.table.own.vm:
            return min(HOLDER_WAIT_S, submit.time_left / 2)
        return 0.0

    async def _wait_for_bound(self, bound: float, patience_s: float) -> bool:
        """Refresh the table until the bound lets one more request in.

        A full server is within its bound: whoever enters takes the place
        of another.  False when ``patience_s`` has passed in vain.
        """
        deadline = self.clock() + patience_s
        pause_s = FIRST_PAUSE_S
        while not self._is_within(bound):
            await self.refresh_loads()
            if self._is_within(bound):
                return True
            if self.clock() >= deadline:
                return False
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MOST_PAUSE_S)
        return True

    def _is_within(self, bound: float) -> bool:
        """Tell whether one more request surely keeps the bound."""
        if not self.scheduler.has_capacity():
            return True
        limit = self.table.safe_limit(
            bound, self.scheduler.mean_service_time_s
        )
        return self.scheduler.load + 1 <= limit

    async def _find_holder(
        self, submit: messages.Submit, pool: bundle.Pool
    ) -> str:
        """Return the VM that holds the chat's cache; empty if unknown."""
        match pool.policy:
            case bundle.DirectoryPolicy() if submit.chat:
                return await self.find_cache_holder(submit, pool)
            case _:
                return ''

    def _may_redirect(
        self, submit: messages.Submit, holder: str, bound: float
    ) -> bool:
        """Tell whether the chat goes to the holder of its cache."""
        if holder in ('', self.table.own.vm):
            return False
        if submit.redirected or submit.last_hop:
            return False
        load = self.table.find(holder)
        if load is None:
            return False
        return load.load + 1 <= self.table.bound_limit(bound)

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
            self.scheduler.load,
            limit,
            self.table.mean,
            choice,
        )
