"""Find links that went silent for good while attempts depend on them.

One task pings the links with attempts in flight on which nothing arrived
for a while or an attempt is not accepted.  A link that returns no pong is
closed.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time
import typing

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports

WATCH_INTERVAL_S = 0.2
SILENCE_S = 1.0
_QUIET_S = 0.4
_PING_PAUSE_S = 0.6
_PING_NUMBERS = 24


class WatchedAttempt(typing.Protocol):
    """Tell whether the sidecar has confirmed an attempt."""

    accepted: bool


@dataclasses.dataclass(slots=True)
class _Watched:
    """Hold the attempts on one link and when it was last heard."""

    heard_at: float
    attempts: set[WatchedAttempt] = dataclasses.field(default_factory=set)
    pinged_at: float = 0.0
    last_ping: float = 0.0

    def all_accepted(self) -> bool:
        """Tell whether the sidecar has confirmed every attempt."""
        return all(attempt.accepted for attempt in self.attempts)


class LinkWatch:
    """Watch the links on which attempts are in flight."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        interval_s: float = WATCH_INTERVAL_S,
        silence_s: float = SILENCE_S,
    ):
        self.clock = clock
        self.interval_s = interval_s
        self.silence_s = silence_s
        self.pings = 0
        self.silent_links = 0
        self.watched: dict[ports.Link, _Watched] = {}

    def add(self, link: ports.Link, attempt: WatchedAttempt) -> None:
        """Expect signs of life on a link for the sake of an attempt."""
        watched = self.watched.get(link)
        if watched is None:
            watched = _Watched(self.clock())
            self.watched[link] = watched
        watched.attempts.add(attempt)

    def remove(self, link: ports.Link, attempt: WatchedAttempt) -> None:
        """Stop to watch a link for an attempt."""
        watched = self.watched.get(link)
        if watched is None:
            return
        watched.attempts.discard(attempt)
        if not watched.attempts:
            del self.watched[link]

    def take_ended(self, link: ports.Link) -> set[WatchedAttempt]:
        """Stop to watch a link that ended; returns its attempts."""
        watched = self.watched.pop(link, None)
        return set() if watched is None else watched.attempts

    def hear(self, link: ports.Link, message: messages.Message) -> None:
        """Note that a message arrived."""
        watched = self.watched.get(link)
        if watched is None:
            return
        watched.heard_at = self.clock()
        if isinstance(message, messages.Pong):
            watched.pinged_at = 0.0

    async def run(self) -> None:
        """Check the links again and again, until cancelled."""
        last = self.clock()
        while True:
            await asyncio.sleep(self.interval_s)
            now = self.clock()
            if now - last > self.silence_s:
                self.excuse_silence()
            last = now
            self.check_all()

    def excuse_silence(self) -> None:
        """Restart the waits, as this process itself stood still."""
        for watched in self.watched.values():
            watched.heard_at = self.clock()
            watched.pinged_at = 0.0

    def check_all(self) -> None:
        """Ping quiet links and close those that answer no ping."""
        now = self.clock()
        for link, watched in list(self.watched.items()):
            self._check(link, watched, now)

    def _check(self, link: ports.Link, watched: _Watched, now: float) -> None:
        """Ping a link, or close one that did not answer the last ping."""
        quiet = now - watched.heard_at >= _QUIET_S
        if not watched.pinged_at:
            if quiet or not watched.all_accepted():
                self._ping(link, watched, now)
            return
        waited = now - watched.pinged_at
        if waited < self.silence_s or not (
            quiet or waited >= 2 * self.silence_s
        ):
            return
        self.silent_links += 1
        logging.warning(
            'event=link-silent vm=%s waited_s=%.1f attempts=%d',
            link.vm,
            waited,
            len(watched.attempts),
        )
        link.close()

    def _ping(self, link: ports.Link, watched: _Watched, now: float) -> None:
        """Send a ping; a closed link wakes its attempts anyway."""
        if now - watched.last_ping < _PING_PAUSE_S:
            return
        watched.last_ping = watched.pinged_at = now
        self.pings += 1
        try:
            link.send(messages.Ping(self.pings % _PING_NUMBERS))
        except errors.LinkClosed as error:
            logging.debug('event=unsent cause="%s"', error.problem)
