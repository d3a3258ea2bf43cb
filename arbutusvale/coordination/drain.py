"""Stop taking new work and let what runs come to its end."""

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

POLL_S = 0.02
LINGER_S = 2.0
LEAVE_CACHES_S = 5.0
GRACE_FOR_CACHES_SHARE = 0.5
SHUTDOWN = 'shutdown'
LISTED_LEAVING = 'vm-list'


class DrainController:
    """Know whether the server leaves, and empty it.

    Several reasons may hold at once.  That of the VM list may pass again;
    a shutdown never does.  A drained sidecar goes on refusing until it has
    been leaving for ``linger_s``, so that routers learn of it by refusals,
    which cost them no retry, and not by failing connections.
    """

    def __init__(
        self,
        vm: str,
        known: fleet.Fleet,
        gossip: gossip.Gossip,
        scheduler: slots.SlotScheduler,
        run_table: runs.RunTable,
        chat_handover: handover.ChatHandover,
        clock: Callable[[], float] = time.monotonic,
        linger_s: float = LINGER_S,
    ):
        self.vm = vm
        self.fleet = known
        self.gossip = gossip
        self.scheduler = scheduler
        self.run_table = run_table
        self.chat_handover = chat_handover
        self.clock = clock
        self.linger_s = linger_s
        self.left_at = 0.0
        self.reasons: set[str] = set()
        self.handing_over: asyncio.Task | None = None

    @property
    def leaving(self) -> bool:
        """Tell whether new work is refused."""
        return bool(self.reasons)

    def on_vm_list_changed(self) -> None:
        """Leave or stay as the VM list says."""
        listed = self.fleet.find(self.vm)
        if listed is None:
            return
        if listed.state == messages.VmState.LEAVING:
            self.start_leaving(LISTED_LEAVING, LEAVE_CACHES_S)
        else:
            self.stop_leaving(LISTED_LEAVING)

    def start_leaving(self, reason: str, caches_s: float) -> None:
        """Refuse new work from now on and hand the directory over."""
        if reason in self.reasons:
            return
        first = not self.reasons
        self.reasons.add(reason)
        logging.info('event=leaving reason=%s', reason)
        self.gossip.announce_state(messages.VmState.LEAVING)
        if first:
            self.left_at = self.clock()
            deadline = self.clock() + caches_s
            self.handing_over = asyncio.create_task(
                self.chat_handover.run(deadline)
            )

    def stop_leaving(self, reason: str) -> None:
        """Take new work again when no other reason to leave holds."""
        if reason not in self.reasons:
            return
        self.reasons.discard(reason)
        logging.info('event=staying reason=%s', reason)
        if not self.reasons:
            self.gossip.announce_state(messages.VmState.LIVE)

    async def drain(self, grace_s: float) -> list[str]:
        """Leave, wait for all work to end; return what was cut.

        The result names the attempts that were not over within
        ``grace_s``; it is empty after a clean drain.
        """
        deadline = self.clock() + grace_s
        self.start_leaving(SHUTDOWN, grace_s * GRACE_FOR_CACHES_SHARE)
        await self.wait_until_idle(deadline)
        cut = self._list_unfinished()
        if self.handing_over is not None:
            time_left = max(0.0, deadline - self.clock())
            await asyncio.wait([self.handing_over], timeout=time_left)
        lingering_until = min(deadline, self.left_at + self.linger_s)
        await asyncio.sleep(max(0.0, lingering_until - self.clock()))
        logging.info('event=drained cut=%d', len(cut))
        for attempt in cut:
            logging.warning('event=attempt-cut attempt=%s', attempt)
        return cut

    async def wait_until_idle(self, deadline: float) -> None:
        """Wait until no work is left, at most until ``deadline``."""
        while True:
            if not self._is_busy() or self.clock() >= deadline:
                return
            await asyncio.sleep(POLL_S)

    def _is_busy(self) -> bool:
        """Tell whether work runs, waits or has answers to send."""
        return self.scheduler.load > 0 or bool(self._list_unfinished())

    def _list_unfinished(self) -> list[str]:
        """List the attempts whose answer was not sent to its end."""
        return [
            attempt
            for attempt, run in self.run_table.runs.items()
            if not run.subscribers[attempt].end_sent
        ]
