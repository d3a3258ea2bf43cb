"""Gossip of loads and quarantined fingerprints among a pool's sidecars.

Peers are the other sidecars of the pool; log lines call one ``mate``.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import time
import typing

from absl import logging
import numpy

from arbutusvale import errors
from arbutusvale.protocol import codec
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import fleet
from arbutusvale.state import pool_load_table

EXCHANGE_INTERVAL_S = 1.0
# The next exchange is brought forward when the own load has changed by at
# least so many requests and by this share of the load that was sent last.
MIN_EXCHANGE_INTERVAL_S = 0.2
MIN_LOAD_CHANGE = 2
MIN_LOAD_CHANGE_SHARE = 0.25
# Loads in one message, and peers reached by one refresh or push.
MAX_LOADS = 32
MAX_FANOUT = 8
REFRESH_TIMEOUT_S = 0.1
PUSH_TIMEOUT_S = 0.2
REFRESH_VALIDITY_S = 0.004
BUDGET_BYTES_PER_S = 3000.0
BUDGET_BURST_BYTES = 9000.0


class QuarantineTable(typing.Protocol):
    """Quarantine of fingerprints of requests that crash servers."""

    def export(self) -> list:
        """List the entries to gossip."""

    def merge(self, entries: list) -> None:
        """Add the entries of a peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingExchange:
    """An update that was sent and awaits its reply."""

    sent_at: float
    answered: asyncio.Future


class TokenBucket:
    """Token bucket for the bytes of gossip messages."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.tokens = BUDGET_BURST_BYTES
        self.refilled_at = clock()

    def spend(self, size: int) -> None:
        """Refill the bucket, then spend ``size``, below zero if needed."""
        now = self.clock()
        self.tokens += (now - self.refilled_at) * BUDGET_BYTES_PER_S
        self.tokens = min(self.tokens, BUDGET_BURST_BYTES) - size
        self.refilled_at = now

    def can_spend(self, size: int) -> bool:
        """Return whether ``size`` bytes may be sent now."""
        self.spend(0)
        return self.tokens >= size


class Gossip:
    """Push-pull gossip that keeps a pool table up to date.

    A reply carries at most as many loads as its request, so a request with
    only the sender's load asks for the load of the peer alone.
    """

    def __init__(
        self,
        pool: str,
        table: pool_load_table.PoolLoadTable,
        vm_fleet: fleet.Fleet,
        links: ports.Links,
        quarantine: QuarantineTable,
        random: numpy.random.Generator,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.pool = pool
        self.table = table
        self.fleet = vm_fleet
        self.links = links
        self.quarantine = quarantine
        self.random = random
        self.clock = clock
        self.budget = TokenBucket(clock)
        self.query_ids = itertools.count(1)
        self.pending_exchanges: dict[int, _PendingExchange] = {}
        self.load_changed = asyncio.Event()
        self.last_sent_load = 0
        self.refreshed_at = -REFRESH_VALIDITY_S
        self.refresh_task: asyncio.Task | None = None
        self.push_task: asyncio.Task | None = None

    def on_vm_list_changed(self) -> None:
        """Update the pool table with the pool's live VMs."""
        self.table.update_members(
            vm.name for vm in self.fleet.list_live(self.pool)
        )

    def on_load_changed(self, load: int) -> None:
        """Record the own load; bring the next exchange forward if needed."""
        self.table.set_own_load(load)
        min_change = max(
            MIN_LOAD_CHANGE, MIN_LOAD_CHANGE_SHARE * self.last_sent_load
        )
        if abs(load - self.last_sent_load) >= min_change:
            self.load_changed.set()

    def announce_state(self, state: messages.VmState) -> None:
        """Record the own state and push it to peers at once.

        Peers would otherwise go on naming a leaving server to routers as an
        alternative.
        """
        self.table.set_own_load(self.table.own.load, state.value)
        self.push_task = asyncio.create_task(self.push_update())

    async def run(self) -> None:
        """Exchange loads with one random peer at every interval."""
        while True:
            await self.exchange()
            await asyncio.sleep(MIN_EXCHANGE_INTERVAL_S)
            remaining = EXCHANGE_INTERVAL_S - MIN_EXCHANGE_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self.load_changed.wait()

    async def exchange(self) -> None:
        """Exchange the newest loads with one random peer.

        The exchange is skipped when it does not fit into the byte budget.
        """
        self.load_changed.clear()
        peers = self._list_peers()
        if not peers:
            return
        peer = peers[int(self.random.integers(len(peers)))]
        self.table.bump_version()
        message = self._make_update()
        size = len(codec.encode_frame([message]))
        if not self.budget.can_spend(size):
            logging.info('event=gossip-deferred mate=%s bytes=%d', peer, size)
            return
        self.last_sent_load = self.table.own.load
        await self._exchange_with(peer, message, EXCHANGE_INTERVAL_S)

    async def refresh_loads(self) -> None:
        """Fetch the loads of a bounded number of peers, in parallel.

        Concurrent callers share one refresh; one that ended less than
        ``REFRESH_VALIDITY_S`` ago is not repeated.
        """
        if self.clock() - self.refreshed_at < REFRESH_VALIDITY_S:
            return
        if self.refresh_task is None or self.refresh_task.done():
            self.refresh_task = asyncio.create_task(self._refresh_from_peers())
        await asyncio.shield(self.refresh_task)

    async def push_update(self) -> None:
        """Send the newest loads and the quarantine to some peers.

        Return when each has answered or ``PUSH_TIMEOUT_S`` has passed.
        """
        message = self._make_update()
        await asyncio.gather(
            *[
                self._exchange_with(
                    peer,
                    dataclasses.replace(
                        message, query_id=next(self.query_ids)
                    ),
                    PUSH_TIMEOUT_S,
                )
                for peer in self._choose_peers()
            ]
        )

    async def _refresh_from_peers(self) -> None:
        """Fetch the load of each chosen peer, within the byte budget."""
        self.table.bump_version()
        exchanges = []
        for peer in self._choose_peers():
            message = messages.PoolUpdate(
                next(self.query_ids), True, [self.table.own], []
            )
            if not self.budget.can_spend(len(codec.encode_frame([message]))):
                logging.info('event=refresh-deferred mate=%s', peer)
                continue
            exchanges.append(
                self._exchange_with(peer, message, REFRESH_TIMEOUT_S)
            )
        await asyncio.gather(*exchanges)
        self.refreshed_at = self.clock()

    def receive(self, link: ports.Link, update: messages.PoolUpdate) -> None:
        """Merge a peer's update, and reply to it if it wants a reply.

        The peer's own load in a reply counts as old as the request, since
        the peer may have read it at any time after that was sent.
        """
        self.budget.spend(len(codec.encode_frame([update])))
        self.quarantine.merge(update.quarantined)
        if update.reply_wanted:
            self.table.merge(update.loads, link.vm)
            self._reply(link, update)
            return
        pending_exchange = self.pending_exchanges.get(update.query_id)
        if pending_exchange is None:
            self.table.merge(update.loads, link.vm)
            return
        age_s = self.clock() - pending_exchange.sent_at
        self.table.merge(update.loads, link.vm, age_s)
        if not pending_exchange.answered.done():
            pending_exchange.answered.set_result(None)

    def _reply(self, link: ports.Link, update: messages.PoolUpdate) -> None:
        """Send back the own load and loads that the peer did not send."""
        self.table.bump_version()
        peer_loads = {load.vm: load for load in update.loads}
        max_loads = max(1, min(MAX_LOADS, len(update.loads)))
        chosen = self.table.select_gossip_loads(max_loads, self.random)
        reply = messages.PoolUpdate(
            update.query_id,
            False,
            [load for load in chosen if load != peer_loads.get(load.vm)],
            self.quarantine.export() if len(update.loads) > 1 else [],
        )
        self.budget.spend(len(codec.encode_frame([reply])))
        try:
            link.send(reply)
        except errors.LinkClosed:
            logging.info('event=gossip-reply-lost mate=%s', link.vm)

    async def _exchange_with(
        self, peer: str, message: messages.PoolUpdate, timeout_s: float
    ) -> None:
        """Send one update and wait up to ``timeout_s`` for its reply."""
        self.budget.spend(len(codec.encode_frame([message])))
        answered = asyncio.get_running_loop().create_future()
        self.pending_exchanges[message.query_id] = _PendingExchange(
            self.clock(), answered
        )
        try:
            async with asyncio.timeout(timeout_s):
                link = await self.links.get(peer)
                link.send(message)
                await answered
        except (errors.LinkClosed, TimeoutError) as error:
            logging.info(
                'event=gossip-unanswered mate=%s cause="%s"', peer, error
            )
        finally:
            del self.pending_exchanges[message.query_id]

    def _make_update(self) -> messages.PoolUpdate:
        """Return an update with the newest loads and the quarantine."""
        return messages.PoolUpdate(
            next(self.query_ids),
            True,
            self.table.select_gossip_loads(MAX_LOADS, self.random),
            self.quarantine.export(),
        )

    def _choose_peers(self) -> list[str]:
        """Return all peers of a small pool, else ``MAX_FANOUT`` at random."""
        peers = self._list_peers()
        if len(peers) <= MAX_FANOUT:
            return peers
        chosen = self.random.choice(peers, MAX_FANOUT, replace=False)
        return [str(name) for name in chosen]

    def _list_peers(self) -> list[str]:
        """List the pool's live VMs except this one."""
        names = [vm.name for vm in self.fleet.list_live(self.pool)]
        return [name for name in names if name != self.table.own.vm]
