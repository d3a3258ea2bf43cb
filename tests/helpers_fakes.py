"""In-memory fakes of the log service and of links for unit tests."""

import asyncio
import contextlib
import functools
import time

from arbutusvale import errors
from arbutusvale.protocol import ports


def asynchronous(test):
    """Decorate a coroutine test so that it runs in its own event loop."""

    @functools.wraps(test)
    def run(*arguments, **keyword_arguments):
        asyncio.run(test(*arguments, **keyword_arguments))

    return run


class FakeLog:
    """Log service with its streams in memory and faults as attributes.

    ``down`` fails every call.  ``lose_answers`` is the number of next
    appends that take effect but whose responses are lost.  ``oldest`` is
    the lowest retained offset by stream, ``retention`` what the log reports
    in seconds, and ``delay`` the seconds by which each read is delayed.
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
    """Link that passes each message straight to the receiver of its VM."""

    role = 'sidecar'
    incarnation = 1
    closed = False

    def __init__(self, net: 'FakeNet', sender: str, vm: str):
        self.net = net
        self.sender = sender
        self.vm = vm

    def send(self, message) -> None:
        receiver = self.net.receivers[self.vm]
        reply_link = FakeLink(self.net, self.vm, self.sender)
        task = asyncio.create_task(receiver(reply_link, message))
        self.net.tasks.add(task)
        task.add_done_callback(self.net.tasks.discard)

    def close(self) -> None:
        self.closed = True


class FakeNet:
    """Network of receivers by VM; other names cannot be reached."""

    def __init__(self):
        self.receivers = {}
        self.tasks = set()

    def links_of(self, sender: str) -> 'FakeLinks':
        return FakeLinks(self, sender)


class FakeLinks:
    """Links from one VM to the others of a network."""

    def __init__(self, net: FakeNet, sender: str):
        self.net = net
        self.sender = sender

    async def get(self, vm: str) -> FakeLink:
        if vm not in self.net.receivers:
            raise errors.LinkClosed(vm, 'not reachable')
        return FakeLink(self.net, self.sender, vm)

    def drop(self, vm: str) -> None:
        pass


async def wait_for(condition, timeout_s: float = 5.0) -> None:
    """Wait until ``condition()`` is true; fail after ``timeout_s``."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f'not true within {timeout_s} s')
        await asyncio.sleep(0.005)
