"""In-memory state of a simulated engine: batch slots, caches and events."""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import time

import numpy as np

MAX_EVENTS = 10000
MAX_LOAD_SAMPLES = 100000
STORED = 'stored'
EVICTED = 'evicted'


@dataclasses.dataclass(eq=False)
class Run:
    """A request that waits or runs, and its answer so far.

    ``readers`` counts connections that resumed the answer.  ``ended`` says
    that no more output follows, ``complete`` that none is missing, and
    ``changed`` is set and replaced at each change of the output.
    """

    request_id: str
    cancelled: bool = False
    readers: int = 0
    content_type: str = ''
    output: bytearray = dataclasses.field(default_factory=bytearray)
    ended: bool = False
    complete: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def append_output(self, data: bytes) -> None:
        """Append to the answer and wake its readers."""
        self.output += data
        self.changed.set()
        self.changed = asyncio.Event()

    def finish(self, complete: bool) -> None:
        """Mark the answer as ended and wake its readers."""
        self.ended = True
        self.complete = complete
        self.append_output(b'')


class PrioritySemaphore:
    """A semaphore whose waiters are admitted by priority, then arrival."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.running = 0
        self.waiting: list = []
        self.arrival_numbers = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; waiters of the highest priority come first."""
        if self.running < self.capacity:
            self.running += 1
            return
        admitted = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self.waiting, (-priority, next(self.arrival_numbers), admitted)
        )
        try:
            await admitted
        except asyncio.CancelledError:
            # Cancelled just after the slot was granted.
            if admitted.done() and not admitted.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Pass the slot on to the next waiter, or free it."""
        while self.waiting:
            _, _, admitted = heapq.heappop(self.waiting)
            if not admitted.done():
                admitted.set_result(None)
                return
        self.running -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache; ``time`` is monotonic, in seconds."""

    number: int
    time: float
    kind: str
    chat: str


class CacheEventLog:
    """Log of numbered cache events that are visible late and with gaps."""

    def __init__(self, rng: np.random.Generator):
        self.rng = rng
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self.next_number = 0

    def publish(self, kind: str, chat: str, drop_share: float) -> None:
        """Number an event and log it, except for a share that is dropped."""
        number = self.next_number
        self.next_number += 1
        if drop_share and self.rng.random() < drop_share:
            return
        self.events.append(CacheEvent(number, time.monotonic(), kind, chat))

    def list_visible(self, start: int, lag_s: float) -> list[CacheEvent]:
        """List the events from ``start`` on that are older than the lag."""
        limit = time.monotonic() - lag_s
        return [
            event
            for event in self.events
            if event.number >= start and event.time <= limit
        ]


class PrefixCache:
    """LRU cache of the prompt prefixes of up to ``max_entries`` chats.

    ``tokens_by_chat`` has the number of cached tokens of each chat.
    """

    def __init__(self, max_entries: int):
        self.max_entries = max_entries
        self.tokens_by_chat: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def get_tokens(self, chat: str) -> int:
        """Return the number of cached tokens of a chat and mark it as used."""
        if chat not in self.tokens_by_chat:
            return 0
        self.tokens_by_chat.move_to_end(chat)
        return self.tokens_by_chat[chat]

    def store(self, chat: str, tokens: int) -> list[str]:
        """Store a chat's prefix; returns the chats evicted for it."""
        self.tokens_by_chat[chat] = tokens
        self.tokens_by_chat.move_to_end(chat)
        evicted = []
        while len(self.tokens_by_chat) > self.max_entries:
            evicted.append(self.tokens_by_chat.popitem(last=False)[0])
        return evicted


class LoadHistory:
    """The engine's load over time, to report it with a delay."""

    def __init__(self):
        self.samples = collections.deque(
            [(0.0, 0, 0)], maxlen=MAX_LOAD_SAMPLES
        )

    def record(self, running: int, waiting: int) -> None:
        """Record the load of now."""
        self.samples.append((time.monotonic(), running, waiting))

    def list_changes(self) -> list[list[float]]:
        """Return pairs of monotonic time and load, one for each change."""
        return [
            [moment, running + waiting]
            for moment, running, waiting in self.samples
        ]

    def get_delayed(self, lag_s: float) -> tuple[int, int]:
        """Return running and waiting requests as of ``lag_s`` ago."""
        limit = time.monotonic() - lag_s
        for moment, running, waiting in reversed(self.samples):
            if moment <= limit:
                return running, waiting
        return 0, 0
