"""Tell a crash of the backend server from a single broken connection."""

import asyncio
from collections.abc import Iterable

from arbutusvale.coordination import quarantine
from arbutusvale.coordination import streams
from arbutusvale.protocol import ports

GATHER_WINDOW_S = 0.05
HEALTH_TIMEOUT_S = 1.0
MIN_BROKEN_FOR_CRASH = 2
CRASHED = 'server-crashed'
BROKEN = 'server-broken'


class CrashDetector:
    """Judge broken answers; one crash is counted once for all of them."""

    def __init__(
        self,
        server: ports.BackendServer,
        request_quarantine: quarantine.Quarantine,
    ):
        self.server = server
        self.quarantine = request_quarantine
        self.broken: set[streams.Run] = set()
        self.suspects: set[streams.Run] = set()
        self.classification: asyncio.Task | None = None

    async def classify(
        self, run: streams.Run, in_flight: Iterable[streams.Run]
    ) -> str:
        """Return why an answer broke off, after a crash was spread.

        ``in_flight`` are the runs at the server at this moment.
        """
        if run.crashed:
            return CRASHED
        self.broken.add(run)
        self.suspects.add(run)
        if self.classification is None:
            self.suspects.update(
                other for other in in_flight if other.handed_over
            )
            self.classification = asyncio.create_task(self._classify_broken())
        await asyncio.shield(self.classification)
        return CRASHED if run.crashed else BROKEN

    async def wait_until_classified(self) -> None:
        """Wait for the end of a classification that is under way."""
        if self.classification is not None:
            await asyncio.shield(self.classification)

    async def _classify_broken(self) -> None:
        """Look at the server and note a crash of it."""
        healthy = await self._is_healthy()
        await asyncio.sleep(GATHER_WINDOW_S)
        crashed = not healthy or len(self.broken) >= MIN_BROKEN_FOR_CRASH
        suspects = {run for run in self.suspects if not run.unreached}
        self.broken = set()
        self.suspects = set()
        self.classification = None
        if crashed:
            for run in suspects:
                run.crashed = True
            await self.quarantine.record_crash(
                suspect.fingerprint for suspect in suspects
            )

    async def _is_healthy(self) -> bool:
        """Ask the server's health check."""
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                return await self.server.healthy()
        except TimeoutError:
            return False
