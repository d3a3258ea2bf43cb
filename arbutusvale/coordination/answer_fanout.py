"""Relay one run's answer to the attempts that wait for it."""

import asyncio
from collections.abc import Callable
import dataclasses

from arbutusvale import errors
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import answers
from arbutusvale.state import runbuffer

WINDOW_CHUNKS = 256
WINDOW_BYTES = 512 * 1024
READ_AHEAD_BYTES = 512 * 1024
MAX_STORED_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Report that the backend server's answer is whole."""


@dataclasses.dataclass(frozen=True, slots=True)
class Incomplete:
    """Report that there is no whole answer, and what a caller is told."""

    outcome: messages.Outcome
    reason: str
    retry_after: float = 0.0


Ending = Complete | Incomplete


@dataclasses.dataclass(eq=False, slots=True)
class Subscriber:
    """Hold how far one attempt got with a run's answer.

    ``link`` is None, since ``detached_at``, while the router is away.
    """

    attempt: str
    link: ports.Link | None
    next_chunk: int = 0
    acknowledged: int = 0
    head_sent: bool = False
    end_sent: bool = False
    detached_at: float = 0.0


class Run:
    """Hold one request at the backend server and its answer.

    Several attempts may follow a run, each at its own pace.
    """

    def __init__(
        self, submit: messages.Submit, key: bytes, clock: Callable[[], float]
    ):
        self.submit = submit
        self.key = key
        self.clock = clock
        self.head: ports.ServerHead | None = None
        self.buffer = runbuffer.RunBuffer()
        self.ending: Ending | None = None
        self.ended_at = 0.0
        self.kept_bytes = 0
        self.sent_to_server = False
        self.server_unreachable = False
        self.crashed = False
        self.subscribers: dict[str, Subscriber] = {}
        self.room = asyncio.Event()
        self.task: asyncio.Task | None = None

    @property
    def fingerprint(self) -> bytes:
        """Fingerprint of the request."""
        return self.submit.fingerprint

    @property
    def is_whole(self) -> bool:
        """Tell whether the answer is held from its first chunk on."""
        return self.buffer.first == 0

    def set_head(self, head: ports.ServerHead) -> None:
        """Take the answer's head and send it on."""
        self.head = head
        self._advance_all()

    async def add_piece(self, piece: bytes) -> None:
        """Take a piece of the body; waits while readers are slow."""
        self.buffer.add(piece)
        self._advance_all()
        self._trim()
        while self._is_ahead():
            self.room.clear()
            await self.room.wait()

    def finish(self, ending: Ending) -> None:
        """End the run and tell its attempts."""
        self.ending = ending
        self.ended_at = self.clock()
        self._advance_all()

    def attach(self, attempt: str, link: ports.Link, next_chunk: int) -> bool:
        """Send the answer to an attempt from ``next_chunk`` on.

        False when those chunks are no longer held.
        """
        if not self.buffer.first <= next_chunk <= self.buffer.next_number:
            return False
        stream = self.subscribers.get(attempt)
        if stream is None:
            stream = Subscriber(attempt, link)
            self.subscribers[attempt] = stream
        stream.link = link
        stream.next_chunk = next_chunk
        stream.acknowledged = max(stream.acknowledged, next_chunk)
        stream.head_sent = next_chunk > 0
        stream.end_sent = False
        self._advance(stream)
        return True

    def acknowledge(self, attempt: str, next_chunk: int) -> None:
        """Free the chunks below ``next_chunk`` for one attempt."""
        stream = self.subscribers[attempt]
        bounded = min(next_chunk, stream.next_chunk)
        stream.acknowledged = max(stream.acknowledged, bounded)
        self._advance(stream)
        self._trim()
        self.room.set()

    def detach(self, link: ports.Link) -> None:
        """Keep the attempts of a closed link until they reattach."""
        for stream in self.subscribers.values():
            if stream.link is link:
                stream.link = None
                stream.detached_at = self.clock()

    def remove(self, attempt: str) -> None:
        """Forget an attempt whose caller is gone."""
        self.subscribers.pop(attempt, None)
        self._trim()
        self.room.set()

    def make_answer(self) -> answers.Answer | None:
        """Return the whole answer, if it is whole and still held."""
        if self.head is None or not self.is_whole:
            return None
        if not isinstance(self.ending, Complete):
            return None
        return answers.Answer(
            self.fingerprint,
            self.head.status,
            self.head.headers,
            self.buffer.chunks,
            self.buffer.total_bytes,
        )

    def _stores(self) -> bool:
        """Tell whether the answer is kept whole for re-sent requests."""
        if not self.key or not self.is_whole:
            return False
        return self.buffer.total_bytes <= MAX_STORED_BYTES

    def _is_ahead(self) -> bool:
        """Tell whether the slowest reader is too far behind."""
        if self._stores() or not self.subscribers:
            return False
        return self.buffer.held_bytes > READ_AHEAD_BYTES

    def _trim(self) -> None:
        """Drop the chunks that all attempts have acknowledged."""
        if self._stores():
            return
        numbers = [s.acknowledged for s in self.subscribers.values()]
        self.buffer.drop_below(min(numbers, default=self.buffer.next_number))

    def _advance_all(self) -> None:
        """Send every attempt what its window allows."""
        for stream in list(self.subscribers.values()):
            self._advance(stream)

    def _advance(self, stream: Subscriber) -> None:
        """Send one attempt what its window allows."""
        if stream.link is None or stream.end_sent:
            return
        try:
            self._send(stream, stream.link)
        except errors.LinkClosed:
            stream.link = None
            stream.detached_at = self.clock()

    def _send(self, stream: Subscriber, link: ports.Link) -> None:
        """Send head, chunks and end as far as they are there."""
        if self.head is not None and not stream.head_sent:
            link.send(
                messages.Head(
                    stream.attempt, self.head.status, self.head.headers
                )
            )
            stream.head_sent = True
        while self._may_send(stream):
            number = stream.next_chunk
            stream.next_chunk += 1
            link.send(
                messages.Chunk(stream.attempt, number, self.buffer.get(number))
            )
        match self.ending:
            case Complete() if stream.next_chunk == self.buffer.next_number:
                end = messages.End(
                    stream.attempt, stream.next_chunk, self.buffer.total_bytes
                )
            case Incomplete(outcome, reason, retry_after):
                end = messages.Failed(
                    stream.attempt, outcome.value, reason, retry_after
                )
            case _:
                return
        stream.end_sent = True
        link.send(end)

    def _may_send(self, stream: Subscriber) -> bool:
        """Tell whether the next chunk is there and within the window."""
        if stream.next_chunk >= self.buffer.next_number:
            return False
        if stream.next_chunk - stream.acknowledged >= WINDOW_CHUNKS:
            return False
        unacknowledged = self.buffer.count_bytes(
            stream.acknowledged, stream.next_chunk
        )
        return unacknowledged < WINDOW_BYTES
