"""Look for news before new work when this process was frozen."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

TICK_S = 0.25
GAP_S = 1.5


def _note_nothing(gap_s: float) -> None:
    """Stand in for a log line."""


class FreezeGuard:
    """Notice gaps in the own clock and then run ``look`` once.

    ``clock`` decides which gaps count: a clock that goes on while the VM is
    suspended also tells of that.  ``note`` is told each gap in seconds.

    Every request calls :meth:`check` itself, as after a freeze it may be
    handled before the timer.
    """

    def __init__(
        self,
        look: Callable[[], Awaitable[None]],
        clock: Callable[[], float] = time.monotonic,
        note: Callable[[float], None] = _note_nothing,
    ):
        self.look = look
        self.note = note
        self.clock = clock
        self.ticked_at = clock()
        self.looking: asyncio.Task | None = None

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await self.check()
            self.ticked_at = self.clock()
            await asyncio.sleep(TICK_S)

    async def check(self) -> None:
        """Wait for the look that a gap makes necessary."""
        gap_s = self.clock() - self.ticked_at
        if gap_s > GAP_S:
            self.ticked_at = self.clock()
            self.note(gap_s)
            self.looking = asyncio.create_task(self.look())
        if self.looking is not None and not self.looking.done():
            await asyncio.shield(self.looking)
