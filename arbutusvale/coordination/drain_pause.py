"""Take an engine out of service for an order, through the drain."""

from collections.abc import Callable
import time

from arbutusvale.coordination import drain

REASON = 'order'
IDLE_BOUND_S = 120.0


class DrainPause:
    """Implement :class:`orders.Pause`.

    Work that runs on past ``IDLE_BOUND_S`` is left to the engine.
    """

    def __init__(
        self,
        drained: drain.DrainController,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.drain = drained
        self.clock = clock

    async def begin(self) -> None:
        """Refuse new work and wait until the engine is idle."""
        self.drain.start_leaving(REASON, 0.0)
        await self.drain.wait_until_idle(self.clock() + IDLE_BOUND_S)

    def end(self) -> None:
        """Take new work again."""
        self.drain.stop_leaving(REASON)
