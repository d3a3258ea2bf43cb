"""Long polling of one keyed topic of the platform's store.

While the store is unreachable, the last known records stay in force.  If it
has dropped the history from an offset on, the topic is read in full; a
silent connection ends by a timeout.  After a failure, or when peers have
read further, a full read fetches the newest record of each key: it returns
at once, and holds one configuration where the log may hold twenty.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time
import typing

from arbutusvale import errors
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import list_update
from arbutusvale.state import event_log
from arbutusvale.state import server_list

# How long the store may hold back the answer to a poll without new records.
# A router alone polls this often, as an answer may be lost and a change must
# be in force within 2 s.
POLL_WAIT_S = 1.0
# More routers than this share the polling: each waits longer in proportion,
# and one that reads a change announces its offset to the others.
POLLS_PER_WAIT = 3
MAX_POLL_WAIT_S = 10.0
# Pause between two calls that brings several records of a busy topic in one
# answer, as a share of the time in which a change must be in force.
BATCH_DELAY_SHARE = 0.3
# A call in flight gets this long to bring what a peer has already read.
HINT_DELAY_S = 0.3
# Bounds how long a refresh blocks its caller; the store answers in 4 ms.
REFRESH_TIMEOUT_S = 0.5
REFRESH_CHECK_INTERVAL_S = 0.02
# How long a caller waits until the records are known to be those of now.
CONFIRM_TIMEOUT_S = 0.25
CONFIRM_CHECK_INTERVAL_S = 0.005
# Records that came and went between two full reads this close together are of
# no account.
MAX_GAP_S = 2.0
NEVER = -1e9
_RETRY_BASE_S = 0.1
_MAX_RETRY_S = 0.8
# Server entries may expire in an outage this long: it takes three heartbeats.
_ENTRY_EXPIRY_S = 1.0


class Sink(typing.Protocol):
    """Consumer of a topic's records.

    ``return_by`` is the steady time until which entries may return that
    expired in a recent outage of the store; None without one.
    """

    def replace(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> None:
        """Apply a full read: the newest record of each key."""

    def update(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> list[keyed_log.Record]:
        """Apply records in log order.

        Return those that changed the sink's state.
        """

    def note_older_copy(self, records: list[keyed_log.Record]) -> None:
        """Learn that the next full read may lack what was known before.

        The log came back from an older copy of itself; ``records`` are
        those of the copy.
        """


class Relay(typing.Protocol):
    """Sharing of reads among routers."""

    def poll_delay_s(self) -> float:
        """Return the time until the next poll in s; not positive if due."""

    def record_read(
        self,
        start_offset: int | None,
        end_offset: int,
        changed: list[keyed_log.Record],
    ) -> None:
        """Record a read; ``start_offset`` is None for a full read."""


class NoRelay:
    """Relay for a router that polls by itself."""

    def poll_delay_s(self) -> float:
        """Return that a poll is due."""
        return 0.0

    def record_read(
        self,
        start_offset: int | None,
        end_offset: int,
        changed: list[keyed_log.Record],
    ) -> None:
        """Do nothing: no router relies on this read."""


@dataclasses.dataclass(slots=True)
class StoreContact:
    """Steady times of the last answer, loss and return of the store."""

    answered_at: float = NEVER
    lost_at: float | None = None
    regained_at: float = NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class _EraChange:
    """A rise of the log's era; ``offset`` is the last one read before."""

    before: int
    offset: int | None


def _ignore_records() -> None:
    """Do nothing; the default callback for new records."""


def _ignore_gap() -> None:
    """Do nothing; the default callback for records that were missed."""


def _ignore_era(topic: str) -> None:
    """Do nothing; the default callback for a rise of the era."""


class LogFollower:
    """Client that keeps a sink up to date with one topic.

    ``apply_s`` is the time in which a change must be in force, in seconds.
    """

    def __init__(
        self,
        topic: str,
        log: keyed_log.KeyedLog,
        sink: Sink,
        events: event_log.EventLog,
        apply_s: float,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.topic = topic
        self.batch_delay_s = BATCH_DELAY_SHARE * apply_s
        self.log = log
        self.sink = sink
        self.events = events
        self.clock = clock
        self.offset: int | None = None
        # The era of ``offset``; None if the log never told one.
        self.era: int | None = None
        self.era_change: _EraChange | None = None
        # The end of the last page that the sink was given.
        self.page_end = keyed_log.Position(0, 0)
        self.on_era_risen: Callable[[str], None] = _ignore_era
        # Called if records may have come and gone without being read.
        self.on_gap: Callable[[], None] = _ignore_gap
        # When the last full read that was answered began.
        self.newest_read_began_at = NEVER
        self.contact = StoreContact()
        self.failures = 0
        self.count_readers: Callable[[], int] = lambda: 1
        self.on_new_records: Callable[[], None] = _ignore_records
        self.batching = False
        self.hint_pending = False
        self.hinted_offset = 0
        self.hinted_era = 0
        self.full_read_due = False
        self.call_aborted = False
        self.wait_s = 0.0
        self.relay: Relay = NoRelay()
        self.call_in_flight = False
        self.wake = asyncio.Event()

    def adopt(self, offset: int, era: int | None) -> None:
        """Continue from where the copy of a peer ends."""
        self.offset = offset
        if era is not None:
            self.era = era

    def needs_snapshot(self) -> bool:
        """Return whether the store is unreachable and a peer is ahead."""
        if self.contact.lost_at is None:
            return False
        if self.offset is None or self.hinted_offset > self.offset:
            return True
        return self.era is not None and self.hinted_era > self.era

    def age_s(self) -> float:
        """Return for how long the topic may have changed unnoticed, in s.

        A long poll in flight on a live connection counts as contact.
        """
        age_s = self.clock() - self.contact.answered_at
        if self.contact.lost_at is None and age_s <= self.wait_s + POLL_WAIT_S:
            return 0.0
        return age_s

    async def refresh(self) -> None:
        """Restart the read and wait for its answer, for a short time."""
        refresh_started_at = self.clock()
        self.contact.answered_at = NEVER
        self.wait_s = 0.0
        self.restart_read()
        while self.contact.answered_at < refresh_started_at:
            if self.clock() - refresh_started_at > REFRESH_TIMEOUT_S:
                return
            await asyncio.sleep(REFRESH_CHECK_INTERVAL_S)

    async def confirm(self) -> bool:
        """Read all records anew; return whether they came in time.

        A small age doesn't show as much: a call in flight may hang, and its
        answer may have been under way for long.  Callers share reads.
        """
        asked_at = self.clock()
        while self.newest_read_began_at < asked_at:
            if self.clock() - asked_at > CONFIRM_TIMEOUT_S:
                return False
            if not self.full_read_due:
                self.restart_read()
            await asyncio.sleep(CONFIRM_CHECK_INTERVAL_S)
        return True

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            await self._wait_until_due()
            try:
                has_records = await self._read()
            except errors.StoreHistoryGone as error:
                if self._is_of_older_era(error.era):
                    continue
                self._note_era(error.era)
                self.events.write(
                    'store-history-gone',
                    topic=self.topic,
                    offset=self.offset,
                    cause=error.problem,
                )
                self.offset = None
            except errors.StoreUnavailable as error:
                if self.call_aborted:
                    # This router aborted the call itself: no outage.
                    self.call_aborted = False
                else:
                    await self._back_off(error)
            else:
                if has_records:
                    self.on_new_records()
                    await self._wait_for_batch()

    async def _wait_until_due(self) -> None:
        """Wait until a poll is due; meanwhile readers relay changes."""
        while self.offset is not None and not self.full_read_due:
            poll_delay_s = self.relay.poll_delay_s()
            if poll_delay_s <= 0:
                return
            self.wake.clear()
            try:
                async with asyncio.timeout(poll_delay_s):
                    await self.wake.wait()
            except TimeoutError:
                continue

    def apply_relayed(self, relayed: list_update.ListUpdate) -> bool:
        """Apply relayed records; return whether ``end_offset`` was reached.

        A call of this router in flight brings the same records itself.
        """
        if self.offset is None or self.call_in_flight or self.full_read_due:
            return False
        if self.contact.lost_at is not None:
            return False
        if not self.check_peer_era(relayed.era):
            return False
        if not relayed.start_offset <= self.offset <= relayed.end_offset:
            return False
        records = [
            record
            for record in relayed.records
            if record.offset >= self.offset
        ]
        if records:
            self.sink.update(records, None)
        self.offset = relayed.end_offset
        answered_at = self.clock() - relayed.age_s
        self.contact.answered_at = max(self.contact.answered_at, answered_at)
        return True

    async def _wait_for_batch(self) -> None:
        """Let records accumulate before the next call."""
        self.batching = True
        self.wake.clear()
        try:
            async with asyncio.timeout(self.batch_delay_s):
                if not self.full_read_due:
                    await self.wake.wait()
        except TimeoutError:
            pass
        self.batching = False

    def restart_read(self) -> None:
        """Abort a call in flight, as its answer may be lost; read in full."""
        self.call_aborted = True
        self.full_read_due = True
        self.wake.set()
        self.log.disconnect()

    def check_peer_era(self, era: int | None) -> bool:
        """Return whether a peer's offset is of the era of this router's.

        A newer era makes this router read anew.  A peer of the build before
        tells none; its offsets count as of this era.
        """
        if era is None or self.era is None or era == self.era:
            return True
        self.hinted_era = max(self.hinted_era, era)
        is_behind = era > self.era and self.contact.lost_at is None
        if is_behind and not self.full_read_due:
            self.restart_read()
        return False

    def handle_offset_hint(self, offset: int, era: int | None = None) -> None:
        """Schedule a check that this router reaches a peer's offset."""
        if not self.check_peer_era(era):
            return
        self.hinted_offset = max(self.hinted_offset, offset)
        if self.offset is None or offset <= self.offset or self.hint_pending:
            return
        if self.contact.lost_at is not None:
            return
        self.hint_pending = True
        # Between calls, records come by the next call or by a relayed read.
        between_calls = self.batching or not self.call_in_flight
        delay_s = HINT_DELAY_S + (self.batch_delay_s if between_calls else 0.0)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._check_hint, offset)

    def _check_hint(self, offset: int) -> None:
        """Restart the read if it hasn't reached the offset by now."""
        self.hint_pending = False
        if self.offset is None or offset <= self.offset:
            return
        if self.log.is_receiving():
            # The answer isn't lost but arriving, on a slow link.
            self.handle_offset_hint(offset)
            return
        self.events.write(
            'store-behind', topic=self.topic, own=self.offset, told=offset
        )
        self.restart_read()

    def _poll_wait_s(self) -> float:
        """Return how long one call may wait for records, in s."""
        routers = self.count_readers()
        return min(
            MAX_POLL_WAIT_S, POLL_WAIT_S * max(1.0, routers / POLLS_PER_WAIT)
        )

    async def _read(self) -> bool:
        """Make one call; return whether it brought records."""
        self.call_in_flight = True
        try:
            if self.offset is None or self.full_read_due:
                return await self._read_newest()
            return await self._read_from(self.offset)
        finally:
            self.call_in_flight = False

    async def _read_newest(self) -> bool:
        """Read the newest record of each key."""
        self.wait_s = 0.0
        self.call_aborted = False
        began_at = self.clock()
        page = await self.log.read_newest()
        self._note_era(page.era)
        self._note_gap()
        self.page_end = keyed_log.Position(self.era or 0, page.next_offset)
        if self.era_change is not None:
            self.sink.note_older_copy(page.records)
            self.contact.regained_at = self.clock()
        self.sink.replace(page.records, self._record_answer())
        self.newest_read_began_at = began_at
        self._advance(None, page, [])
        self._finish_era_change(page)
        return bool(page.records)

    async def _read_from(self, offset: int) -> bool:
        """Read the records from an offset on."""
        self.wait_s = self._poll_wait_s()
        self.call_aborted = False
        page = await self.log.read_from(offset, self.wait_s)
        if self._note_era(page.era):
            # The offset may be that of another record by now.
            self.full_read_due = True
            return False
        self.page_end = keyed_log.Position(self.era or 0, page.next_offset)
        changed = self.sink.update(page.records, self._record_answer())
        self._advance(offset, page, changed)
        return bool(page.records)

    def _advance(
        self,
        start_offset: int | None,
        page: keyed_log.Page,
        changed: list[keyed_log.Record],
    ) -> None:
        """Move the offset to the end of a page and record the read."""
        self.offset = page.next_offset
        self.full_read_due = False
        self.relay.record_read(start_offset, page.next_offset, changed)

    def _note_era(self, era: int | None) -> bool:
        """Return whether the log came back from an older copy of itself.

        Raise StoreUnavailable for an answer from before the last time.
        """
        if era is None or era == self.era:
            return False
        if self.era is None:
            self.era = era
            return False
        if self._is_of_older_era(era):
            raise errors.StoreUnavailable('an answer of an older era')
        if self.era_change is None:
            self.era_change = _EraChange(self.era, self.offset)
        self.era = era
        self.hinted_offset = 0
        return True

    def _is_of_older_era(self, era: int | None) -> bool:
        """Return whether an answer is from before an older copy returned."""
        return era is not None and self.era is not None and era < self.era

    def _note_gap(self) -> None:
        """Tell of records that a full read may have left out."""
        missed_s = self.clock() - self.contact.answered_at
        if (
            self.offset is None
            or self.era_change is not None
            or missed_s > MAX_GAP_S
        ):
            self.on_gap()

    def _finish_era_change(self, page: keyed_log.Page) -> None:
        """Log a rise of the era, once the log is read anew."""
        change, self.era_change = self.era_change, None
        if change is None:
            return
        self.events.write(
            'store-era',
            topic=self.topic,
            before=change.before,
            era=self.era,
            offset_before=change.offset,
            offset=page.next_offset,
            records=len(page.records),
        )
        self.on_era_risen(self.topic)

    def _record_answer(self) -> float | None:
        """Record contact; return until when expired entries may return."""
        now = self.clock()
        away_s = now - self.contact.answered_at
        self.contact.answered_at = now
        self.failures = 0
        if self.contact.lost_at is not None:
            self.events.write(
                'store-regained', topic=self.topic, away_s=round(away_s, 3)
            )
            self.contact.lost_at = None
            if away_s >= _ENTRY_EXPIRY_S:
                self.contact.regained_at = now
        return_by = self.contact.regained_at + server_list.RECOVERY_GRACE_S
        return return_by if now < return_by else None

    async def _back_off(self, error: errors.StoreUnavailable) -> None:
        """Record a failed call and wait, with exponential backoff."""
        now = self.clock()
        if self.contact.lost_at is None:
            self.contact.lost_at = now
            self.events.write(
                'store-lost', topic=self.topic, cause=error.problem
            )
        self.failures += 1
        self.full_read_due = True
        delay_s = min(_MAX_RETRY_S, _RETRY_BASE_S * 2**self.failures)
        await asyncio.sleep(delay_s)
