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
POLL_S = 1.0
READERS = 3
MAX_POLL_S = 10.0
# A busy topic isn't asked for each record by itself: this share of the time
# in which a change must be in force passes between two calls.
SETTLE_SHARE = 0.3
# An answer that is on its way arrives within this time.
ANSWER_S = 0.3
# Work that waits for a fresh look waits no longer: the store answers in 4 ms.
REFRESH_S = 0.5
REFRESH_STEP_S = 0.02
NEVER = -1e9
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 0.8
# After an outage that entries can lapse in, which takes three heartbeats.
_LAPSE_S = 1.0


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

    def rest_s(self) -> float:
        """Return for how long no call is needed; 0 when one is due."""

    def note_read(
        self, since: int | None, until: int, changed: list[keyed_log.Record]
    ) -> None:
        """Take over how far was read; ``since`` is None for all entries."""


class NoRelay:
    """Let a router read all by itself."""

    def rest_s(self) -> float:
        """Return that a call is due."""
        return 0.0

    def note_read(
        self, since: int | None, until: int, changed: list[keyed_log.Record]
    ) -> None:
        """Tell nobody."""


@dataclasses.dataclass(slots=True)
class Contact:
    """Tell when the store answered last, in steady seconds."""

    heard_at: float = NEVER
    lost_at: float | None = None
    regained_at: float = NEVER


def _tell_nobody() -> None:
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
        self.settle_s = SETTLE_SHARE * apply_s
        self.log = log
        self.sink = sink
        self.events = events
        self.clock = clock
        self.offset: int | None = None
        self.contact = Contact()
        self.failures = 0
        self.count_readers: Callable[[], int] = lambda: 1
        self.on_progress: Callable[[], None] = _tell_nobody
        self.settling = False
        self.hinted = False
        self.told_offset = 0
        self.catching_up = False
        self.dropped = False
        self.wait_s = 0.0
        self.relay: Relay = NoRelay()
        self.calling = False
        self.wake = asyncio.Event()

    def needs_copy(self) -> bool:
        """Tell whether the store is away and a peer knows more."""
        if self.contact.lost_at is None:
            return False
        return self.offset is None or self.told_offset > self.offset

    def age_s(self) -> float:
        """Return for how long the topic may have changed unnoticed.

        A call that waits for news on a live connection counts as contact.
        """
        age_s = self.clock() - self.contact.heard_at
        if self.contact.lost_at is None and age_s <= self.wait_s + POLL_S:
            return 0.0
        return age_s

    async def refresh(self) -> None:
        """Ask the store at once and wait a short time for its answer."""
        asked_at = self.clock()
        self.contact.heard_at = NEVER
        self.wait_s = 0.0
        self.look_again()
        while self.contact.heard_at < asked_at:
            if self.clock() - asked_at > REFRESH_S:
                return
            await asyncio.sleep(REFRESH_STEP_S)

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            await self._rest()
            try:
                found = await self._read()
            except errors.StoreHistoryGone as error:
                self.events.write(
                    'store-history-gone',
                    topic=self.topic,
                    offset=self.offset,
                    cause=error.problem,
                )
                self.offset = None
            except errors.StoreUnavailable as error:
                if self.dropped:
                    # This router ended the call; the store may be well.
                    self.dropped = False
                else:
                    await self._back_off(error)
            else:
                if found:
                    self.on_progress()
                    await self._settle()

    async def _rest(self) -> None:
        """Make no call while peers that read tell what changes."""
        while self.offset is not None and not self.catching_up:
            rest_s = self.relay.rest_s()
            if rest_s <= 0:
                return
            self.wake.clear()
            try:
                async with asyncio.timeout(rest_s):
                    await self.wake.wait()
            except TimeoutError:
                continue

    def take_over(self, news: list_update.ListUpdate) -> bool:
        """Take over what a peer read; tell whether all is known up to there.

        A call of this router's own that is under way brings its news itself.
        """
        if self.offset is None or self.calling or self.catching_up:
            return False
        if self.contact.lost_at is not None:
            return False
        if not news.start_offset <= self.offset <= news.end_offset:
            return False
        records = [one for one in news.records if one.offset >= self.offset]
        if records:
            self.sink.update(records, None)
        self.offset = news.end_offset
        heard_at = self.clock() - news.age_s
        self.contact.heard_at = max(self.contact.heard_at, heard_at)
        return True

    async def _settle(self) -> None:
        """Let records gather before the next call."""
        self.settling = True
        await asyncio.sleep(self.settle_s)
        self.settling = False

    def look_again(self) -> None:
        """Drop a call in flight, as its answer may have been lost."""
        self.dropped = True
        self.catching_up = True
        self.wake.set()
        self.log.disconnect()

    def note_behind(self, offset: int) -> None:
        """Look again soon, as a peer has read up to a higher offset."""
        self.told_offset = max(self.told_offset, offset)
        if self.offset is None or offset <= self.offset or self.hinted:
            return
        if self.contact.lost_at is not None:
            return
        self.hinted = True
        # Who rests hears with the next read of a peer.
        pausing = self.settling or not self.calling
        delay_s = ANSWER_S + (self.settle_s if pausing else 0.0)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._check_hint, offset)

    def _check_hint(self, offset: int) -> None:
        """Drop the call in flight if it still hasn't brought the offset."""
        self.hinted = False
        if self.offset is None or offset <= self.offset:
            return
        if self.log.is_receiving():
            # A thin link takes its time; the answer is not lost.
            self.note_behind(offset)
            return
        self.events.write(
            'store-behind', topic=self.topic, own=self.offset, told=offset
        )
        self.look_again()

    def _poll_s(self) -> float:
        """Return how long one call waits for records."""
        readers = self.count_readers()
        return min(MAX_POLL_S, POLL_S * max(1.0, readers / READERS))

    async def _read(self) -> bool:
        """Make one call; tell whether it brought records."""
        self.calling = True
        try:
            if self.offset is None or self.catching_up:
                return await self._read_newest()
            return await self._read_on(self.offset)
        finally:
            self.calling = False

    async def _read_newest(self) -> bool:
        """Read all entries anew."""
        self.wait_s = 0.0
        self.dropped = False
        page = await self.log.read_newest()
        self.sink.replace(page.records, self._note_answer())
        self._advance(None, page, [])
        return bool(page.records)

    async def _read_on(self, offset: int) -> bool:
        """Read the records from an offset on."""
        self.wait_s = self._poll_s()
        self.dropped = False
        page = await self.log.read_from(offset, self.wait_s)
        changed = self.sink.update(page.records, self._note_answer())
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
        self.catching_up = False
        self.relay.note_read(since, page.next_offset, changed)

    def _note_answer(self) -> float | None:
        """Note contact; return until when lapsed entries may return."""
        now = self.clock()
        away_s = now - self.contact.heard_at
        self.contact.heard_at = now
        self.failures = 0
        if self.contact.lost_at is not None:
            self.events.write(
                'store-regained', topic=self.topic, away_s=round(away_s, 3)
            )
            self.contact.lost_at = None
            if away_s >= _LAPSE_S:
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
        self.catching_up = True
        delay_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2**self.failures)
        await asyncio.sleep(delay_s)
