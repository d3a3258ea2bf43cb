"""Read the ``config`` stream to its end, as the operator's tools do."""

import asyncio
import time

from arbutusvale import errors
from arbutusvale.coordination import head_republisher
from arbutusvale.protocol import ports
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain

READ_TIMEOUT_S = 5.0
SETTLE_POLL_S = 0.2


class ConfigReader:
    """Apply the whole retained stream to a chain.

    ``outcomes`` holds what became of each record, ``records`` the records
    by offset; ``retention_s`` is how long the log keeps one, in seconds.
    """

    def __init__(
        self,
        log: ports.LogService,
        chain: bundle_chain.BundleChain,
        settle_s: float = head_republisher.SETTLE_S,
    ):
        self.log = log
        self.chain = chain
        self.settle_s = settle_s
        self.records: dict[int, ports.LogRecord] = {}
        self.outcomes: list[bundle_chain.Outcome] = []
        self.retention_s = 0.0

    async def read_to_end(self) -> None:
        """Read up to the log's head; raises :class:`LogUnavailable`.

        Records that contradict each other, without the beginning of the
        stream to judge them by, are read on until nothing new comes.
        """
        while not await self.read_page(0.0):
            pass
        while self.chain.has_conflict and self._find_quiet() < self.settle_s:
            await asyncio.sleep(SETTLE_POLL_S)
            await self.read_page(0.0)
        self.chain.anchor()

    def _find_quiet(self) -> float:
        """Return the seconds since the log's last record."""
        last = max(record.time for record in self.records.values())
        return time.time() - last

    async def read_page(self, wait: float) -> bool:
        """Read one page; tell whether it reached the log's head."""
        try:
            async with asyncio.timeout(wait + READ_TIMEOUT_S):
                page = await self.log.read(
                    signing.STREAM, self.chain.position, wait
                )
        except TimeoutError as error:
            raise errors.LogUnavailable(
                signing.STREAM, 'the read timed out'
            ) from error
        except errors.OffsetExpired as error:
            self.chain.skip_expired(error.oldest)
            return False
        self.retention_s = page.retention
        for record in page.records:
            self.records[record.offset] = record
            self.outcomes.append(self.chain.apply(record.offset, record.data))
        return self.chain.position >= page.head

    async def find_outcome(
        self, publication: str, bound: float
    ) -> bundle_chain.Accepted | bundle_chain.Rejected | None:
        """Find the outcome of a publication within ``bound`` seconds.

        An unreachable log is asked again; None when it was not found.
        """
        end = time.monotonic() + bound
        while True:
            found = self._find_read(publication)
            left = end - time.monotonic()
            if found is not None or left <= 0:
                return found
            try:
                await self.read_page(min(1.0, left))
            except errors.LogUnavailable:
                await asyncio.sleep(min(0.2, left))

    def _find_read(
        self, publication: str
    ) -> bundle_chain.Accepted | bundle_chain.Rejected | None:
        """Find the outcome of a publication among the records read."""
        for outcome in self.outcomes:
            match outcome:
                case bundle_chain.Accepted() | bundle_chain.Rejected():
                    if outcome.publication == publication:
                        return outcome
        return None
