"""Fake of the platform's log service with faults, and virtual time."""

import asyncio
import selectors

from arbutusvale import errors
from arbutusvale.protocol import ports

RETENTION_S = 1000.0
START_S = 1000.0


class FakeClock:
    """Clock that stands still until a test advances it."""

    def __init__(self):
        self.now = START_S

    def __call__(self) -> float:
        return self.now


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that adds up timeouts instead of waiting for them."""

    def __init__(self):
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout=None):
        self.elapsed_s += timeout or 0.0
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop without I/O, whose clock jumps to the next timer."""

    def __init__(self):
        self.selector = _VirtualTimeSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return START_S + self.selector.elapsed_s


def run_in_virtual_time(coroutine):
    """Run a coroutine to its end on a loop that does not wait."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)


def read_loop_time() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()


class FakeLog:
    """Log service in memory with one stream, which fails on demand.

    ``down`` fails every call.  The next ``lose_answers`` appends take effect
    but lose their response, the next ``lose_appends`` are lost before they
    take effect; ``delay_s`` delays every call.
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
        self.record_added = asyncio.Event()

    async def append(self, stream: str, data: bytes) -> int:
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.LogUnavailable(stream, 'down')
        self.appends += 1
        if self.lose_appends:
            self.lose_appends -= 1
            raise errors.AppendOutcomeUnknown(stream, 'lost before')
        offset = self.head
        self.records.append(ports.LogRecord(offset, self.clock(), data))
        self.head += 1
        self.record_added.set()
        self.record_added = asyncio.Event()
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.AppendOutcomeUnknown(stream, 'lost after')
        return offset

    def add_record(self, data: bytes) -> None:
        """Append a record of another process, without faults or delay."""
        self.records.append(ports.LogRecord(self.head, self.clock(), data))
        self.head += 1

    async def read(self, stream: str, start: int, wait: float):
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.LogUnavailable(stream, 'down')
        self._expire()
        if start >= self.head and wait:
            record_added = self.record_added
            try:
                async with asyncio.timeout(wait):
                    await record_added.wait()
            except TimeoutError:
                pass
        if start < self.oldest:
            raise errors.OffsetExpired(stream, start, self.oldest)
        found = [r for r in self.records if r.offset >= start]
        return ports.LogPage(found, self.head, self.oldest, self.retention_s)

    @property
    def oldest(self) -> int:
        return self.records[0].offset if self.records else self.head

    def _expire(self) -> None:
        limit = self.clock() - self.retention_s
        self.records = [r for r in self.records if r.time > limit]


class PausableLogClient:
    """Client of a fake log in one process, which tests can pause.

    Calls that began before a pause take effect during it; the process gets
    their result when it is resumed.
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
