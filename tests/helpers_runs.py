"""Fakes of a backend server and a link, and submit messages."""

import asyncio
import dataclasses

from arbutusvale import errors
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports

POLL_INTERVAL_S = 0.002
SUBMIT = messages.Submit(
    attempt='r1-1',
    request_id='q1',
    organisation='sul',
    service='booking',
    method='POST',
    path='/bookings',
    headers=[],
    body=b'{}',
    chat='',
    home='',
    first_turn=False,
    key='',
    idempotent=True,
    fingerprint=b'f1',
    time_left=5.0,
    priority=0,
    bundle_offset=0,
    hop=0,
    last_hop=False,
    redirected=False,
    loads=[],
)


def make_submit(**changes) -> messages.Submit:
    return dataclasses.replace(SUBMIT, **changes)


class FakeLink:
    """Link that records the messages sent on it."""

    def __init__(self, vm: str = 'router-1'):
        self.vm = vm
        self.incarnation = 1
        self.role = messages.Role.ROUTER.value
        self.sent: list = []
        self.closed = False

    def send(self, message) -> None:
        if self.closed:
            raise errors.LinkClosed(self.vm, 'closed')
        self.sent.append(message)

    def close(self) -> None:
        self.closed = True

    def list_sent(self, kind: type) -> list:
        return [message for message in self.sent if type(message) is kind]

    @property
    def body(self) -> bytes:
        return b''.join(chunk.data for chunk in self.list_sent(messages.Chunk))


class FakeServer:
    """Backend server that answers with the pieces tests feed per request.

    A server that is not ``up`` is unreachable; it delays that error while
    ``may_refuse`` is cleared.
    """

    def __init__(self):
        self.runs: list[ports.ServerRequest] = []
        self.queues: dict[str, asyncio.Queue] = {}
        self.cancelled: list[str] = []
        self.up = True
        self.may_refuse = asyncio.Event()
        self.may_refuse.set()

    def feed(self, request_id: str, *pieces) -> None:
        queue = self.queues.setdefault(request_id, asyncio.Queue())
        for piece in pieces:
            queue.put_nowait(piece)

    async def run(self, request: ports.ServerRequest):
        if not self.up:
            await self.may_refuse.wait()
            raise errors.ServerUnreachable('fake', 'down')
        self.runs.append(request)
        queue = self.queues.setdefault(request.request_id, asyncio.Queue())
        while (piece := await queue.get()) is not None:
            if isinstance(piece, Exception):
                raise piece
            yield piece

    async def cancel(self, request_id: str) -> None:
        self.cancelled.append(request_id)

    async def healthy(self) -> bool:
        return self.up


HEAD = ports.ServerResponseHead(200, [['Content-Type', 'text/plain']])
EVENTS_HEAD = ports.ServerResponseHead(
    200, [['Content-Type', 'text/event-stream; charset=utf-8']]
)


def whole_answer(*pieces: bytes) -> list:
    return [HEAD, *pieces, None]


async def wait_until(condition, timeout_s: float = 5.0) -> None:
    """Poll a condition until it is true, at most ``timeout_s`` seconds."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while loop.time() < deadline:
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f'condition not met within {timeout_s} s')
