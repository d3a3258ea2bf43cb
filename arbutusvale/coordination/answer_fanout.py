"""Fan-out of one run's answer to the attempts that wait for it."""

import asyncio
from collections.abc import Callable
import dataclasses

from arbutusvale import errors
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import answers
from arbutusvale.state import chunk_buffer

WINDOW_CHUNKS = 256
WINDOW_BYTES = 512 * 1024
READ_AHEAD_BYTES = 512 * 1024
MAX_STORED_BYTES = 1024 * 1024
# Memory of an answer in small chunks that is kept whole while it runs.
MAX_KEPT_COST_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The backend server's answer is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Incomplete:
    """There is no complete answer; the fields are sent to the caller."""

    outcome: messages.Outcome
    reason: str
    retry_after: float = 0.0


Ending = Complete | Incomplete


@dataclasses.dataclass(eq=False, slots=True)
class Subscriber:
    """The progress of one attempt through a run's answer.

    ``link`` is None, since ``detached_at``, while the router's link is down.
    """

    attempt: str
    link: ports.Link | None
    next_chunk: int = 0
    acknowledged: int = 0
    head_sent: bool = False
    end_sent: bool = False
    detached_at: float = 0.0


class Run:
    """One execution of a request at the backend server, and its answer.

    Several attempts may subscribe to a run, each with its own flow control.
    """

    def __init__(
        self, submit: messages.Submit, key: bytes, clock: Callable[[], float]
    ):
        self.submit = submit
        self.key = key
        self.clock = clock
        self.head: ports.ServerResponseHead | None = None
        self.buffer = chunk_buffer.ChunkBuffer()
        self.ending: Ending | None = None
        self.ended_at = 0.0
        self.kept_bytes = 0
        self.sent_to_server = False
        self.server_unreachable = False
        self.crashed = False
        self.subscribers: dict[str, Subscriber] = {}
        self.space_freed = asyncio.Event()
        self.task: asyncio.Task | None = None

    @property
    def fingerprint(self) -> bytes:
        """The request's fingerprint."""
        return self.submit.fingerprint

    @property
    def is_whole(self) -> bool:
        """Whether the buffer still starts at the answer's first chunk."""
        return self.buffer.first_number == 0

    def set_head(self, head: ports.ServerResponseHead) -> None:
        """Set the answer's head and send it to the subscribers."""
        self.head = head
        self._send_pending_to_all()

    async def add_piece(self, piece: bytes) -> None:
        """Append a piece of the body; blocks while subscribers are slow."""
        self.buffer.add(piece)
        self._send_pending_to_all()
        self._drop_acknowledged()
        while self._is_buffer_full():
            self.space_freed.clear()
            await self.space_freed.wait()

    def finish(self, ending: Ending) -> None:
        """End the run and notify its subscribers."""
        self.ending = ending
        self.ended_at = self.clock()
        self._send_pending_to_all()

    def attach(self, attempt: str, link: ports.Link, next_chunk: int) -> bool:
        """Subscribe an attempt to the answer from ``next_chunk`` on.

        Returns False when these chunks are no longer in the buffer.
        """
        if (
            not self.buffer.first_number
            <= next_chunk
            <= self.buffer.next_number
        ):
            return False
        subscriber = self.subscribers.get(attempt)
        if subscriber is None:
            subscriber = Subscriber(attempt, link)
            self.subscribers[attempt] = subscriber
        subscriber.link = link
        subscriber.next_chunk = next_chunk
        subscriber.acknowledged = max(subscriber.acknowledged, next_chunk)
        subscriber.head_sent = next_chunk > 0
        subscriber.end_sent = False
        self._send_pending(subscriber)
        return True

    def acknowledge(self, attempt: str, next_chunk: int) -> None:
        """Record that an attempt received the chunks below ``next_chunk``."""
        subscriber = self.subscribers[attempt]
        bounded = min(next_chunk, subscriber.next_chunk)
        subscriber.acknowledged = max(subscriber.acknowledged, bounded)
        self._send_pending(subscriber)
        self._drop_acknowledged()
        self.space_freed.set()

    def detach(self, link: ports.Link) -> None:
        """Detach the subscribers of a closed link until they reattach."""
        for subscriber in self.subscribers.values():
            if subscriber.link is link:
                subscriber.link = None
                subscriber.detached_at = self.clock()

    def remove(self, attempt: str) -> None:
        """Unsubscribe an attempt whose answer is no longer wanted."""
        self.subscribers.pop(attempt, None)
        self._drop_acknowledged()
        self.space_freed.set()

    def make_answer(self) -> answers.Answer | None:
        """Return the answer if it is complete and still in the buffer."""
        if self.head is None or not self.is_whole:
            return None
        if not isinstance(self.ending, Complete):
            return None
        return answers.Answer(
            self.fingerprint,
            self.head.status,
            self.head.headers,
            self.buffer.merge(),
            self.buffer.total_bytes,
        )

    def _keeps_whole_answer(self) -> bool:
        """Return whether to keep the whole answer for repeated requests."""
        if not self.key or not self.is_whole:
            return False
        return (
            self.buffer.total_bytes <= MAX_STORED_BYTES
            and self.buffer.cost_bytes <= MAX_KEPT_COST_BYTES
        )

    def _is_buffer_full(self) -> bool:
        """Return whether the slowest subscriber is too far behind."""
        if self._keeps_whole_answer() or not self.subscribers:
            return False
        return self.buffer.cost_bytes > READ_AHEAD_BYTES

    def _drop_acknowledged(self) -> None:
        """Drop the chunks that all subscribers have acknowledged."""
        if self._keeps_whole_answer():
            return
        numbers = [s.acknowledged for s in self.subscribers.values()]
        self.buffer.drop_below(min(numbers, default=self.buffer.next_number))

    def _send_pending_to_all(self) -> None:
        """Send to every subscriber what its window allows."""
        for subscriber in list(self.subscribers.values()):
            self._send_pending(subscriber)

    def _send_pending(self, subscriber: Subscriber) -> None:
        """Send to one subscriber what its window allows."""
        if subscriber.link is None or subscriber.end_sent:
            return
        try:
            self._send_available(subscriber, subscriber.link)
        except errors.LinkClosed:
            subscriber.link = None
            subscriber.detached_at = self.clock()

    def _send_available(
        self, subscriber: Subscriber, link: ports.Link
    ) -> None:
        """Send head, chunks and end as far as they are available."""
        if self.head is not None and not subscriber.head_sent:
            link.send(
                messages.Head(
                    subscriber.attempt, self.head.status, self.head.headers
                )
            )
            subscriber.head_sent = True
        while self._may_send(subscriber):
            number = subscriber.next_chunk
            subscriber.next_chunk += 1
            link.send(
                messages.Chunk(
                    subscriber.attempt, number, self.buffer.get(number)
                )
            )
        match self.ending:
            case Complete() if (
                subscriber.next_chunk == self.buffer.next_number
            ):
                end = messages.End(
                    subscriber.attempt,
                    subscriber.next_chunk,
                    self.buffer.total_bytes,
                )
            case Incomplete(outcome, reason, retry_after):
                end = messages.Failed(
                    subscriber.attempt, outcome.value, reason, retry_after
                )
            case _:
                return
        subscriber.end_sent = True
        link.send(end)

    def _may_send(self, subscriber: Subscriber) -> bool:
        """Return whether the next chunk is available and in the window."""
        if subscriber.next_chunk >= self.buffer.next_number:
            return False
        if subscriber.next_chunk - subscriber.acknowledged >= WINDOW_CHUNKS:
            return False
        unacknowledged = self.buffer.count_bytes(
            subscriber.acknowledged, subscriber.next_chunk
        )
        return unacknowledged < WINDOW_BYTES
