"""Give the sidecar's engine its orders: model versions and role.

Orders come only from the engine's own sidecar.  They carry a fencing
number, the offset of the record that the sidecar appended at its start; an
engine that checks it refuses the orders of an older sidecar.  For an
engine that does not, the sidecar reads the log to its end immediately
before each order and stays silent once a newer sidecar of its VM has
started.  What is left is a pause between that read and the sending of the
order, which only a checking engine can catch.

A new model version is loaded in turns.  Claims of a turn queue in log
order; the oldest ``max_unavailable`` open ones of a pool may act.  A turn
ends when its sidecar says so, when a newer sidecar of the VM starts, when
the VM has been off the VM list for a while, or when the log drops its
claim.  A sidecar that is frozen but listed keeps its turn, and so does one
whose engine does not answer after an order: the other engines then go on
with the version that they have.
"""

import asyncio
from collections.abc import Callable
import time
import typing

from absl import logging
import numpy as np

from arbutusvale import errors
from arbutusvale.coordination import order_stream
from arbutusvale.protocol import bundle
from arbutusvale.protocol import order_records
from arbutusvale.protocol import ports
from arbutusvale.state import bundle_chain
from arbutusvale.state import order_state

POLL_WAIT_S = 2.5
RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0
CLAIM_AGAIN_S = 10.0
GONE_S = 30.0
REPORT_LAG_S = 30.0
MAX_TRIES = 3
REST_S = 60.0
LOAD_MODEL = 'load_model'
SET_ROLE = 'set_role'
NO_MODEL = bundle.Model(name='', version='')


class Pause(typing.Protocol):
    """Take the engine out of service while it carries out an order."""

    async def begin(self) -> None:
        """Refuse new work and wait until the engine is idle."""

    def end(self) -> None:
        """Take new work again."""


class EngineController:
    """Keep one engine at the model versions and role that the bundle wants.

    ``get_head`` returns the bundle in force, ``list_vms`` the names on
    the VM list.
    """

    def __init__(
        self,
        *,
        vm: str,
        pool: str,
        log: ports.LogService,
        weights: ports.WeightStore,
        engine: ports.Engine,
        get_head: Callable[[], bundle_chain.ActiveBundle | None],
        list_vms: Callable[[], set[str]],
        pause: Pause,
        generator: np.random.Generator | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.vm = vm
        self.pool = pool
        self.log = order_stream.OrderStream(log, vm, clock)
        self.weights = weights
        self.engine = engine
        self.get_head = get_head
        self.list_vms = list_vms
        self.pause = pause
        self.generator = generator or np.random.default_rng()
        self.clock = clock
        self.refused = False
        self.claimed_at = -float('inf')
        self.rest_until = -float('inf')
        self.tries = 0
        self.role = ''
        self.loaded: dict[str, tuple[str, float]] = {}
        self.missing_since: dict[str, float] = {}

    @property
    def stopped(self) -> bool:
        """Tell whether another sidecar gives the orders now."""
        return self.refused or self.log.superseded

    async def run(self) -> None:
        """Keep the engine as the bundle wants it, until cancelled."""
        await self._retry(self.log.take_number)
        while not self.stopped:
            await self._retry(self.step)
        logging.warning(
            'event=orders-stopped vm=%s refused=%s hole=%s remedy="%s"',
            self.vm,
            self.refused,
            self.log.has_hole,
            'nothing, if a newer sidecar runs on this VM; else restart it',
        )

    async def step(self) -> None:
        """Follow the stream for a while and do what is due."""
        await self.log.read(POLL_WAIT_S)
        head = self.get_head()
        pool = head.bundle.pools.get(self.pool) if head else None
        if pool is None or self.stopped or self.clock() < self.rest_until:
            return
        await self._keep_role(pool)
        if not self.stopped:
            await self._keep_models(pool)

    async def _keep_role(self, pool: bundle.Pool) -> None:
        """Order the role that the bundle names, if it names one."""
        if not pool.role or pool.role == self.role:
            return
        if not pool.checks_fencing and not await self.log.is_newest():
            return
        if await self._give(SET_ROLE, NO_MODEL, pool):
            self.role = pool.role

    async def _keep_models(self, pool: bundle.Pool) -> None:
        """Load a version that the engine lacks, when it has its turn."""
        try:
            report = await self.engine.read_load()
        except (errors.ServerResponseError, errors.ServerUnreachable):
            return
        missing = self._find_missing(pool, report)
        turn = self._find_own_turn()
        if missing is None:
            if turn is not None:
                await self._end_own_turn()
        elif turn is None:
            await self._claim_turn()
        elif turn in self._list_holders(pool):
            await self._load(missing, pool)
        else:
            await self._end_turns_of_gone(turn, pool)

    def _find_missing(
        self, pool: bundle.Pool, report: ports.EngineLoad
    ) -> bundle.Model | None:
        """Find a wanted model version that the engine does not have."""
        for model in pool.models:
            if not self._has(model, report):
                return model
        return None

    def _has(self, model: bundle.Model, report: ports.EngineLoad) -> bool:
        """Tell whether the engine has the model.

        Its report is late and names one model, so a recent order counts
        more, and an order for another model than the reported one stands.
        """
        version, at = self.loaded.get(model.name, ('', -float('inf')))
        if report.model == model.name:
            if self.clock() - at > REPORT_LAG_S:
                return report.version == model.version
            return model.version in (version, report.version)
        return version == model.version

    def _find_own_turn(self) -> order_state.Turn | None:
        """Return this sidecar's open claim of a turn."""
        return self.log.book.find_turn(self.vm, self.log.fence)

    def _list_holders(self, pool: bundle.Pool) -> list[order_state.Turn]:
        """List the turns of the pool that may act now."""
        return self.log.book.list_holders(self.pool, pool.max_unavailable)

    async def _claim_turn(self) -> None:
        """Queue for a turn; a claim that is not seen is repeated later."""
        if self.clock() - self.claimed_at < CLAIM_AGAIN_S:
            return
        self.claimed_at = self.clock()
        await self.log.append(
            order_records.TurnClaim(self.vm, self.log.fence, self.pool)
        )

    async def _end_own_turn(self) -> None:
        """End this sidecar's turn."""
        await self._end_turn(self.vm, self.log.fence)
        self.claimed_at = -float('inf')

    async def _end_turn(self, vm: str, fence: int) -> None:
        """Append the end of a turn and read it back."""
        await self.log.append(order_records.TurnRelease(vm, fence, self.pool))
        await self.log.read(0.0)

    async def _end_turns_of_gone(
        self, own: order_state.Turn, pool: bundle.Pool
    ) -> None:
        """End the turns of VMs that have been off the list for a while.

        The next in line does so first, the others later by their place.
        """
        holders = self._list_holders(pool)
        listed = self.list_vms()
        now = self.clock()
        gone = [turn for turn in holders if turn.vm not in listed]
        self.missing_since = {
            turn.vm: self.missing_since.get(turn.vm, now) for turn in gone
        }
        queue = self.log.book.list_open(self.pool)
        patience = GONE_S * (1 + queue.index(own) - len(holders))
        for turn in gone:
            if now - self.missing_since[turn.vm] > patience:
                logging.info('event=turn-of-gone-vm vm=%s', turn.vm)
                await self._end_turn(turn.vm, turn.fence)

    async def _load(self, model: bundle.Model, pool: bundle.Pool) -> None:
        """Load one model version in this sidecar's turn."""
        await self._fetch_weights(model)
        await self.pause.begin()
        try:
            if not await self._still_holds_turn(pool):
                return
            done = await self._give(LOAD_MODEL, model, pool)
        finally:
            self.pause.end()
        if self.stopped or not await self.engine.healthy():
            return
        if done:
            self.loaded[model.name] = (model.version, self.clock())
            self.tries = 0
            await self._end_own_turn()
            return
        await self._count_failure()

    async def _count_failure(self) -> None:
        """Try again a few times within the turn, then let others go."""
        self.tries += 1
        if self.tries < MAX_TRIES:
            return
        self.tries = 0
        self.rest_until = self.clock() + REST_S
        await self._end_own_turn()

    async def _fetch_weights(self, model: bundle.Model) -> None:
        """Ask the weight store until it grants the weights."""
        while True:
            wait = await self.weights.request_weights(
                model.name, model.version
            )
            if wait <= 0:
                return
            logging.info(
                'event=weights-wait model=%s version=%s seconds=%.1f',
                model.name,
                model.version,
                wait,
            )
            await asyncio.sleep(wait)

    async def _still_holds_turn(self, pool: bundle.Pool) -> bool:
        """Read the log to its end; tell if the turn still stands."""
        if not await self.log.is_newest():
            return False
        return self._find_own_turn() in self._list_holders(pool)

    async def _give(
        self, kind: str, model: bundle.Model, pool: bundle.Pool
    ) -> bool:
        """Give one order; tell whether the engine carried it out."""
        order = ports.EngineCommand(
            kind=kind,
            model=model.name,
            version=model.version,
            role=pool.role,
            fence=self.log.fence,
        )
        try:
            done = await self.engine.send_command(order)
        except (errors.ServerResponseError, errors.ServerUnreachable) as error:
            logging.warning('event=order-failed cause="%s"', error.problem)
            return False
        self.refused = not done
        logging.info(
            'event=order kind=%s model=%s version=%s role=%s fence=%d done=%s',
            kind,
            model.name or '-',
            model.version or '-',
            pool.role or '-',
            self.log.fence,
            done,
        )
        return done

    async def _retry(self, action) -> None:
        """Run ``action`` until the log or the weight store answers it."""
        delay = RETRY_MIN_S
        while True:
            try:
                await action()
                return
            except errors.LogUnavailable as error:
                logging.warning('event=orders-wait cause="%s"', error.problem)
            await asyncio.sleep(delay * self.generator.uniform(0.5, 1.0))
            delay = min(2 * delay, RETRY_MAX_S)
