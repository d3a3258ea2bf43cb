"""Tell a crash of the backend server from a single broken connection."""

import asyncio
from collections.abc import Iterable

from arbutusvale.coordination import answer_fanout
from arbutusvale.coordination import quarantine
from arbutusvale.protocol import ports

GATHER_S = 0.05
HEALTH_TIMEOUT_S = 1.0
CRASH_BREAKS = 2
CRASHED = 'server-crashed'
BROKEN = 'server-broken'


class CrashDetector:
    """Judge broken answers; one crash is counted once for all of them."""

    def __init__(
        self,
        server: ports.BackendServer,
        quarantined: quarantine.Quarantine,
    ):
        self.server = server
        self.quarantine = quarantined
        self.broken: set[answer_fanout.Run] = set()
        self.suspects: set[answer_fanout.Run] = set()
        self.judgement: asyncio.Task | None = None

    async def judge(
        self, run: answer_fanout.Run, in_flight: Iterable[answer_fanout.Run]
    ) -> str:
        """Return why an answer broke off, after a crash was spread.

        ``in_flight`` are the runs at the server at this moment.
        """
        if run.crashed:
            return CRASHED
        self.broken.add(run)
        self.suspects.add(run)
        if self.judgement is None:
            self.suspects.update(r for r in in_flight if r.sent_to_server)
            self.judgement = asyncio.create_task(self._judge())
        await asyncio.shield(self.judgement)
        return CRASHED if run.crashed else BROKEN

    async def settled(self) -> None:
        """Wait for the end of a judgement that is under way."""
        if self.judgement is not None:
            await asyncio.shield(self.judgement)

    async def _judge(self) -> None:
        """Look at the server and note a crash of it."""
        healthy = await self._is_healthy()
        await asyncio.sleep(GATHER_S)
        crashed = not healthy or len(self.broken) >= CRASH_BREAKS
        suspects = {run for run in self.suspects if not run.server_unreachable}
        self.broken = set()
        self.suspects = set()
        self.judgement = None
        if crashed:
            for run in suspects:
                run.crashed = True
            await self.quarantine.record_crash(r.fingerprint for r in suspects)

    async def _is_healthy(self) -> bool:
        """Ask the server's health check."""
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                return await self.server.healthy()
        except TimeoutError:
            return False
