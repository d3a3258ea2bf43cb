"""Detection of process freezes, after which known state may be stale."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

CHECK_INTERVAL_S = 0.25
MIN_FREEZE_S = 1.5


def _ignore_gap(gap_s: float) -> None:
    """Ignore a gap."""


class FreezeDetector:
    """Detector of gaps between periodic checks, as after SIGSTOP.

    After a gap ``refresh`` runs once.  A ``clock`` that advances while the
    VM is suspended detects that too.  ``report_gap`` is called with each gap
    in seconds.

    Every request calls :meth:`refresh_if_frozen` itself, as after a freeze it
    may be handled before the periodic check.
    """

    def __init__(
        self,
        refresh: Callable[[], Awaitable[None]],
        clock: Callable[[], float] = time.monotonic,
        report_gap: Callable[[float], None] = _ignore_gap,
    ):
        self.refresh = refresh
        self.report_gap = report_gap
        self.clock = clock
        self.last_checked_at = clock()
        self.refresh_task: asyncio.Task | None = None

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await self.refresh_if_frozen()
            self.last_checked_at = self.clock()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def refresh_if_frozen(self) -> None:
        """Refresh after a gap, and wait for a refresh that is running."""
        gap_s = self.clock() - self.last_checked_at
        if gap_s > MIN_FREEZE_S:
            self.last_checked_at = self.clock()
            self.report_gap(gap_s)
            self.refresh_task = asyncio.create_task(self.refresh())
        if self.refresh_task is not None and not self.refresh_task.done():
            await asyncio.shield(self.refresh_task)
