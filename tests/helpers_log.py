"""Fake the platform's log service, with its faults."""

import asyncio

from arbutusvale import errors
from arbutusvale.protocol import ports

RETENTION_S = 1000.0


class FakeClock:
    """Count seconds that a test lets pass."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class FakeLog:
    """Keep streams in memory and fail on demand.

    ``down`` refuses everything, ``lose_answers`` is the number of appends
    whose answer gets lost after their effect, ``lose_appends`` of those
    that are lost before it; ``delay_s`` slows every call.
    """

    def __init__(self, clock, retention_s: float = RETENTION_S):
        self.clock = clock
        self.retention_s = retention_s
        self.records: list[ports.LogRecord] = []
        self.head = 0
        self.down = False
        self.lose_answers = 0
        self.lose_appends = 0
        self.delay_s = 0.0
        self.appends = 0
        self.changed = asyncio.Event()

    async def append(self, stream: str, data: bytes) -> int:
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.LogUnavailable(stream, 'down')
        self.appends += 1
        if self.lose_appends:
            self.lose_appends -= 1
            raise errors.LogAnswerLost(stream, 'lost before')
        offset = self.head
        self.records.append(ports.LogRecord(offset, self.clock(), data))
        self.head += 1
        self.changed.set()
        self.changed = asyncio.Event()
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.LogAnswerLost(stream, 'lost after')
        return offset

    async def read(self, stream: str, start: int, wait: float):
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.LogUnavailable(stream, 'down')
        self._expire()
        if start >= self.head and wait:
            changed = self.changed
            try:
                async with asyncio.timeout(min(wait, 0.05)):
                    await changed.wait()
            except TimeoutError:
                pass
        if start < self.oldest:
            raise errors.LogExpired(stream, start, self.oldest)
        found = [r for r in self.records if r.offset >= start]
        return ports.LogPage(found, self.head, self.oldest, self.retention_s)

    @property
    def oldest(self) -> int:
        return self.records[0].offset if self.records else self.head

    def _expire(self) -> None:
        limit = self.clock() - self.retention_s
        self.records = [r for r in self.records if r.time > limit]
