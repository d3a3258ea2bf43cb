"""Admission control of a sidecar by its load bound and queue limits."""

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
from arbutusvale.state import pool_load_table
from arbutusvale.state import rate_limit

# Least loaded peers that a refusal names for the attempt's next hop.
MAX_ALTERNATIVES = 2
MIN_POLL_INTERVAL_S = 0.005
MAX_POLL_INTERVAL_S = 0.2
MAX_LAST_HOP_WAIT_S = 10.0
MAX_CACHE_HOLDER_WAIT_S = 1.0
BUSY_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Decision that the request may wait for a slot and run here."""

    ticket: slots.Ticket


Decision = Admitted | messages.Refused | messages.Redirect
Refresh = Callable[[], Awaitable[None]]
FindCacheHolder = Callable[[messages.Submit, bundle.Pool], Awaitable[str]]


class AdmissionController:
    """Admission control for the requests of one backend server.

    The load bound is a factor on the pool's mean load, as in consistent
    hashing with bounded loads; the slots and the queue limit the absolute
    load.  ``refresh_loads`` fetches the loads of the pool's other sidecars;
    ``find_cache_holder`` returns the VM whose engine caches the chat, or an
    empty name.  ``server_rate`` is the rate that the server names.
    """

    def __init__(
        self,
        table: pool_load_table.PoolLoadTable,
        scheduler: slots.SlotScheduler,
        refresh_loads: Refresh,
        find_cache_holder: FindCacheHolder,
        clock: Callable[[], float] = time.monotonic,
        server_rate: rate_limit.RateLimit | None = None,
    ):
        self.server_rate = server_rate or rate_limit.RateLimit(clock)
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
        """Admit an attempt, refuse it or redirect it to its cache holder."""
        arrived_at = self.clock()
        self.table.merge(submit.loads)
        self.scheduler.configure(pool.slots, pool.queue)
        holder = await self._find_cache_holder(submit, pool)
        bound = pool.policy.bound
        if self._should_redirect(submit, holder, bound):
            self._log_decision(submit, f'redirect:{holder}', bound)
            return messages.Redirect(submit.attempt, holder, 'cache-holder')
        max_wait_s = self._max_wait_s(submit, holder)
        await self._wait_for_rate(max_wait_s)
        within_bound = await self._wait_for_bound(bound, max_wait_s)
        # No await from here on: the load must not change between the check
        # of the bound and try_enqueue().
        ticket = slots.Ticket(
            submit.organisation,
            organisation.weight,
            submit.priority,
            arrived_at + submit.time_left,
        )
        if ticket.deadline <= self.clock():
            return self.refuse(submit, messages.Refusal.EXPIRED)
        if not within_bound or self.server_rate.time_until_free_s():
            return self.refuse(submit, messages.Refusal.BUSY, bound=bound)
        if not self.scheduler.try_enqueue(ticket):
            return self.refuse(submit, messages.Refusal.FULL, bound=bound)
        self.server_rate.spend()
        self._log_decision(submit, 'admitted', bound)
        return Admitted(ticket)

    def refuse(
        self,
        submit: messages.Submit,
        reason: messages.Refusal,
        *,
        bound: float = math.inf,
        detail: str = '',
    ) -> messages.Refused:
        """Build the refusal of an attempt, with loads for its next hop."""
        retry_after = BUSY_RETRY_AFTER_S
        if reason == messages.Refusal.FULL:
            retry_after = self.scheduler.retry_after
        self._log_decision(submit, str(reason), bound)
        return messages.Refused(
            submit.attempt,
            str(reason),
            detail,
            retry_after,
            self.scheduler.load,
            float(self.table.average_load),
            self.table.choose_alternatives(MAX_ALTERNATIVES),
        )

    def _max_wait_s(self, submit: messages.Submit, holder: str) -> float:
        """Return how long an attempt may wait for the bound, in seconds.

        The last hop of an attempt waits, as other requests of the same burst
        raise the mean, and so the bound, step by step.  A chat that is cached
        here waits briefly.
        """
        if submit.last_hop or submit.hop + 1 >= self.table.server_count:
            return min(MAX_LAST_HOP_WAIT_S, submit.time_left / 2)
        if holder == self.table.own.vm:
            return min(MAX_CACHE_HOLDER_WAIT_S, submit.time_left / 2)
        return 0.0

    async def _wait_for_rate(self, max_wait_s: float) -> None:
        """Wait until the server takes one more request, or not at all."""
        deadline = self.clock() + max_wait_s
        while wait_s := self.server_rate.time_until_free_s():
            if self.clock() + wait_s > deadline:
                return
            await asyncio.sleep(wait_s)

    async def _wait_for_bound(self, bound: float, max_wait_s: float) -> bool:
        """Poll the pool's loads until the bound admits one more request.

        Return False when that did not happen within ``max_wait_s``.
        """
        deadline = self.clock() + max_wait_s
        poll_interval_s = MIN_POLL_INTERVAL_S
        while not self._is_within_bound(bound):
            await self.refresh_loads()
            if self._is_within_bound(bound):
                return True
            if self.clock() >= deadline:
                return False
            await asyncio.sleep(poll_interval_s)
            poll_interval_s = min(2 * poll_interval_s, MAX_POLL_INTERVAL_S)
        return True

    def _is_within_bound(self, bound: float) -> bool:
        """Return whether one more request stays within the load bound.

        A full server is within it: a request that is still queued there
        displaces another one, so the load does not rise.
        """
        if not self.scheduler.has_capacity():
            return True
        limit = self.table.conservative_load_limit(
            bound, self.scheduler.mean_service_time_s
        )
        return self.scheduler.load + 1 <= limit

    async def _find_cache_holder(
        self, submit: messages.Submit, pool: bundle.Pool
    ) -> str:
        """Return the VM that caches the chat; empty if not known.

        Only the directory policy routes chats by their cache.
        """
        match pool.policy:
            case bundle.DirectoryPolicy() if submit.chat:
                return await self.find_cache_holder(submit, pool)
            case _:
                return ''

    def _should_redirect(
        self, submit: messages.Submit, holder: str, bound: float
    ) -> bool:
        """Return whether to redirect the chat to its cache holder.

        The holder needs room within its bound, and an attempt is redirected
        only once and not on its last hop.
        """
        if holder in ('', self.table.own.vm):
            return False
        if submit.redirected or submit.last_hop:
            return False
        load = self.table.find_load(holder)
        if load is None:
            return False
        return load.load + 1 <= self.table.load_limit(bound)

    def _log_decision(
        self, submit: messages.Submit, choice: str, bound: float
    ) -> None:
        """Log one admission decision."""
        limit = 0 if bound == math.inf else self.table.load_limit(bound)
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
            self.table.average_load,
            choice,
        )
