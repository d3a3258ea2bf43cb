"""Follow one keyed topic of the platform's store.

A store that is away leaves what is known in force; one that has dropped
its history is read anew; a silent connection ends by a timeout.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time
import typing

from arbutusvale import errors
from arbutusvale.protocol import keyedlog
from arbutusvale.state import eventlog

# Half of the least time to apply a change (2 s), as one answer may be lost.
POLL_S = 1.0
# Keeps a busy topic from asking for each record by itself; a quarter of the
# least time in which a change must be in force.
SETTLE_S = 0.4
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 0.8
# After an outage that entries can lapse in, which takes three heartbeats.
_LAPSE_S = 1.0
# Entries that lapsed are back within two seconds of the store's return.
_RETURN_WINDOW_S = 2.0


class Sink(typing.Protocol):
    """Take over what a topic holds."""

    def replace(
        self, records: list[keyedlog.Record], after_outage: bool
    ) -> None:
        """Take over all newest records."""

    def update(
        self, records: list[keyedlog.Record], after_outage: bool
    ) -> None:
        """Take over records in their order."""


@dataclasses.dataclass(slots=True)
class Contact:
    """Tell when the store answered last, in steady seconds."""

    heard_at: float = -1e9
    lost_at: float | None = None
    regained_at: float = -1e9


class LogFollower:
    """Keep a sink up to date with one topic."""

    def __init__(
        self,
        topic: str,
        log: keyedlog.KeyedLog,
        sink: Sink,
        events: eventlog.EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.topic = topic
        self.log = log
        self.sink = sink
        self.events = events
        self.clock = clock
        self.offset: int | None = None
        self.contact = Contact()
        self.failures = 0
        self.looked = asyncio.Event()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
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
                await self._back_off(error)
            else:
                if found:
                    await asyncio.sleep(SETTLE_S)

    def look_again(self) -> None:
        """Drop a call in flight, as this process may have stood still."""
        self.log.disconnect()

    async def _read(self) -> bool:
        """Make one call; tell whether it brought records."""
        if self.offset is None:
            page = await self.log.read_newest()
            outage = self._note_answer()
            self.sink.replace(page.records, outage)
        else:
            page = await self.log.read_on(self.offset, POLL_S)
            outage = self._note_answer()
            self.sink.update(page.records, outage)
        self.offset = page.next_offset
        self.looked.set()
        return bool(page.records)

    def _note_answer(self) -> bool:
        """Note contact; tell whether entries may have lapsed meanwhile."""
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
        return now - self.contact.regained_at < _RETURN_WINDOW_S

    async def _back_off(self, error: errors.StoreUnavailable) -> None:
        """Note a failed call and wait, longer with each in a row."""
        now = self.clock()
        if self.contact.lost_at is None:
            self.contact.lost_at = now
            self.events.write(
                'store-lost', topic=self.topic, cause=error.problem
            )
        self.failures += 1
        delay_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2**self.failures)
        await asyncio.sleep(delay_s)
