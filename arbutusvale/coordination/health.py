"""Health checks of this sidecar's backend server."""

import asyncio
from collections.abc import Callable

from absl import logging

from arbutusvale.protocol import ports

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 2.0


class HealthChecker:
    """Periodic health checker; ``up`` is true while checks succeed.

    A server that fails every request at once has the lowest load of its
    pool, so it would attract all requests if its sidecar went on admitting
    them.  ``on_change`` is called with each new value of ``up``.
    """

    def __init__(
        self,
        server: ports.BackendServer,
        on_change: Callable[[bool], None] = lambda up: None,
    ):
        self.server = server
        self.on_change = on_change
        self.up = False

    async def run(self) -> None:
        """Check the server at every interval, until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def check(self) -> None:
        """Check the server once."""
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                healthy = await self.server.healthy()
        except TimeoutError:
            healthy = False
        self._update_state(healthy)

    def mark_down(self) -> None:
        """Mark the server as down until the next check.

        For a server that took no connection or crashed.
        """
        self._update_state(False)

    def _update_state(self, healthy: bool) -> None:
        """Log a change of the server's state and report it."""
        if healthy == self.up:
            return
        self.up = healthy
        logging.info('event=server-health up=%s', str(healthy).lower())
        self.on_change(healthy)
