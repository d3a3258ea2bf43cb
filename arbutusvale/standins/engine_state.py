"""Hold what a stand-in engine keeps: batch slots, prefixes, events."""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import time

import numpy as np

KEPT_EVENTS = 10000
KEPT_LOADS = 100000
STORED = 'stored'
EVICTED = 'evicted'


@dataclasses.dataclass(eq=False)
class Run:
    """Hold one request that waits or runs, and its answer so far.

    ``readers`` counts connections that resumed the answer; ``ended`` and
    ``whole`` tell that no more comes and that nothing is lacking.
    """

    request_id: str
    cancelled: bool = False
    readers: int = 0
    content_type: str = ''
    output: bytearray = dataclasses.field(default_factory=bytearray)
    ended: bool = False
    whole: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def emit(self, data: bytes) -> None:
        """Append to the answer and wake the readers."""
        self.output += data
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, whole: bool) -> None:
        """Close the answer."""
        self.ended = True
        self.whole = whole
        self.emit(b'')


class Slots:
    """Run a limited number of requests; others wait by priority."""

    def __init__(self, count: int):
        self.count = count
        self.running = 0
        self.waiting: list = []
        self.order = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Take a slot; the highest priority waits least."""
        if self.running < self.count:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (-priority, next(self.order), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give a slot to the next one that waits."""
        while self.waiting:
            _, _, turn = heapq.heappop(self.waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Hold one cache event; ``time`` is of the monotonic clock."""

    number: int
    time: float
    kind: str
    chat: str


class Events:
    """Publish cache events late and with gaps."""

    def __init__(self, generator: np.random.Generator):
        self.generator = generator
        self.kept: collections.deque[Event] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self.next_number = 0

    def add(self, kind: str, chat: str, drop_share: float) -> None:
        """Number an event; some are lost."""
        number = self.next_number
        self.next_number += 1
        if drop_share and self.generator.random() < drop_share:
            return
        self.kept.append(Event(number, time.monotonic(), kind, chat))

    def visible(self, start: int, lag_s: float) -> list[Event]:
        """Return the events from ``start`` on that are old enough."""
        limit = time.monotonic() - lag_s
        return [
            event
            for event in self.kept
            if event.number >= start and event.time <= limit
        ]


class PrefixCache:
    """Keep the prompt prefixes of the chats used last.

    Maps a chat to its cached tokens; at most ``entries`` of them.
    """

    def __init__(self, entries: int):
        self.entries = entries
        self.tokens_by_chat: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def find(self, chat: str) -> int:
        """Return the cached tokens of a chat and mark it as used."""
        if chat not in self.tokens_by_chat:
            return 0
        self.tokens_by_chat.move_to_end(chat)
        return self.tokens_by_chat[chat]

    def store(self, chat: str, tokens: int) -> list[str]:
        """Keep a chat's prefix; returns the chats evicted for it."""
        self.tokens_by_chat[chat] = tokens
        self.tokens_by_chat.move_to_end(chat)
        evicted = []
        while len(self.tokens_by_chat) > self.entries:
            evicted.append(self.tokens_by_chat.popitem(last=False)[0])
        return evicted


class LoadReports:
    """Report the load as it was some time ago."""

    def __init__(self):
        self.kept = collections.deque([(0.0, 0, 0)], maxlen=KEPT_LOADS)

    def add(self, running: int, waiting: int) -> None:
        """Note the load of now."""
        self.kept.append((time.monotonic(), running, waiting))

    def history(self) -> list[list[float]]:
        """Return time of the monotonic clock and load at each change."""
        return [
            [moment, running + waiting]
            for moment, running, waiting in self.kept
        ]

    def late(self, lag_s: float) -> tuple[int, int]:
        """Return running and waiting as of ``lag_s`` ago."""
        limit = time.monotonic() - lag_s
        for moment, running, waiting in reversed(self.kept):
            if moment <= limit:
                return running, waiting
        return 0, 0
