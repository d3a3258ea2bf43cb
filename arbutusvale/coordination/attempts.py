"""Attempts of a router at sidecars, which survive broken links.

After a link closed, an attempt reattaches over a new link and resumes the
answer from the first missing chunk.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time

from absl import logging

from arbutusvale import errors
from arbutusvale.coordination import link_monitor
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports

_CREDIT_INTERVAL_CHUNKS = 8
_MAX_GAP_REQUESTS = 8
_SHORT_REATTACH_DELAYS_S = (0.0, 0.1)
_EXTENDED_REATTACH_DELAYS_S = (0.0, 0.1, 0.3, 0.6, 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarLost:
    """The sidecar could not be reached again; the attempt may have run."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The deadline passed before the answer was complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class CorruptAnswer:
    """The counts at an answer's end do not match what arrived."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class _LinkClosed:
    """Inbox item that wakes an attempt whose link was closed."""

    link: ports.Link


Event = (
    messages.Accepted
    | messages.Refused
    | messages.Redirect
    | messages.Head
    | messages.Chunk
    | messages.End
    | messages.Failed
    | SidecarLost
    | DeadlineExceeded
    | CorruptAnswer
)


class Attempt:
    """One attempt at one sidecar, possibly over several links in turn.

    With ``extended_reattach`` it tries longer to reach its sidecar again,
    as the request cannot be retried elsewhere.  ``closed_by_sidecar`` is
    set once the sidecar has sent the attempt's last message.
    """

    def __init__(
        self,
        registry: 'AttemptRegistry',
        vm: str,
        link: ports.Link,
        attempt_id: str,
    ):
        self.registry = registry
        self.vm = vm
        self.link = link
        self.incarnation = link.incarnation
        self.attempt_id = attempt_id
        self.inbox: asyncio.Queue = asyncio.Queue()
        self.accepted = False
        self.head_seen = False
        self.next_chunk = 0
        self.received_bytes = 0
        self.credited_chunks = 0
        self.reattach_count = 0
        self.gap_count = 0
        self.extended_reattach = True
        self.closed_by_sidecar = False

    async def next_event(self, deadline: float) -> Event:
        """Wait for the next event; ``deadline`` is in the loop's time."""
        while True:
            message = await self._receive(deadline)
            match message:
                case None:
                    return DeadlineExceeded()
                case _LinkClosed(link=link):
                    if link is not self.link:
                        continue
                    lost = await self._reattach(deadline)
                    if lost is not None:
                        return lost
                case messages.Head():
                    if not self.head_seen:
                        self.head_seen = True
                        return message
                case messages.Chunk():
                    if self._accept_chunk(message):
                        return message
                case messages.End():
                    event = self._check_end(message)
                    if event is not None:
                        self.closed_by_sidecar = True
                        return event
                case _:
                    self.closed_by_sidecar = not isinstance(
                        message, messages.Accepted
                    )
                    return message

    def acknowledge(self) -> None:
        """Grant the sidecar credit for chunks that were consumed."""
        if self.next_chunk - self.credited_chunks >= _CREDIT_INTERVAL_CHUNKS:
            self._send_credit()

    def close(self, cancel: bool) -> None:
        """Deregister the attempt; later frames for it are dropped.

        ``cancel`` also sends a Cancel, unless the sidecar has closed it.
        """
        if cancel and not self.closed_by_sidecar:
            self._send(messages.Cancel(self.attempt_id))
        self.registry.forget(self)

    def _send_credit(self) -> None:
        """Acknowledge all chunks received so far."""
        self.credited_chunks = self.next_chunk
        self._send(messages.Credit(self.attempt_id, self.next_chunk))

    def _send(self, message: messages.Message) -> None:
        """Send a message that needs no resend if the link is lost."""
        try:
            self.link.send(message)
        except errors.LinkClosed as error:
            logging.debug('event=unsent cause="%s"', error.problem)

    async def _receive(self, deadline: float):
        """Wait for the next inbox item; None when the deadline passed."""
        if not self.inbox.empty():
            return self.inbox.get_nowait()
        try:
            async with asyncio.timeout_at(deadline):
                return await self.inbox.get()
        except TimeoutError:
            return None

    def _accept_chunk(self, chunk: messages.Chunk) -> bool:
        """Count a chunk; False if out of order.  A gap requests a resend."""
        if chunk.number > self.next_chunk:
            self._request_missing_chunks()
        if chunk.number != self.next_chunk:
            return False
        self.next_chunk += 1
        self.received_bytes += len(chunk.data)
        return True

    def _request_missing_chunks(self) -> bool:
        """Request the missing chunks; False after too many requests."""
        self.gap_count += 1
        if self.gap_count > _MAX_GAP_REQUESTS:
            return False
        self._send(messages.Reattach(self.attempt_id, self.next_chunk))
        return True

    def _check_end(
        self, end: messages.End
    ) -> messages.End | CorruptAnswer | None:
        """Verify the counts; None when missing chunks were requested."""
        if end.chunks > self.next_chunk and self._request_missing_chunks():
            return None
        self._send_credit()
        if end.chunks != self.next_chunk:
            return CorruptAnswer(f'{self.next_chunk} of {end.chunks} chunks')
        if end.total_bytes != self.received_bytes:
            return CorruptAnswer(
                f'{self.received_bytes} of {end.total_bytes} bytes'
            )
        return end

    def _reattach_delays(self) -> tuple[float, ...]:
        """Return the delay in seconds before each try to reattach."""
        return (
            _EXTENDED_REATTACH_DELAYS_S
            if self.extended_reattach
            else _SHORT_REATTACH_DELAYS_S
        )

    async def _reattach(self, deadline: float) -> SidecarLost | None:
        """Resume over a new link; SidecarLost when that is impossible."""
        cause = 'timeout'
        for delay in self._reattach_delays():
            await asyncio.sleep(delay)
            if asyncio.get_running_loop().time() >= deadline:
                break
            try:
                link = await self.registry.links.get(self.vm)
                if link.incarnation != self.incarnation:
                    return SidecarLost('the sidecar was restarted')
                self.link = link
                self.registry.monitor.add(link, self)
                link.send(messages.Reattach(self.attempt_id, self.next_chunk))
            except errors.LinkClosed as error:
                cause = error.problem
                continue
            self.reattach_count += 1
            logging.info(
                'event=reattach attempt=%s vm=%s next_chunk=%d',
                self.attempt_id,
                self.vm,
                self.next_chunk,
            )
            return None
        return SidecarLost(cause)


class AttemptRegistry:
    """The attempts in flight; implements :class:`ports.LinkHandler`."""

    def __init__(
        self,
        *,
        vm: str,
        incarnation: int,
        links: ports.Links | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.id_prefix = f'{vm}.{incarnation:x}'
        self.links = links
        self.count = 0
        self.dropped_frames = 0
        self.tasks: set[asyncio.Task] = set()
        self.by_id: dict[str, Attempt] = {}
        self.monitor = link_monitor.LinkMonitor(clock)

    def next_attempt_id(self) -> str:
        """Return a new attempt id, unique in the fleet."""
        self.count += 1
        return f'{self.id_prefix}.{self.count:x}'

    async def submit(self, vm: str, submit: messages.Submit) -> Attempt:
        """Send a Submit; raise :class:`errors.LinkClosed` when unsent."""
        link = await self.links.get(vm)
        attempt = Attempt(self, vm, link, submit.attempt)
        self.by_id[attempt.attempt_id] = attempt
        self.monitor.add(link, attempt)
        try:
            link.send(submit)
        except errors.LinkClosed:
            self.forget(attempt)
            raise
        return attempt

    def send_best_effort(self, vm: str, message: messages.Message) -> None:
        """Send a message in the background; it may be lost."""
        task = asyncio.create_task(self._send_best_effort(vm, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_best_effort(
        self, vm: str, message: messages.Message
    ) -> None:
        """Open a link if needed and send; failures are only logged."""
        try:
            link = await self.links.get(vm)
            link.send(message)
        except errors.LinkClosed as error:
            logging.info(
                'event=unsent kind=%s cause="%s"',
                type(message).__name__,
                error.problem,
            )

    def forget(self, attempt: Attempt) -> None:
        """Deregister an attempt and stop monitoring its link for it."""
        self.by_id.pop(attempt.attempt_id, None)
        self.monitor.remove(attempt.link, attempt)

    async def receive(
        self, link: ports.Link, message: messages.Message
    ) -> None:
        """Queue a message for its attempt; drop and count unknown ones."""
        self.monitor.message_received(link, message)
        if isinstance(message, messages.Pong):
            return
        attempt = self.by_id.get(getattr(message, 'attempt', ''))
        if attempt is None or attempt.link is not link:
            self.dropped_frames += 1
            return
        attempt.accepted = True
        attempt.inbox.put_nowait(message)

    async def on_link_closed(self, link: ports.Link) -> None:
        """Wake the attempts on a link that was closed."""
        for attempt in self.monitor.remove_link(link):
            attempt.inbox.put_nowait(_LinkClosed(link))

    async def run(self) -> None:
        """Monitor the links with attempts in flight, until cancelled."""
        await self.monitor.run()
