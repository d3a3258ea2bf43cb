"""Exchange loads and quarantined fingerprints among a pool's sidecars."""

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
from arbutusvale.state import pooltable

EXCHANGE_INTERVAL_S = 1.0
MIN_EXCHANGE_INTERVAL_S = 0.2
MIN_LOAD_CHANGE = 2
MIN_LOAD_CHANGE_SHARE = 0.25
MAX_LOADS = 32
MAX_FANOUT = 8
REFRESH_TIMEOUT_S = 0.1
PUSH_TIMEOUT_S = 0.2
REFRESH_VALIDITY_S = 0.004
BUDGET_BYTES_PER_S = 3000.0
BUDGET_BURST_BYTES = 9000.0


class QuarantineTable(typing.Protocol):
    """Hold the fingerprints of requests that crash servers."""

    def export(self) -> list:
        """List the entries to gossip."""

    def merge(self, entries: list) -> None:
        """Take over entries of a mate."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingExchange:
    """Hold an update that waits for its reply."""

    sent_at: float
    answered: asyncio.Future


class TokenBucket:
    """Limit control bytes by a token bucket."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.tokens = BUDGET_BURST_BYTES
        self.refilled_at = clock()

    def spend(self, size: int) -> None:
        """Take bytes out, below zero at need."""
        now = self.clock()
        self.tokens += (now - self.refilled_at) * BUDGET_BYTES_PER_S
        self.tokens = min(self.tokens, BUDGET_BURST_BYTES) - size
        self.refilled_at = now

    def can_spend(self, size: int) -> bool:
        """Tell whether ``size`` bytes fit into the budget now."""
        self.spend(0)
        return self.tokens >= size


class Gossip:
    """Keep a pool table fresh by push-pull exchanges with random mates.

    A reply carries no more loads than its request; a lone load asks for
    just the replier's own.
    """

    def __init__(
        self,
        pool: str,
        table: pooltable.PoolTable,
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
        """Take the pool's live servers over from the VM list."""
        self.table.set_listed(
            vm.name for vm in self.fleet.list_live(self.pool)
        )

    def on_load_changed(self, load: int) -> None:
        """Note the own load and gossip early when it moved a lot."""
        self.table.set_own(load)
        min_change = max(
            MIN_LOAD_CHANGE, MIN_LOAD_CHANGE_SHARE * self.last_sent_load
        )
        if abs(load - self.last_sent_load) >= min_change:
            self.load_changed.set()

    def announce_state(self, state: messages.VmState) -> None:
        """Note whether the server takes new work and tell the mates.

        Else they would go on naming a leaving server to routers.
        """
        self.table.set_own(self.table.own.load, state.value)
        self.push_task = asyncio.create_task(self.push_update())

    async def run(self) -> None:
        """Exchange with one random mate at every interval."""
        while True:
            await self.exchange()
            await asyncio.sleep(MIN_EXCHANGE_INTERVAL_S)
            remaining = EXCHANGE_INTERVAL_S - MIN_EXCHANGE_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self.load_changed.wait()

    async def exchange(self) -> None:
        """Send the newest loads to one random mate and merge its own."""
        self.load_changed.clear()
        peers = self._list_peers()
        if not peers:
            return
        peer = peers[int(self.random.integers(len(peers)))]
        self.table.touch()
        message = self._make_update()
        size = len(codec.encode_frame([message]))
        if not self.budget.can_spend(size):
            logging.info('event=gossip-deferred mate=%s bytes=%d', peer, size)
            return
        self.last_sent_load = self.table.own.load
        await self._exchange_with(peer, message, EXCHANGE_INTERVAL_S)

    async def refresh_loads(self) -> None:
        """Ask a bounded number of mates for their loads, in parallel.

        Callers share a refresh under way; one that has just ended counts.
        """
        if self.clock() - self.refreshed_at < REFRESH_VALIDITY_S:
            return
        if self.refresh_task is None or self.refresh_task.done():
            self.refresh_task = asyncio.create_task(self._refresh_from_peers())
        await asyncio.shield(self.refresh_task)

    async def push_update(self) -> None:
        """Send all that a mate may not know to a bounded number of them.

        Returns when they have answered or the timeout has passed.
        """
        message = self._make_update()
        await asyncio.gather(
            *[
                self._exchange_with(
                    peer,
                    dataclasses.replace(message, query=next(self.query_ids)),
                    PUSH_TIMEOUT_S,
                )
                for peer in self._choose_peers()
            ]
        )

    async def _refresh_from_peers(self) -> None:
        """Ask each chosen mate for its load."""
        self.table.touch()
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
        """Merge a mate's update and answer it when asked to."""
        self.budget.spend(len(codec.encode_frame([update])))
        self.quarantine.merge(update.quarantined)
        if update.reply_wanted:
            self.table.merge(update.loads, link.vm)
            self._reply(link, update)
            return
        pending_exchange = self.pending_exchanges.get(update.query)
        if pending_exchange is None:
            self.table.merge(update.loads, link.vm)
            return
        age_s = self.clock() - pending_exchange.sent_at
        self.table.merge(update.loads, link.vm, age_s)
        if not pending_exchange.answered.done():
            pending_exchange.answered.set_result(None)

    def _reply(self, link: ports.Link, update: messages.PoolUpdate) -> None:
        """Send back the own load and what the mate does not know."""
        self.table.touch()
        peer_loads = {load.vm: load for load in update.loads}
        max_loads = max(1, min(MAX_LOADS, len(update.loads)))
        chosen = self.table.choose_to_pass(max_loads, self.random)
        reply = messages.PoolUpdate(
            update.query,
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
        """Send one update and wait for its answer, within a bound."""
        self.budget.spend(len(codec.encode_frame([message])))
        answered = asyncio.get_running_loop().create_future()
        self.pending_exchanges[message.query] = _PendingExchange(
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
            del self.pending_exchanges[message.query]

    def _make_update(self) -> messages.PoolUpdate:
        """Make an update with all that a mate may not know."""
        return messages.PoolUpdate(
            next(self.query_ids),
            True,
            self.table.choose_to_pass(MAX_LOADS, self.random),
            self.quarantine.export(),
        )

    def _choose_peers(self) -> list[str]:
        """Choose all mates of a small pool, else a few at random."""
        peers = self._list_peers()
        if len(peers) <= MAX_FANOUT:
            return peers
        chosen = self.random.choice(peers, MAX_FANOUT, replace=False)
        return [str(name) for name in chosen]

    def _list_peers(self) -> list[str]:
        """List the pool's live servers but this one."""
        names = [vm.name for vm in self.fleet.list_live(self.pool)]
        return [name for name in names if name != self.table.own.vm]
