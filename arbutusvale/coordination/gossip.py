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

INTERVAL_S = 1.0
EARLY_INTERVAL_S = 0.2
EARLY_CHANGE = 2
EARLY_SHARE = 0.25
MOST_LOADS = 32
REFRESH_MATES = 8
REFRESH_TIMEOUT_S = 0.1
SPREAD_TIMEOUT_S = 0.2
REFRESH_AGE_S = 0.004
BUDGET_BYTES_PER_S = 3000.0
BUDGET_BURST_BYTES = 9000.0


class Quarantined(typing.Protocol):
    """Hold the fingerprints of requests that crash servers."""

    def export(self) -> list:
        """List the entries to gossip."""

    def merge(self, entries: list) -> None:
        """Take over entries of a mate."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    """Hold an update that waits for its reply."""

    asked_at: float
    answered: asyncio.Future


class Budget:
    """Limit control bytes by a token bucket."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.level = BUDGET_BURST_BYTES
        self.filled_at = clock()

    def spend(self, size: int) -> None:
        """Take bytes out, below zero at need."""
        now = self.clock()
        self.level += (now - self.filled_at) * BUDGET_BYTES_PER_S
        self.level = min(self.level, BUDGET_BURST_BYTES) - size
        self.filled_at = now

    def allows(self, size: int) -> bool:
        """Tell whether ``size`` bytes fit into the budget now."""
        self.spend(0)
        return self.level >= size


class Gossip:
    """Keep a pool table fresh by push-pull exchanges with random mates.

    A reply carries no more loads than its request; a lone load asks for
    just the replier's own.
    """

    def __init__(
        self,
        pool: str,
        table: pooltable.PoolTable,
        known: fleet.Fleet,
        links: ports.Links,
        quarantine: Quarantined,
        random: numpy.random.Generator,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.pool = pool
        self.table = table
        self.fleet = known
        self.links = links
        self.quarantine = quarantine
        self.random = random
        self.clock = clock
        self.budget = Budget(clock)
        self.queries = itertools.count(1)
        self.questions: dict[int, _Question] = {}
        self.moved = asyncio.Event()
        self.sent_load = 0
        self.refreshed_at = -REFRESH_AGE_S
        self.refreshing: asyncio.Task | None = None
        self.spreading: asyncio.Task | None = None

    def follow_fleet(self) -> None:
        """Take the pool's live servers over from the VM list."""
        self.table.set_listed(
            vm.name for vm in self.fleet.list_live(self.pool)
        )

    def own_load_changed(self, load: int) -> None:
        """Note the own load and gossip early when it moved a lot."""
        self.table.set_own(load)
        step = max(EARLY_CHANGE, EARLY_SHARE * self.sent_load)
        if abs(load - self.sent_load) >= step:
            self.moved.set()

    def state_changed(self, state: messages.VmState) -> None:
        """Note whether the server takes new work and tell the mates.

        Else they would go on naming a leaving server to routers.
        """
        self.table.set_own(self.table.own.load, state.value)
        self.spreading = asyncio.create_task(self.spread())

    async def run(self) -> None:
        """Exchange with one random mate at every interval."""
        while True:
            await self.exchange()
            await asyncio.sleep(EARLY_INTERVAL_S)
            remaining = INTERVAL_S - EARLY_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self.moved.wait()

    async def exchange(self) -> None:
        """Send the newest loads to one random mate and merge its own."""
        self.moved.clear()
        mates = self._list_mates()
        if not mates:
            return
        mate = mates[int(self.random.integers(len(mates)))]
        self.table.touch()
        message = self._make_update()
        size = len(codec.encode_frame([message]))
        if not self.budget.allows(size):
            logging.info('event=gossip-deferred mate=%s bytes=%d', mate, size)
            return
        self.sent_load = self.table.own.load
        await self._ask(mate, message, INTERVAL_S)

    async def refresh(self) -> None:
        """Ask a bounded number of mates for their loads, in parallel.

        Callers share a refresh under way; one that has just ended counts.
        """
        if self.clock() - self.refreshed_at < REFRESH_AGE_S:
            return
        if self.refreshing is None or self.refreshing.done():
            self.refreshing = asyncio.create_task(self._refresh())
        await asyncio.shield(self.refreshing)

    async def spread(self) -> None:
        """Send all that a mate may not know to a bounded number of them.

        Returns when they have answered or the timeout has passed.
        """
        message = self._make_update()
        await asyncio.gather(
            *[
                self._ask(
                    mate,
                    dataclasses.replace(message, query_id=next(self.queries)),
                    SPREAD_TIMEOUT_S,
                )
                for mate in self._choose_mates()
            ]
        )

    async def _refresh(self) -> None:
        """Ask each chosen mate for its load."""
        self.table.touch()
        asked = []
        for mate in self._choose_mates():
            message = messages.PoolUpdate(
                next(self.queries), True, [self.table.own], []
            )
            if not self.budget.allows(len(codec.encode_frame([message]))):
                logging.info('event=refresh-deferred mate=%s', mate)
                continue
            asked.append(self._ask(mate, message, REFRESH_TIMEOUT_S))
        await asyncio.gather(*asked)
        self.refreshed_at = self.clock()

    def receive(self, link: ports.Link, update: messages.PoolUpdate) -> None:
        """Merge a mate's update and answer it when asked to."""
        self.budget.spend(len(codec.encode_frame([update])))
        self.quarantine.merge(update.quarantined)
        if update.reply_wanted:
            self.table.merge(update.loads, link.vm)
            self._reply(link, update)
            return
        question = self.questions.get(update.query_id)
        if question is None:
            self.table.merge(update.loads, link.vm)
            return
        age_s = self.clock() - question.asked_at
        self.table.merge(update.loads, link.vm, age_s)
        if not question.answered.done():
            question.answered.set_result(None)

    def _reply(self, link: ports.Link, update: messages.PoolUpdate) -> None:
        """Send back the own load and what the mate does not know."""
        self.table.touch()
        known = {load.vm: load for load in update.loads}
        most = max(1, min(MOST_LOADS, len(update.loads)))
        chosen = self.table.choose_to_pass(most, self.random)
        reply = messages.PoolUpdate(
            update.query_id,
            False,
            [load for load in chosen if load != known.get(load.vm)],
            self.quarantine.export() if len(update.loads) > 1 else [],
        )
        self.budget.spend(len(codec.encode_frame([reply])))
        try:
            link.send(reply)
        except errors.LinkClosed:
            logging.info('event=gossip-reply-lost mate=%s', link.vm)

    async def _ask(
        self, mate: str, message: messages.PoolUpdate, timeout_s: float
    ) -> None:
        """Send one update and wait for its answer, within a bound."""
        self.budget.spend(len(codec.encode_frame([message])))
        answered = asyncio.get_running_loop().create_future()
        self.questions[message.query_id] = _Question(self.clock(), answered)
        try:
            async with asyncio.timeout(timeout_s):
                link = await self.links.get(mate)
                link.send(message)
                await answered
        except (errors.LinkClosed, TimeoutError) as error:
            logging.info(
                'event=gossip-unanswered mate=%s cause="%s"', mate, error
            )
        finally:
            del self.questions[message.query_id]

    def _make_update(self) -> messages.PoolUpdate:
        """Make an update with all that a mate may not know."""
        return messages.PoolUpdate(
            next(self.queries),
            True,
            self.table.choose_to_pass(MOST_LOADS, self.random),
            self.quarantine.export(),
        )

    def _choose_mates(self) -> list[str]:
        """Choose all mates of a small pool, else a few at random."""
        mates = self._list_mates()
        if len(mates) <= REFRESH_MATES:
            return mates
        chosen = self.random.choice(mates, REFRESH_MATES, replace=False)
        return [str(name) for name in chosen]

    def _list_mates(self) -> list[str]:
        """List the pool's live servers but this one."""
        names = [vm.name for vm in self.fleet.list_live(self.pool)]
        return [name for name in names if name != self.table.own.vm]
