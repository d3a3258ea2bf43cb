"""Fake the log service and links in memory for unit tests."""

import asyncio
import contextlib
import functools
import time

from arbutusvale import errors
from arbutusvale.protocol import ports


def asynchronous(test):
    """Run an async test in an event loop of its own."""

    @functools.wraps(test)
    def run(*arguments, **named):
        asyncio.run(test(*arguments, **named))

    return run


class FakeLog:
    """Keep streams in memory; faults are set as attributes.

    ``down`` fails every call, ``lose_answers`` counts appends that take
    effect without an answer, ``oldest`` is the lowest retained offset and
    ``delay`` holds every read up.
    """

    def __init__(self, retention: float = 3600.0):
        self.streams: dict[str, list[ports.LogRecord]] = {}
        self.oldest: dict[str, int] = {}
        self.retention = retention
        self.down = False
        self.lose_answers = 0
        self.delay = 0.0
        self.appended = asyncio.Event()

    async def append(self, stream: str, data: bytes) -> int:
        if self.down:
            raise errors.LogUnavailable(stream, 'down')
        records = self.streams.setdefault(stream, [])
        records.append(ports.LogRecord(len(records), time.time(), data))
        self.appended.set()
        self.appended = asyncio.Event()
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.AppendOutcomeUnknown(stream, 'answer lost')
        return len(records) - 1

    async def read(self, stream: str, start: int, wait: float):
        await asyncio.sleep(self.delay)
        if self.down:
            raise errors.LogUnavailable(stream, 'down')
        oldest = self.oldest.get(stream, 0)
        if start < oldest:
            raise errors.OffsetExpired(stream, start, oldest)
        if wait and start >= len(self.streams.get(stream, [])):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self.appended.wait()
        records = self.streams.get(stream, [])
        return ports.LogPage(
            records[start:], len(records), oldest, self.retention
        )


class FakeLink:
    """Hand messages to the receiver at the other end at once."""

    role = 'sidecar'
    incarnation = 1
    closed = False

    def __init__(self, net: 'FakeNet', sender: str, vm: str):
        self.net = net
        self.sender = sender
        self.vm = vm

    def send(self, message) -> None:
        receiver = self.net.receivers[self.vm]
        back = FakeLink(self.net, self.vm, self.sender)
        task = asyncio.create_task(receiver(back, message))
        self.net.tasks.add(task)
        task.add_done_callback(self.net.tasks.discard)

    def close(self) -> None:
        self.closed = True


class FakeNet:
    """Connect named receivers; unknown names cannot be reached."""

    def __init__(self):
        self.receivers = {}
        self.tasks = set()

    def links_of(self, sender: str) -> 'FakeLinks':
        return FakeLinks(self, sender)


class FakeLinks:
    """Open links from one VM to the others of a net."""

    def __init__(self, net: FakeNet, sender: str):
        self.net = net
        self.sender = sender

    async def get(self, vm: str) -> FakeLink:
        if vm not in self.net.receivers:
            raise errors.LinkClosed(vm, 'not reachable')
        return FakeLink(self.net, self.sender, vm)

    def drop(self, vm: str) -> None:
        pass


async def wait_for(condition, bound: float = 5.0) -> None:
    """Wait until ``condition()`` holds; fails after ``bound`` seconds."""
    end = time.monotonic() + bound
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f'not true within {bound} s')
        await asyncio.sleep(0.005)
