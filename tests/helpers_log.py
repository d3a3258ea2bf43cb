"""Fake the platform's log service, with its faults."""

import asyncio
import selectors

from arbutusvale import errors
from arbutusvale.protocol import ports

RETENTION_S = 1000.0
START_S = 1000.0


class FakeClock:
    """Count seconds that a test lets pass."""

    def __init__(self):
        self.now = START_S

    def __call__(self) -> float:
        return self.now


class _SkippingSelector(selectors.DefaultSelector):
    """Count the seconds that its user would wait instead of waiting."""

    def __init__(self):
        super().__init__()
        self.skipped_s = 0.0

    def select(self, timeout=None):
        self.skipped_s += timeout or 0.0
        return super().select(0)


class SkippingLoop(asyncio.SelectorEventLoop):
    """Run without input or output, in time that passes at once."""

    def __init__(self):
        self.selector = _SkippingSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return START_S + self.selector.skipped_s


def run_in_virtual_time(coroutine):
    """Run a coroutine to its end on a loop that skips waits."""
    with asyncio.Runner(loop_factory=SkippingLoop) as runner:
        return runner.run(coroutine)


def read_loop_time() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()


class FakeLog:
    """Keep streams in memory and fail on demand.

    ``down`` refuses everything, ``lose_answers`` is the number of appends
    whose answer gets lost after their effect, ``lose_appends`` of those
    that are lost before it; ``delay_s`` slows every call.
    """

    def __init__(self, clock=read_loop_time, retention_s: float = RETENTION_S):
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

    def put(self, data: bytes) -> None:
        """Append a record as another process would."""
        self.records.append(ports.LogRecord(self.head, self.clock(), data))
        self.head += 1

    async def read(self, stream: str, start: int, wait: float):
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.LogUnavailable(stream, 'down')
        self._expire()
        if start >= self.head and wait:
            changed = self.changed
            try:
                async with asyncio.timeout(wait):
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


class PausableView:
    """Reach a fake log from one process, which may be paused.

    Calls of a paused process take effect; it goes on when resumed.
    """

    def __init__(self, log: FakeLog):
        self.log = log
        self.running = asyncio.Event()
        self.running.set()

    async def append(self, stream: str, data: bytes) -> int:
        await self.running.wait()
        try:
            return await self.log.append(stream, data)
        finally:
            await self.running.wait()

    async def read(self, stream: str, start: int, wait: float):
        await self.running.wait()
        try:
            return await self.log.read(stream, start, wait)
        finally:
            await self.running.wait()
