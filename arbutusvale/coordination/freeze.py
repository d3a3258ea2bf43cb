"""Look for news before new work when this process was frozen."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from absl import logging

TICK_S = 0.25
GAP_S = 1.5


class FreezeGuard:
    """Notice gaps in the own clock and then run ``look`` once.

    Every request calls :meth:`check` itself, as after a freeze it may be
    handled before the timer.
    """

    def __init__(
        self,
        look: Callable[[], Awaitable[None]],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.look = look
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
            logging.warning('event=clock-gap seconds=%.1f', gap_s)
            self.looking = asyncio.create_task(self.look())
        if self.looking is not None and not self.looking.done():
            await asyncio.shield(self.looking)
