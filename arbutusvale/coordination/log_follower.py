"""Follow one keyed topic of the platform's store.

A store that is away leaves what is known in force; one that has dropped
its history is read anew; a silent connection ends by a timeout.  After a
failure, or when peers have read further, the newest records are read: they
come at once, and hold one configuration where the log may hold twenty.
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

# A router alone asks this often, as an answer may be lost and a change must
# be in force in 2 s.  Several share the work: each waits longer, and who
# hears of a change tells the others.
POLL_WAIT_S = 1.0
POLLS_PER_WAIT = 3
MAX_POLL_WAIT_S = 10.0
# A busy topic isn't asked for each record by itself: this share of the time
# in which a change must be in force passes between two calls.
BATCH_DELAY_SHARE = 0.3
# An answer that is on its way arrives within this time.
HINT_DELAY_S = 0.3
# Work that waits for a fresh look waits no longer: the store answers in 4 ms.
REFRESH_TIMEOUT_S = 0.5
REFRESH_CHECK_INTERVAL_S = 0.02
NEVER = -1e9
_RETRY_BASE_S = 0.1
_MAX_RETRY_S = 0.8
# After an outage that entries can lapse in, which takes three heartbeats.
_ENTRY_EXPIRY_S = 1.0


class Sink(typing.Protocol):
    """Take over what a topic holds.

    ``return_by`` is the steady time until which entries may return that
    lapsed while the store was away; None if it wasn't of late.
    """

    def replace(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> None:
        """Take over all newest records."""

    def update(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> list[keyed_log.Record]:
        """Take over records in their order.

        Return those that changed what is known.
        """


class Relay(typing.Protocol):
    """Share what is read among routers."""

    def poll_delay_s(self) -> float:
        """Return for how long no call is needed; 0 when one is due."""

    def record_read(
        self, since: int | None, until: int, changed: list[keyed_log.Record]
    ) -> None:
        """Take over how far was read; ``since`` is None for all entries."""


class NoRelay:
    """Let a router read all by itself."""

    def poll_delay_s(self) -> float:
        """Return that a call is due."""
        return 0.0

    def record_read(
        self, since: int | None, until: int, changed: list[keyed_log.Record]
    ) -> None:
        """Tell nobody."""


@dataclasses.dataclass(slots=True)
class StoreContact:
    """Tell when the store answered last, in steady seconds."""

    answered_at: float = NEVER
    lost_at: float | None = None
    regained_at: float = NEVER


def _ignore_records() -> None:
    """Stand in for the peers until they are wired."""


class LogFollower:
    """Keep a sink up to date with one topic.

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
        self.contact = StoreContact()
        self.failures = 0
        self.count_readers: Callable[[], int] = lambda: 1
        self.on_new_records: Callable[[], None] = _ignore_records
        self.batching = False
        self.hint_pending = False
        self.hinted_offset = 0
        self.full_read_due = False
        self.call_aborted = False
        self.wait_s = 0.0
        self.relay: Relay = NoRelay()
        self.call_in_flight = False
        self.wake = asyncio.Event()

    def needs_snapshot(self) -> bool:
        """Tell whether the store is away and a peer knows more."""
        if self.contact.lost_at is None:
            return False
        return self.offset is None or self.hinted_offset > self.offset

    def age_s(self) -> float:
        """Return for how long the topic may have changed unnoticed.

        A call that waits for news on a live connection counts as contact.
        """
        age_s = self.clock() - self.contact.answered_at
        if self.contact.lost_at is None and age_s <= self.wait_s + POLL_WAIT_S:
            return 0.0
        return age_s

    async def refresh(self) -> None:
        """Ask the store at once and wait a short time for its answer."""
        asked_at = self.clock()
        self.contact.answered_at = NEVER
        self.wait_s = 0.0
        self.restart_read()
        while self.contact.answered_at < asked_at:
            if self.clock() - asked_at > REFRESH_TIMEOUT_S:
                return
            await asyncio.sleep(REFRESH_CHECK_INTERVAL_S)

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            await self._wait_until_due()
            try:
                has_records = await self._read()
            except errors.StoreHistoryGone as error:
                self.events.write(
                    'store-history-gone',
                    topic=self.topic,
                    offset=self.offset,
                    cause=error.problem,
                )
                self.offset = None
            except errors.StoreUnavailable as error:
                if self.call_aborted:
                    # This router ended the call; the store may be well.
                    self.call_aborted = False
                else:
                    await self._back_off(error)
            else:
                if has_records:
                    self.on_new_records()
                    await self._wait_for_batch()

    async def _wait_until_due(self) -> None:
        """Make no call while peers that read tell what changes."""
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
        """Take over what a peer read; tell whether all is known up to there.

        A call of this router's own that is under way brings its news itself.
        """
        if self.offset is None or self.call_in_flight or self.full_read_due:
            return False
        if self.contact.lost_at is not None:
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
        """Let records gather before the next call."""
        self.batching = True
        await asyncio.sleep(self.batch_delay_s)
        self.batching = False

    def restart_read(self) -> None:
        """Drop a call in flight, as its answer may have been lost."""
        self.call_aborted = True
        self.full_read_due = True
        self.wake.set()
        self.log.disconnect()

    def handle_offset_hint(self, offset: int) -> None:
        """Look again soon, as a peer has read up to a higher offset."""
        self.hinted_offset = max(self.hinted_offset, offset)
        if self.offset is None or offset <= self.offset or self.hint_pending:
            return
        if self.contact.lost_at is not None:
            return
        self.hint_pending = True
        # Who rests hears with the next read of a peer.
        between_calls = self.batching or not self.call_in_flight
        delay_s = HINT_DELAY_S + (self.batch_delay_s if between_calls else 0.0)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._check_hint, offset)

    def _check_hint(self, offset: int) -> None:
        """Drop the call in flight if it still hasn't brought the offset."""
        self.hint_pending = False
        if self.offset is None or offset <= self.offset:
            return
        if self.log.is_receiving():
            # A thin link takes its time; the answer is not lost.
            self.handle_offset_hint(offset)
            return
        self.events.write(
            'store-behind', topic=self.topic, own=self.offset, told=offset
        )
        self.restart_read()

    def _poll_wait_s(self) -> float:
        """Return how long one call waits for records."""
        routers = self.count_readers()
        return min(
            MAX_POLL_WAIT_S, POLL_WAIT_S * max(1.0, routers / POLLS_PER_WAIT)
        )

    async def _read(self) -> bool:
        """Make one call; tell whether it brought records."""
        self.call_in_flight = True
        try:
            if self.offset is None or self.full_read_due:
                return await self._read_newest()
            return await self._read_on(self.offset)
        finally:
            self.call_in_flight = False

    async def _read_newest(self) -> bool:
        """Read all entries anew."""
        self.wait_s = 0.0
        self.call_aborted = False
        page = await self.log.read_newest()
        self.sink.replace(page.records, self._record_answer())
        self._advance(None, page, [])
        return bool(page.records)

    async def _read_on(self, offset: int) -> bool:
        """Read the records from an offset on."""
        self.wait_s = self._poll_wait_s()
        self.call_aborted = False
        page = await self.log.read_from(offset, self.wait_s)
        changed = self.sink.update(page.records, self._record_answer())
        self._advance(offset, page, changed)
        return bool(page.records)

    def _advance(
        self,
        since: int | None,
        page: keyed_log.Page,
        changed: list[keyed_log.Record],
    ) -> None:
        """Go on from the end of a page."""
        self.offset = page.next_offset
        self.full_read_due = False
        self.relay.record_read(since, page.next_offset, changed)

    def _record_answer(self) -> float | None:
        """Note contact; return until when lapsed entries may return."""
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
        """Note a failed call and wait, longer with each in a row."""
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
