"""Append claims to one stream of the log and follow it."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import claimrecord
from arbutusvale.protocol import ports
from arbutusvale.state import claimindex

BATCH_DELAY_S = 0.003
MOST_BATCH = 512
MOST_APPENDS = 4
APPEND_TIMEOUT_S = 2.0
CONFIRM_INTERVAL_S = 0.25
MOST_CONFIRMS = 16
POLL_WAIT_S = 10.0
READ_TIMEOUT_S = 15.0
FAILED_READ_DELAY_S = 0.2
MOST_PAUSE_S = 1.0
PAUSE_SHARE = 0.01
RETRY_AFTER_S = 2.0
USABLE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Hindrance:
    """Say why claims may be missing here and for how many seconds."""

    reason: str
    retry_after: float


class ClaimStream:
    """Hold the claims of one stream, as far as they were read.

    ``retention_s`` is the log's word for how long it keeps a record.
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
        self.index = claimindex.ClaimIndex(clock)
        self.next_offset = 0
        self.retention_s = 0.0
        self.first_caught_up = asyncio.Event()
        self.hole_until = clock()
        self.claim_count = 0
        self.append_count = 0
        self.pending: dict[bytes, claimrecord.KeyClaim] = {}
        self.appending: set[bytes] = set()
        self.unsettled: collections.Counter[bytes] = collections.Counter()
        self.asked_at: dict[int, float] = {}
        self.waiters: dict[bytes, asyncio.Future] = {}
        self.wanted = asyncio.Event()
        self.hurry = asyncio.Event()
        self.slots = asyncio.Semaphore(MOST_APPENDS)
        self.tasks: set[asyncio.Task] = set()

    @property
    def caught_up(self) -> bool:
        """Tell whether all retained claims have been read."""
        return self.first_caught_up.is_set()

    def find_hindrance(self) -> Hindrance | None:
        """Tell why no new key may be claimed, if that is so."""
        if not self.caught_up:
            return Hindrance('claims-not-read', RETRY_AFTER_S)
        remaining = self.hole_until - self.clock()
        if remaining > 0:
            return Hindrance('claims-missing', remaining)
        return None

    async def claim(self, key: bytes, fingerprint: bytes) -> None:
        """Append a claim of a key and wait until one was read.

        Raises :class:`errors.LogUnavailable` when nothing was appended.
        """
        waiter = self.waiters.get(key)
        if waiter is None:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters[key] = waiter
            self.hurry.set()
        if key not in self.pending and key not in self.appending:
            self._ask(key, fingerprint)
        await asyncio.shield(waiter)

    async def write(self) -> None:
        """Append the claims that wait, in batches, until cancelled."""
        while True:
            await self.wanted.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            await self.slots.acquire()
            batch = list(self.pending.values())[:MOST_BATCH]
            for claim in batch:
                del self.pending[claim.key]
                self.appending.add(claim.key)
                self.unsettled[claim.key] += 1
            if not self.pending:
                self.wanted.clear()
            task = asyncio.create_task(self._append(batch))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def follow(self) -> None:
        """Read claims from the log as they come, until cancelled."""
        while True:
            try:
                await self.read(POLL_WAIT_S if self.caught_up else 0)
            except (errors.LogUnavailable, TimeoutError) as error:
                logging.warning(
                    'event=claims-unread stream=%s cause="%s"',
                    self.name,
                    error,
                )
                await asyncio.sleep(FAILED_READ_DELAY_S)
            if self.caught_up:
                await self._pause()

    async def _pause(self) -> None:
        """Let claims of others gather, unless an own one waits.

        One read of many records costs little more than one of a single
        record.  A claim that is read late only costs its key's next
        claimer an append, as the order in the log decides.
        """
        self.hurry.clear()
        if self.waiters:
            return
        pause_s = min(MOST_PAUSE_S, PAUSE_SHARE * self.retention_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self.hurry.wait()

    async def read(self, wait_s: float) -> None:
        """Read once from the log; raises as the log service does."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                page = await self.log.read(self.name, self.next_offset, wait_s)
        except errors.LogExpired as error:
            self._skip_to(error.oldest)
            return
        if page.head < self.next_offset:
            self._skip_to(page.oldest)
            return
        self.retention_s = page.retention
        for record in page.records:
            if record.offset >= self.next_offset:
                self.next_offset = record.offset + 1
                self._take(record)
        if self.next_offset >= page.head:
            self.first_caught_up.set()

    def _ask(self, key: bytes, fingerprint: bytes) -> None:
        """Queue a claim for the next batch."""
        self._expire_asked()
        self.claim_count += 1
        self.pending[key] = claimrecord.KeyClaim(
            key, fingerprint, self.claim_count
        )
        self.asked_at[self.claim_count] = self.clock()
        self.wanted.set()

    def _expire_asked(self) -> None:
        """Drop the times of old claims that were never read."""
        oldest = self.clock() - self.retention_s
        while self.asked_at:
            number = next(iter(self.asked_at))
            if self.asked_at[number] > oldest:
                return
            del self.asked_at[number]

    async def _append(self, batch: list[claimrecord.KeyClaim]) -> None:
        """Append a batch; a lost answer is settled by reading."""
        record = claimrecord.ClaimRecord(self.vm, self.incarnation, batch)
        failure = None
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_S):
                await self.log.append(self.name, claimrecord.encode(record))
                self.append_count += 1
        except (errors.LogAnswerLost, TimeoutError) as error:
            logging.warning('event=claim-answer-lost cause="%s"', error)
        except errors.LogUnavailable as error:
            failure = error
        finally:
            self.slots.release()
            self.appending.difference_update(claim.key for claim in batch)
        if failure is None:
            await self._confirm(batch)
            failure = errors.LogUnavailable(self.name, 'a claim is not read')
        else:
            self._forget_asked(batch)
        self._fail(batch, failure)

    async def _confirm(self, batch: list[claimrecord.KeyClaim]) -> None:
        """Read the log directly while the follower has not done so."""
        for _ in range(MOST_CONFIRMS):
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

    def _fail(
        self, batch: list[claimrecord.KeyClaim], error: errors.LogUnavailable
    ) -> None:
        """Tell those who wait for nothing else that a batch failed."""
        for claim in batch:
            self.unsettled[claim.key] -= 1
            if self.unsettled[claim.key] or claim.key in self.pending:
                continue
            del self.unsettled[claim.key]
            waiter = self.waiters.pop(claim.key, None)
            if waiter is not None and not waiter.done():
                waiter.set_exception(error)
                waiter.exception()

    def _forget_asked(self, batch: list[claimrecord.KeyClaim]) -> None:
        """Forget claims that the log service certainly did not take."""
        for claim in batch:
            self.asked_at.pop(claim.number, None)

    def _skip_to(self, oldest: int) -> None:
        """Go on from the oldest retained record.

        Skipped records are a hole, except before the first read: what a
        starting process does not find is older than the window.
        """
        self.next_offset = oldest
        if not self.retention_s:
            return
        self.hole_until = self.clock() + self.retention_s
        logging.warning(
            'event=claims-missing stream=%s until_s=%.1f',
            self.name,
            self.retention_s,
        )

    def _take(self, record: ports.LogRecord) -> None:
        """Add the claims of one record to the index."""
        try:
            claims = claimrecord.decode(record.data)
        except errors.FrameError as error:
            logging.error(
                'event=claim-record-unread offset=%d cause="%s"',
                record.offset,
                error,
            )
            return
        for claim in claims.claims:
            self._add(record, claims, claim)

    def _add(
        self,
        record: ports.LogRecord,
        claims: claimrecord.ClaimRecord,
        claim: claimrecord.KeyClaim,
    ) -> None:
        """Add one claim to the index and wake those who wait for it."""
        usable_until = 0.0
        if (claims.vm, claims.incarnation) == (self.vm, self.incarnation):
            usable_until = self._find_usable(claim)
        self.index.add(
            claim.key,
            claimindex.Claim(
                claim.fingerprint,
                claims.vm,
                claims.incarnation,
                held_until=record.time + self.retention_s,
                expires_at=self.clock() + self.retention_s,
                usable_until=usable_until,
            ),
            record.time,
        )
        waiter = self.waiters.pop(claim.key, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _find_usable(self, claim: claimrecord.KeyClaim) -> float:
        """Return until when an own claim may start its run.

        A process that was paused, or missed claims, must not use a claim
        that others may no longer know.
        """
        asked_at = self.asked_at.pop(claim.number, None)
        if asked_at is None or self.hole_until > self.clock():
            return 0.0
        return asked_at + USABLE_SHARE * self.retention_s
