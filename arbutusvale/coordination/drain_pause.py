"""Pause of an engine's service during an order, by draining it."""

from collections.abc import Callable
import time

from arbutusvale.coordination import drain

DRAIN_REASON = 'order'
IDLE_TIMEOUT_S = 120.0


class DrainPause:
    """Implementation of :class:`engine_controller.EnginePause`.

    Requests that still run after ``IDLE_TIMEOUT_S`` do not hold the order
    up any longer; the engine has to handle them.
    """

    def __init__(
        self,
        drain_controller: drain.DrainController,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.drain = drain_controller
        self.clock = clock

    async def begin(self) -> None:
        """Refuse new requests and wait until the engine is idle."""
        self.drain.start_leaving(DRAIN_REASON, 0.0)
        await self.drain.wait_until_idle(self.clock() + IDLE_TIMEOUT_S)

    def end(self) -> None:
        """Accept new requests again."""
        self.drain.stop_leaving(DRAIN_REASON)
