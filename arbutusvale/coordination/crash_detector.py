"""Detection of backend server crashes from broken connections."""

import asyncio
from collections.abc import Iterable

from arbutusvale.coordination import answer_fanout
from arbutusvale.coordination import quarantine
from arbutusvale.protocol import ports

GATHER_WINDOW_S = 0.05
HEALTH_TIMEOUT_S = 1.0
MIN_BROKEN_FOR_CRASH = 2
# A server may run a request on, and crash, though nobody waits any more.
WATCH_S = 1.0
WATCH_INTERVAL_S = 0.2
CRASHED = 'server-crashed'
BROKEN = 'server-broken'


class CrashDetector:
    """Classifier of broken connections; one crash is counted once.

    An unhealthy server or several connections broken within a short window
    mean a crash; one broken connection of a healthy server does not.
    """

    def __init__(
        self,
        server: ports.BackendServer,
        request_quarantine: quarantine.Quarantine,
    ):
        self.server = server
        self.quarantine = request_quarantine
        self.broken: set[answer_fanout.Run] = set()
        self.suspects: set[answer_fanout.Run] = set()
        self.classification: asyncio.Task | None = None
        # Runs that were given up and that the server may still run.
        self.abandoned: set[answer_fanout.Run] = set()
        self.watch_tasks: set[asyncio.Task] = set()

    def watch(self, run: answer_fanout.Run) -> None:
        """Suspect a run that was given up if the server crashes soon."""
        self.abandoned.add(run)
        task = asyncio.create_task(self._watch(run))
        self.watch_tasks.add(task)
        task.add_done_callback(self.watch_tasks.discard)

    async def _watch(self, run: answer_fanout.Run) -> None:
        """Check the server's health for a while after a run was given up."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + WATCH_S
        while loop.time() < ends_at and not run.crashed:
            await asyncio.sleep(WATCH_INTERVAL_S)
            if not await self._is_healthy():
                await self.classify(run, ())
                break
        self.abandoned.discard(run)

    async def classify(
        self, run: answer_fanout.Run, in_flight: Iterable[answer_fanout.Run]
    ) -> str:
        """Return why a run's connection broke, once a crash was spread.

        ``in_flight`` are the runs at the server at this moment; if it
        crashed, those that reached it become suspects.
        """
        if run.crashed:
            return CRASHED
        self.broken.add(run)
        self.suspects.add(run)
        if self.classification is None:
            self.suspects.update(
                other for other in in_flight if other.sent_to_server
            )
            self.suspects.update(self.abandoned)
            self.classification = asyncio.create_task(self._classify_broken())
        await asyncio.shield(self.classification)
        return CRASHED if run.crashed else BROKEN

    async def wait_until_classified(self) -> None:
        """Wait for a classification in progress."""
        if self.classification is not None:
            await asyncio.shield(self.classification)

    async def _classify_broken(self) -> None:
        """Decide on the broken connections and record a crash."""
        healthy = await self._is_healthy()
        await asyncio.sleep(GATHER_WINDOW_S)
        crashed = not healthy or len(self.broken) >= MIN_BROKEN_FOR_CRASH
        suspects = {run for run in self.suspects if not run.server_unreachable}
        self.broken = set()
        self.suspects = set()
        self.classification = None
        if crashed:
            for run in suspects:
                run.crashed = True
            await self.quarantine.record_crash_of(
                suspect.submit for suspect in suspects
            )

    async def _is_healthy(self) -> bool:
        """Return the result of the server's health check; False on timeout."""
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                return await self.server.healthy()
        except TimeoutError:
            return False
