"""Client of one log stream of claims: batched appends and a reader."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import claim_record
from arbutusvale.protocol import ports
from arbutusvale.state import claim_index

BATCH_DELAY_S = 0.003
MAX_BATCH_CLAIMS = 512
MAX_CONCURRENT_APPENDS = 4
APPEND_TIMEOUT_S = 2.0
CONFIRM_INTERVAL_S = 0.25
MAX_CONFIRM_READS = 16
POLL_WAIT_S = 10.0
READ_TIMEOUT_S = 15.0
READ_RETRY_DELAY_S = 0.2
MAX_READ_PAUSE_S = 1.0
READ_PAUSE_SHARE = 0.01  # of the retention
NOT_READ_RETRY_AFTER_S = 2.0
USABLE_SHARE = 0.5  # of the retention


@dataclasses.dataclass(frozen=True, slots=True)
class NotReady:
    """Why no new key may be claimed, and when to retry, in seconds."""

    reason: str
    retry_after: float


class ClaimStream:
    """One stream of claims: a local index of the records read so far.

    ``retention_s`` is how long the log retains a record, as it reports with
    each read.  After records were lost between two reads, no new key may be
    claimed before ``gap_until``.

    A claim is ``pending`` until its batch is sent and ``appending`` until
    the log responds; ``unconfirmed`` counts a key's batches that are being
    appended or read back.  ``queued_at`` has local times by claim number.
    """

    def __init__(
        self,
        log: ports.LogService,
        name: str,
        vm: str,
        incarnation: int,
        clock: Callable[[], float],
    ):
        self.log = log
        self.name = name
        self.vm = vm
        self.incarnation = incarnation
        self.clock = clock
        self.index = claim_index.ClaimIndex(clock)
        self.next_offset = 0
        self.retention_s = 0.0
        self.first_caught_up = asyncio.Event()
        self.gap_until = clock()
        self.claim_count = 0
        self.append_count = 0
        self.pending: dict[bytes, claim_record.KeyClaim] = {}
        self.appending: set[bytes] = set()
        self.unconfirmed: collections.Counter[bytes] = collections.Counter()
        self.queued_at: dict[int, float] = {}
        self.waiters: dict[bytes, asyncio.Future] = {}
        self.has_pending = asyncio.Event()
        self.read_now = asyncio.Event()
        self.slots = asyncio.Semaphore(MAX_CONCURRENT_APPENDS)
        self.tasks: set[asyncio.Task] = set()

    @property
    def caught_up(self) -> bool:
        """Whether all retained claims have been read once."""
        return self.first_caught_up.is_set()

    def check_readiness(self) -> NotReady | None:
        """Return why no new key may be claimed; None when it may."""
        if not self.caught_up:
            return NotReady('claims-not-read', NOT_READ_RETRY_AFTER_S)
        remaining = self.gap_until - self.clock()
        if remaining > 0:
            return NotReady('claims-missing', remaining)
        return None

    async def claim(self, key: bytes, fingerprint: bytes) -> None:
        """Append a claim of a key and wait until any claim of it was read.

        Raises :class:`errors.LogUnavailable` when the append failed or no
        claim was read back.
        """
        waiter = self.waiters.get(key)
        if waiter is None:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters[key] = waiter
            self.read_now.set()
        if key not in self.pending and key not in self.appending:
            self._queue_claim(key, fingerprint)
        await asyncio.shield(waiter)

    async def append_pending(self) -> None:
        """Append pending claims in batches, until cancelled."""
        while True:
            await self.has_pending.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            await self.slots.acquire()
            batch = list(self.pending.values())[:MAX_BATCH_CLAIMS]
            for claim in batch:
                del self.pending[claim.key]
                self.appending.add(claim.key)
                self.unconfirmed[claim.key] += 1
            if not self.pending:
                self.has_pending.clear()
            task = asyncio.create_task(self._append_batch(batch))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def follow(self) -> None:
        """Read claims as they are appended, until cancelled."""
        while True:
            try:
                await self.read(POLL_WAIT_S if self.caught_up else 0)
            except (errors.LogUnavailable, TimeoutError) as error:
                logging.warning(
                    'event=claims-unread stream=%s cause="%s"',
                    self.name,
                    error,
                )
                await asyncio.sleep(READ_RETRY_DELAY_S)
            if self.caught_up:
                await self._pause_between_reads()

    async def _pause_between_reads(self) -> None:
        """Let claims of other VMs accumulate, unless a local one is awaited.

        Reading many records costs little more than reading one.  A claim
        that is read late only costs the next claim of its key an append, as
        the order in the log decides which wins.
        """
        self.read_now.clear()
        if self.waiters:
            return
        pause_s = min(MAX_READ_PAUSE_S, READ_PAUSE_SHARE * self.retention_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self.read_now.wait()

    async def read(self, wait_s: float) -> None:
        """Read one page of the log and index its claims.

        Raises :class:`errors.LogUnavailable` and :class:`TimeoutError`.
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                page = await self.log.read(self.name, self.next_offset, wait_s)
        except errors.OffsetExpired as error:
            self._skip_to_oldest(error.oldest)
            return
        if page.head < self.next_offset:
            self._skip_to_oldest(page.oldest)
            return
        self.retention_s = page.retention
        for record in page.records:
            if record.offset >= self.next_offset:
                self.next_offset = record.offset + 1
                self._index_record(record)
        if self.next_offset >= page.head:
            self.first_caught_up.set()

    def _queue_claim(self, key: bytes, fingerprint: bytes) -> None:
        """Queue a claim for the next batch."""
        self._expire_queue_times()
        self.claim_count += 1
        self.pending[key] = claim_record.KeyClaim(
            key, fingerprint, self.claim_count
        )
        self.queued_at[self.claim_count] = self.clock()
        self.has_pending.set()

    def _expire_queue_times(self) -> None:
        """Drop the queue times of claims never read within the retention."""
        oldest = self.clock() - self.retention_s
        while self.queued_at:
            number = next(iter(self.queued_at))
            if self.queued_at[number] > oldest:
                return
            del self.queued_at[number]

    async def _append_batch(self, batch: list[claim_record.KeyClaim]) -> None:
        """Append a batch; after a lost response, look for it in the log."""
        record = claim_record.ClaimRecord(self.vm, self.incarnation, batch)
        failure = None
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_S):
                await self.log.append(self.name, claim_record.encode(record))
                self.append_count += 1
        except (errors.AppendOutcomeUnknown, TimeoutError) as error:
            logging.warning('event=claim-answer-lost cause="%s"', error)
        except errors.LogUnavailable as error:
            failure = error
        finally:
            self.slots.release()
            self.appending.difference_update(claim.key for claim in batch)
        if failure is None:
            await self._wait_until_read(batch)
            failure = errors.LogUnavailable(
                self.name, 'a claim was not read back in time'
            )
        else:
            self._forget_queue_times(batch)
        self._fail_waiters(batch, failure)

    async def _wait_until_read(
        self, batch: list[claim_record.KeyClaim]
    ) -> None:
        """Wait until the batch was read; reads the log if the reader lags."""
        for _ in range(MAX_CONFIRM_READS):
            waiters = [
                self.waiters[claim.key]
                for claim in batch
                if claim.key in self.waiters
            ]
            if not waiters:
                return
            await asyncio.wait(waiters, timeout=CONFIRM_INTERVAL_S)
            if all(waiter.done() for waiter in waiters):
                return
            try:
                await self.read(0)
            except (errors.LogUnavailable, TimeoutError):
                continue

    def _fail_waiters(
        self, batch: list[claim_record.KeyClaim], error: errors.LogUnavailable
    ) -> None:
        """Fail the waiters of a batch whose keys are in no other append."""
        for claim in batch:
            self.unconfirmed[claim.key] -= 1
            if self.unconfirmed[claim.key] or claim.key in self.pending:
                continue
            del self.unconfirmed[claim.key]
            waiter = self.waiters.pop(claim.key, None)
            if waiter is not None and not waiter.done():
                waiter.set_exception(error)
                waiter.exception()

    def _forget_queue_times(self, batch: list[claim_record.KeyClaim]) -> None:
        """Drop the queue times of claims that were certainly not appended."""
        for claim in batch:
            self.queued_at.pop(claim.number, None)

    def _skip_to_oldest(self, oldest: int) -> None:
        """Continue from the oldest retained record.

        Skipped records leave a gap in the index, and no new key may be
        claimed until they would have expired.  Before the first read there
        is no gap: what the log no longer retains has expired already.
        """
        self.next_offset = oldest
        if not self.retention_s:
            return
        self.gap_until = self.clock() + self.retention_s
        logging.warning(
            'event=claims-missing stream=%s until_s=%.1f',
            self.name,
            self.retention_s,
        )

    def _index_record(self, record: ports.LogRecord) -> None:
        """Add the claims of one record to the index; skips malformed ones."""
        try:
            claims = claim_record.decode(record.data)
        except errors.FrameError as error:
            logging.error(
                'event=claim-record-unread offset=%d cause="%s"',
                record.offset,
                error,
            )
            return
        for claim in claims.claims:
            self._index_claim(record, claims, claim)

    def _index_claim(
        self,
        record: ports.LogRecord,
        claims: claim_record.ClaimRecord,
        claim: claim_record.KeyClaim,
    ) -> None:
        """Add one claim to the index and wake the waiters of its key."""
        usable_until = 0.0
        if (claims.vm, claims.incarnation) == (self.vm, self.incarnation):
            usable_until = self._find_usable_until(claim)
        self.index.add(
            claim.key,
            claim_index.Claim(
                claim.fingerprint,
                claims.vm,
                claims.incarnation,
                log_expires_at=record.time + self.retention_s,
                expires_at=self.clock() + self.retention_s,
                usable_until=usable_until,
            ),
            record.time,
        )
        waiter = self.waiters.pop(claim.key, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _find_usable_until(self, claim: claim_record.KeyClaim) -> float:
        """Return until when this process may use a claim of its own.

        A process that was paused or missed records must not use a claim
        that may have expired for others.
        """
        queued_at = self.queued_at.pop(claim.number, None)
        if queued_at is None or self.gap_until > self.clock():
            return 0.0
        return queued_at + USABLE_SHARE * self.retention_s
