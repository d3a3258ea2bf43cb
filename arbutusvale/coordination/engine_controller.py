"""Controller of the model versions and the role of a sidecar's engine.

It sends orders, which load a model version or set the role.  Only the
engine's own sidecar does.  An order carries the sidecar's fencing number,
the log offset of the record that the sidecar appended at its start, and an
engine that checks the number refuses the orders of an older sidecar.  For
an engine that does not, the sidecar reads to the end of the log immediately
before each order and sends none once a newer sidecar of its VM has started.
That leaves a race: if the process is paused between the read and the order,
only an engine that checks the number can refuse the order.

A pool loads a new model version as a rolling update.  An engine may be
unavailable only during its turn; claims of turns queue in log order, and
the oldest ``max_unavailable`` open turns of a pool are active.  A turn ends
when its sidecar ends it, when a newer sidecar of the VM starts, when the VM
has been missing from the VM list for a while, or when the log drops the
claim.  A frozen sidecar whose VM is still listed keeps its turn, and so
does one whose engine does not respond after an order: the update stops
there, and the other engines keep the version that they have.
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
CLAIM_RETRY_INTERVAL_S = 10.0
UNLISTED_GRACE_S = 30.0
MAX_REPORT_LAG_S = 30.0
MAX_LOAD_ATTEMPTS = 3
FAILED_LOAD_BACKOFF_S = 60.0
LOAD_MODEL = 'load_model'
SET_ROLE = 'set_role'
EMPTY_MODEL = bundle.Model(name='', version='')


class EnginePause(typing.Protocol):
    """Interface that takes the engine out of service during an order."""

    async def begin(self) -> None:
        """Refuse new requests and wait until the engine is idle."""

    def end(self) -> None:
        """Accept new requests again."""


class EngineController:
    """Control loop that reconciles one engine with the active bundle.

    ``get_head`` returns the active bundle, ``list_vms`` the names on the
    VM list.  ``last_loads`` has the version and the time of the last load
    order by model name; ``unlisted_since`` has the times since when VMs
    with active turns have been missing from the VM list.
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
        pause: EnginePause,
        generator: np.random.Generator | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.vm = vm
        self.pool = pool
        self.stream = order_stream.OrderStream(log, vm, clock)
        self.weights = weights
        self.engine = engine
        self.get_head = get_head
        self.list_vms = list_vms
        self.pause = pause
        self.generator = generator or np.random.default_rng()
        self.clock = clock
        self.order_refused = False
        self.claimed_at = -float('inf')
        self.backoff_until = -float('inf')
        self.failed_loads = 0
        self.ordered_role = ''
        self.last_loads: dict[str, tuple[str, float]] = {}
        self.unlisted_since: dict[str, float] = {}

    @property
    def is_stopped(self) -> bool:
        """Whether this sidecar must not send orders any longer."""
        return self.order_refused or self.stream.is_superseded

    async def run(self) -> None:
        """Reconcile the engine until superseded or cancelled."""
        await self._retry_until_available(self.stream.acquire_fence)
        while not self.is_stopped:
            await self._retry_until_available(self.reconcile)
        logging.warning(
            'event=orders-stopped vm=%s refused=%s hole=%s remedy="%s"',
            self.vm,
            self.order_refused,
            self.stream.missed_records,
            'nothing, if a newer sidecar runs on this VM; else restart it',
        )

    async def reconcile(self) -> None:
        """Poll the stream once and bring the engine closer to the bundle."""
        await self.stream.read_to_head(POLL_WAIT_S)
        head = self.get_head()
        pool = head.bundle.pools.get(self.pool) if head else None
        if (
            pool is None
            or self.is_stopped
            or self.clock() < self.backoff_until
        ):
            return
        await self._reconcile_role(pool)
        if not self.is_stopped:
            await self._reconcile_models(pool)

    async def _reconcile_role(self, pool: bundle.Pool) -> None:
        """Order the role that the bundle specifies, if any."""
        if not pool.role or pool.role == self.ordered_role:
            return
        if not pool.checks_fencing and not await self.stream.is_newest():
            return
        if await self._send_order(SET_ROLE, EMPTY_MODEL, pool):
            self.ordered_role = pool.role

    async def _reconcile_models(self, pool: bundle.Pool) -> None:
        """Load a missing model version, claiming a turn for it first."""
        try:
            report = await self.engine.read_load()
        except (errors.ServerResponseError, errors.ServerUnreachable):
            return
        missing = self._find_missing_model(pool, report)
        turn = self._find_own_turn()
        if missing is None:
            if turn is not None:
                await self._end_own_turn()
        elif turn is None:
            await self._claim_turn()
        elif turn in self._list_active_turns(pool):
            await self._load_model(missing, pool)
        else:
            await self._end_turns_of_unlisted_vms(turn, pool)

    def _find_missing_model(
        self, pool: bundle.Pool, report: ports.EngineLoad
    ) -> bundle.Model | None:
        """Return the first specified model that the engine does not have."""
        for model in pool.models:
            if not self._has_model(model, report):
                return model
        return None

    def _has_model(
        self, model: bundle.Model, report: ports.EngineLoad
    ) -> bool:
        """Return whether the engine has the version of the model.

        The engine's report lags and covers one model only.  So an order of
        the last ``MAX_REPORT_LAG_S`` counts as well, and for a model that
        the report does not cover the last order alone decides.
        """
        version, loaded_at = self.last_loads.get(
            model.name, ('', -float('inf'))
        )
        if report.model == model.name:
            if self.clock() - loaded_at > MAX_REPORT_LAG_S:
                return report.version == model.version
            return model.version in (version, report.version)
        return version == model.version

    def _find_own_turn(self) -> order_state.Turn | None:
        """Return this sidecar's open turn, active or queued."""
        return self.stream.state.find_turn(self.vm, self.stream.fence)

    def _list_active_turns(self, pool: bundle.Pool) -> list[order_state.Turn]:
        """List the active turns of the pool."""
        return self.stream.state.list_active_turns(
            self.pool, pool.max_unavailable
        )

    async def _claim_turn(self) -> None:
        """Claim a turn, at most once per ``CLAIM_RETRY_INTERVAL_S``.

        The claim is repeated because its append may have been lost.
        """
        if self.clock() - self.claimed_at < CLAIM_RETRY_INTERVAL_S:
            return
        self.claimed_at = self.clock()
        await self.stream.append(
            order_records.TurnClaim(self.vm, self.stream.fence, self.pool)
        )

    async def _end_own_turn(self) -> None:
        """End this sidecar's turn."""
        await self._end_turn(self.vm, self.stream.fence)
        self.claimed_at = -float('inf')

    async def _end_turn(self, vm: str, fence: int) -> None:
        """Append the end of a turn and read up to it."""
        await self.stream.append(
            order_records.TurnRelease(vm, fence, self.pool)
        )
        await self.stream.read_to_head(0.0)

    async def _end_turns_of_unlisted_vms(
        self, own_turn: order_state.Turn, pool: bundle.Pool
    ) -> None:
        """End active turns of VMs that have been unlisted for a while.

        The sidecar at the head of the queue does so first.  Those behind
        it wait ``UNLISTED_GRACE_S`` longer per position, in case it fails.
        """
        active_turns = self._list_active_turns(pool)
        listed_vms = self.list_vms()
        now = self.clock()
        unlisted_turns = [
            turn for turn in active_turns if turn.vm not in listed_vms
        ]
        self.unlisted_since = {
            turn.vm: self.unlisted_since.get(turn.vm, now)
            for turn in unlisted_turns
        }
        queue = self.stream.state.list_open_turns(self.pool)
        grace_s = UNLISTED_GRACE_S * (
            1 + queue.index(own_turn) - len(active_turns)
        )
        for turn in unlisted_turns:
            if now - self.unlisted_since[turn.vm] > grace_s:
                logging.info('event=turn-of-gone-vm vm=%s', turn.vm)
                await self._end_turn(turn.vm, turn.fence)

    async def _load_model(
        self, model: bundle.Model, pool: bundle.Pool
    ) -> None:
        """Load one model version during this sidecar's turn."""
        await self._fetch_weights(model)
        await self.pause.begin()
        try:
            if not await self._confirm_turn(pool):
                return
            done = await self._send_order(LOAD_MODEL, model, pool)
        finally:
            self.pause.end()
        if self.is_stopped or not await self.engine.healthy():
            return
        if done:
            self.last_loads[model.name] = (model.version, self.clock())
            self.failed_loads = 0
            await self._end_own_turn()
            return
        await self._record_failed_load()

    async def _record_failed_load(self) -> None:
        """Count a failed load; after the last attempt end the turn.

        Backing off lets the other engines of the pool have their turns.
        """
        self.failed_loads += 1
        if self.failed_loads < MAX_LOAD_ATTEMPTS:
            return
        self.failed_loads = 0
        self.backoff_until = self.clock() + FAILED_LOAD_BACKOFF_S
        await self._end_own_turn()

    async def _fetch_weights(self, model: bundle.Model) -> None:
        """Wait until the weight store grants the weights."""
        while True:
            delay_s = await self.weights.request_weights(
                model.name, model.version
            )
            if delay_s <= 0:
                return
            logging.info(
                'event=weights-wait model=%s version=%s seconds=%.1f',
                model.name,
                model.version,
                delay_s,
            )
            await asyncio.sleep(delay_s)

    async def _confirm_turn(self, pool: bundle.Pool) -> bool:
        """Read to the end of the log; return whether the turn is active."""
        if not await self.stream.is_newest():
            return False
        return self._find_own_turn() in self._list_active_turns(pool)

    async def _send_order(
        self, kind: str, model: bundle.Model, pool: bundle.Pool
    ) -> bool:
        """Send one order; return whether the engine carried it out."""
        order = ports.EngineOrder(
            kind=kind,
            model=model.name,
            version=model.version,
            role=pool.role,
            fence=self.stream.fence,
        )
        try:
            done = await self.engine.send_order(order)
        except (errors.ServerResponseError, errors.ServerUnreachable) as error:
            logging.warning('event=order-failed cause="%s"', error.problem)
            return False
        self.order_refused = not done
        logging.info(
            'event=order kind=%s model=%s version=%s role=%s fence=%d done=%s',
            kind,
            model.name or '-',
            model.version or '-',
            pool.role or '-',
            self.stream.fence,
            done,
        )
        return done

    async def _retry_until_available(self, action) -> None:
        """Retry ``action`` with backoff while log or store is unavailable."""
        delay = RETRY_MIN_S
        while True:
            try:
                await action()
                return
            except errors.LogUnavailable as error:
                logging.warning('event=orders-wait cause="%s"', error.problem)
            await asyncio.sleep(delay * self.generator.uniform(0.5, 1.0))
            delay = min(2 * delay, RETRY_MAX_S)
