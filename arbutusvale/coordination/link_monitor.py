"""Liveness checks of the links on which attempts are in flight.

One task pings the links on which nothing arrived for a while or an attempt
has not been accepted yet.  A link without a pong in time is closed.
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

CHECK_INTERVAL_S = 0.2
PONG_TIMEOUT_S = 1.0
_IDLE_S = 0.4
_MIN_PING_INTERVAL_S = 0.6
_PING_NUMBER_MODULUS = 24


class MonitoredAttempt(typing.Protocol):
    """An attempt in flight; ``accepted`` once the sidecar replied."""

    accepted: bool


@dataclasses.dataclass(slots=True)
class _MonitoredLink:
    """The attempts on one link, and the times of its messages.

    ``unanswered_ping_at`` is 0 when no ping awaits its pong.
    """

    heard_at: float
    attempts: set[MonitoredAttempt] = dataclasses.field(default_factory=set)
    unanswered_ping_at: float = 0.0
    last_ping_at: float = 0.0

    def all_accepted(self) -> bool:
        """Return whether the sidecar has accepted every attempt."""
        return all(attempt.accepted for attempt in self.attempts)


class LinkMonitor:
    """Monitor of the links on which attempts are in flight."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        interval_s: float = CHECK_INTERVAL_S,
        pong_timeout_s: float = PONG_TIMEOUT_S,
    ):
        self.clock = clock
        self.interval_s = interval_s
        self.pong_timeout_s = pong_timeout_s
        self.pings = 0
        self.silent_links = 0
        self.monitored: dict[ports.Link, _MonitoredLink] = {}

    def add(self, link: ports.Link, attempt: MonitoredAttempt) -> None:
        """Monitor a link while an attempt is in flight on it."""
        monitored = self.monitored.get(link)
        if monitored is None:
            monitored = _MonitoredLink(self.clock())
            self.monitored[link] = monitored
        monitored.attempts.add(attempt)

    def remove(self, link: ports.Link, attempt: MonitoredAttempt) -> None:
        """Stop monitoring a link for an attempt."""
        monitored = self.monitored.get(link)
        if monitored is None:
            return
        monitored.attempts.discard(attempt)
        if not monitored.attempts:
            del self.monitored[link]

    def remove_link(self, link: ports.Link) -> set[MonitoredAttempt]:
        """Stop monitoring a closed link; return its attempts."""
        monitored = self.monitored.pop(link, None)
        return set() if monitored is None else monitored.attempts

    def message_received(
        self, link: ports.Link, message: messages.Message
    ) -> None:
        """Record that a message arrived on a link."""
        monitored = self.monitored.get(link)
        if monitored is None:
            return
        monitored.heard_at = self.clock()
        if isinstance(message, messages.Pong):
            monitored.unanswered_ping_at = 0.0

    async def run(self) -> None:
        """Check the links periodically, until cancelled."""
        last_check_at = self.clock()
        while True:
            await asyncio.sleep(self.interval_s)
            now = self.clock()
            if now - last_check_at > self.pong_timeout_s:
                self.reset_timers()
            last_check_at = now
            self.check_links()

    def reset_timers(self) -> None:
        """Restart all timers after this process itself was frozen."""
        for monitored in self.monitored.values():
            monitored.heard_at = self.clock()
            monitored.unanswered_ping_at = 0.0

    def check_links(self) -> None:
        """Ping idle links and close those without a pong in time."""
        now = self.clock()
        for link, monitored in list(self.monitored.items()):
            self._check_link(link, monitored, now)

    def _check_link(
        self, link: ports.Link, monitored: _MonitoredLink, now: float
    ) -> None:
        """Ping a link, or close it if its last ping was not answered.

        A link on which other messages still arrive gets twice the time.
        """
        idle = now - monitored.heard_at >= _IDLE_S
        if not monitored.unanswered_ping_at:
            if idle or not monitored.all_accepted():
                self._ping(link, monitored, now)
            return
        waited_s = now - monitored.unanswered_ping_at
        if waited_s < self.pong_timeout_s or not (
            idle or waited_s >= 2 * self.pong_timeout_s
        ):
            return
        self.silent_links += 1
        logging.warning(
            'event=link-silent vm=%s waited_s=%.1f attempts=%d',
            link.vm,
            waited_s,
            len(monitored.attempts),
        )
        link.close()

    def _ping(
        self, link: ports.Link, monitored: _MonitoredLink, now: float
    ) -> None:
        """Send a ping; a closed link wakes its attempts anyway."""
        if now - monitored.last_ping_at < _MIN_PING_INTERVAL_S:
            return
        monitored.last_ping_at = monitored.unanswered_ping_at = now
        self.pings += 1
        try:
            link.send(messages.Ping(self.pings % _PING_NUMBER_MODULUS))
        except errors.LinkClosed as error:
            logging.debug('event=unsent cause="%s"', error.problem)
