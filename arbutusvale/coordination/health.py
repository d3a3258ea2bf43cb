"""Watch whether the backend server beside this sidecar answers."""

import asyncio
from collections.abc import Callable

from absl import logging

from arbutusvale.protocol import ports

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 2.0


class HealthChecker:
    """Keep ``up`` true while the server answers its health checks.

    A server that fails at once has the lowest load of its pool, so a
    sidecar that kept accepting for it would draw all requests.
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
        """Note that the server took no connection; the next check decides."""
        self._update_state(False)

    def _update_state(self, healthy: bool) -> None:
        """Log and tell a change of the server's state."""
        if healthy == self.up:
            return
        self.up = healthy
        logging.info('event=server-health up=%s', str(healthy).lower())
        self.on_change(healthy)
