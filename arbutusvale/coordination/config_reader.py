"""Reader of the whole ``config`` stream for the operator's tools."""

import asyncio
import time

from arbutusvale import errors
from arbutusvale.coordination import head_republisher
from arbutusvale.protocol import ports
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain

READ_TIMEOUT_S = 5.0
CONFLICT_POLL_INTERVAL_S = 0.2


class ConfigReader:
    """Reader that applies the whole retained stream to a chain.

    ``outcomes`` has the result of applying each record and ``records`` the
    records by offset; ``retention_s`` is how long the log retains one.
    """

    def __init__(
        self,
        log: ports.LogService,
        chain: bundle_chain.BundleChain,
        conflict_wait_s: float = head_republisher.CONFLICT_WAIT_S,
    ):
        self.log = log
        self.chain = chain
        self.conflict_wait_s = conflict_wait_s
        self.records: dict[int, ports.LogRecord] = {}
        self.outcomes: list[bundle_chain.Outcome] = []
        self.retention_s = 0.0

    async def read_to_end(self) -> None:
        """Read up to the end of the log; raises :class:`LogUnavailable`.

        If records conflict and the start of the stream, which would decide
        between them, has expired, reading continues until no record has
        been appended for ``conflict_wait_s``.
        """
        while not await self.read_page(0.0):
            pass
        while (
            self.chain.has_conflict
            and self._seconds_since_last_record() < self.conflict_wait_s
        ):
            await asyncio.sleep(CONFLICT_POLL_INTERVAL_S)
            await self.read_page(0.0)
        self.chain.anchor()

    def _seconds_since_last_record(self) -> float:
        """Return the age of the newest record, in seconds."""
        last_record_at = max(record.time for record in self.records.values())
        return time.time() - last_record_at

    async def read_page(self, wait_s: float) -> bool:
        """Read one page; return whether it reached the end of the log."""
        try:
            async with asyncio.timeout(wait_s + READ_TIMEOUT_S):
                page = await self.log.read(
                    signing.STREAM, self.chain.position, wait_s
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
        self, publication: str, timeout_s: float
    ) -> bundle_chain.Accepted | bundle_chain.Rejected | None:
        """Return the outcome of a publication, or None.

        Reads for up to ``timeout_s`` seconds and retries while the log is
        unavailable.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            found = self._search_outcomes(publication)
            remaining_s = deadline - time.monotonic()
            if found is not None or remaining_s <= 0:
                return found
            try:
                await self.read_page(min(1.0, remaining_s))
            except errors.LogUnavailable:
                await asyncio.sleep(min(0.2, remaining_s))

    def _search_outcomes(
        self, publication: str
    ) -> bundle_chain.Accepted | bundle_chain.Rejected | None:
        """Return the outcome of a publication among the records read."""
        for outcome in self.outcomes:
            match outcome:
                case bundle_chain.Accepted() | bundle_chain.Rejected():
                    if outcome.publication == publication:
                        return outcome
        return None
