"""Look for news before new work when this process was frozen."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

CHECK_INTERVAL_S = 0.25
MIN_FREEZE_S = 1.5


def _ignore_gap(gap_s: float) -> None:
    """Stand in for a log line."""


class FreezeDetector:
    """Notice gaps in the own clock and then run ``look`` once.

    ``clock`` decides which gaps count: a clock that goes on while the VM is
    suspended also tells of that.  ``note`` is told each gap in seconds.

    Every request calls :meth:`check` itself, as after a freeze it may be
    handled before the timer.
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
        """Tick until cancelled."""
        while True:
            await self.refresh_if_frozen()
            self.last_checked_at = self.clock()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def refresh_if_frozen(self) -> None:
        """Wait for the look that a gap makes necessary."""
        gap_s = self.clock() - self.last_checked_at
        if gap_s > MIN_FREEZE_S:
            self.last_checked_at = self.clock()
            self.report_gap(gap_s)
            self.refresh_task = asyncio.create_task(self.refresh())
        if self.refresh_task is not None and not self.refresh_task.done():
            await asyncio.shield(self.refresh_task)
