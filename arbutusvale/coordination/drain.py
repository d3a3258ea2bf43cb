"""Draining of a sidecar: refuse new work and let running work end."""

import asyncio
from collections.abc import Callable
import time

from absl import logging

from arbutusvale.coordination import gossip
from arbutusvale.coordination import handover
from arbutusvale.coordination import runs
from arbutusvale.coordination import slots
from arbutusvale.protocol import messages
from arbutusvale.state import fleet

POLL_INTERVAL_S = 0.02
# How long a drained sidecar goes on refusing attempts before it stops.
LINGER_S = 2.0
CACHE_TRANSFER_TIMEOUT_S = 5.0
# Share of the grace period of a shutdown.
CACHE_TRANSFER_GRACE_SHARE = 0.5
SHUTDOWN_REASON = 'shutdown'
VM_LIST_REASON = 'vm-list'


class DrainController:
    """Drain state of a sidecar, and the steps of draining it.

    A sidecar is leaving while at least one reason to leave is set.  The VM
    list and others may withdraw their reason; a shutdown is final.  A
    drained sidecar goes on refusing until it has been leaving for
    ``linger_s``: routers then learn of it from refusals, which cost them
    no retry, and not from failing connections.
    """

    def __init__(
        self,
        vm: str,
        vm_fleet: fleet.Fleet,
        gossip: gossip.Gossip,
        scheduler: slots.SlotScheduler,
        run_table: runs.RunTable,
        chat_handover: handover.ChatHandover,
        clock: Callable[[], float] = time.monotonic,
        linger_s: float = LINGER_S,
    ):
        self.vm = vm
        self.fleet = vm_fleet
        self.gossip = gossip
        self.scheduler = scheduler
        self.run_table = run_table
        self.chat_handover = chat_handover
        self.clock = clock
        self.linger_s = linger_s
        self.leaving_since = 0.0
        self.reasons: set[str] = set()
        self.handover_task: asyncio.Task | None = None

    @property
    def leaving(self) -> bool:
        """Whether new work is refused."""
        return bool(self.reasons)

    def on_vm_list_changed(self) -> None:
        """Start or stop leaving by this VM's state in the VM list."""
        listed_vm = self.fleet.find(self.vm)
        if listed_vm is None:
            return
        if listed_vm.state == messages.VmState.LEAVING:
            self.start_leaving(VM_LIST_REASON, CACHE_TRANSFER_TIMEOUT_S)
        else:
            self.stop_leaving(VM_LIST_REASON)

    def start_leaving(self, reason: str, cache_transfer_s: float) -> None:
        """Refuse new work from now on, and announce that to the pool.

        The first reason also starts the handover of the directory and of
        caches, those for at most ``cache_transfer_s``.
        """
        if reason in self.reasons:
            return
        is_first_reason = not self.reasons
        self.reasons.add(reason)
        logging.info('event=leaving reason=%s', reason)
        self.gossip.announce_state(messages.VmState.LEAVING)
        if is_first_reason:
            self.leaving_since = self.clock()
            deadline = self.clock() + cache_transfer_s
            self.handover_task = asyncio.create_task(
                self.chat_handover.run(deadline)
            )

    def stop_leaving(self, reason: str) -> None:
        """Withdraw a reason; admit new work again when none is left."""
        if reason not in self.reasons:
            return
        self.reasons.discard(reason)
        logging.info('event=staying reason=%s', reason)
        if not self.reasons:
            self.gossip.announce_state(messages.VmState.LIVE)

    async def drain(self, grace_s: float) -> list[str]:
        """Refuse new work and wait up to ``grace_s`` for the rest to end.

        Return the attempts that had not ended by then; empty after a clean
        drain.
        """
        deadline = self.clock() + grace_s
        self.start_leaving(
            SHUTDOWN_REASON, grace_s * CACHE_TRANSFER_GRACE_SHARE
        )
        await self.wait_until_idle(deadline)
        cut = self._list_unfinished_attempts()
        if self.handover_task is not None:
            time_left = max(0.0, deadline - self.clock())
            await asyncio.wait([self.handover_task], timeout=time_left)
        linger_deadline = min(deadline, self.leaving_since + self.linger_s)
        await asyncio.sleep(max(0.0, linger_deadline - self.clock()))
        logging.info('event=drained cut=%d', len(cut))
        for attempt in cut:
            logging.warning('event=attempt-cut attempt=%s', attempt)
        return cut

    async def wait_until_idle(self, deadline: float) -> None:
        """Wait until no work is left, at most until the time ``deadline``."""
        while True:
            if not self._is_busy() or self.clock() >= deadline:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_busy(self) -> bool:
        """Return whether requests run or wait, or answers are unsent."""
        return self.scheduler.load > 0 or bool(
            self._list_unfinished_attempts()
        )

    def _list_unfinished_attempts(self) -> list[str]:
        """List the attempts whose answer was not sent completely."""
        return [
            attempt
            for attempt, run in self.run_table.runs.items()
            if not run.subscribers[attempt].end_sent
        ]
