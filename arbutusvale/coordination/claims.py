"""At-most-once execution of non-idempotent requests by claims in a log.

A sidecar appends a claim of the request's idempotency key to the log
service before it runs the request.  The first claim of a key in log order
wins, and each sidecar reads the winner back from the log, so all agree on
it.  Only the process incarnation that made the winning claim may run the
request, once.  A lost append response, a paused sidecar or two routers that
send the same key at once therefore cannot run it twice.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import time

from absl import logging

from arbutusvale import errors
from arbutusvale.coordination import claim_stream
from arbutusvale.protocol import ports

SHARD_COUNT = 1
CLAIM_TIMEOUT_S = 4.0
LOG_DOWN_RETRY_AFTER_S = 2.0
LOGGED_KEY_DIGITS = 12


def read_boot_clock() -> float:
    """Return seconds on a clock that advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """This process may run the key's request once, after ``mark_used``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Used:
    """This process already handed the key's request to its server."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldBy:
    """Another VM won the key and can answer requests for it."""

    vm: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class HolderGone:
    """The winner ended or its claim is too old: the outcome is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was claimed for a request with a different body."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogDown:
    """No claim was read back from the log in time; nothing ran."""

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class NotYet:
    """This process has not read all claims, so no new key may run yet."""

    reason: str
    retry_after: float


Outcome = Won | Used | HeldBy | HolderGone | KeyReused | LogDown | NotYet


class ClaimManager:
    """Client that claims keys in the log and looks up their holders.

    Keys are spread over ``shard_count`` log streams.  ``is_gone`` returns
    whether an incarnation of another VM is known to have ended.  A ``lazy``
    manager starts to read the streams at its first claim, as most sidecars
    of engines never claim a key.
    """

    def __init__(
        self,
        log: ports.LogService,
        vm: str,
        incarnation: int,
        is_gone: Callable[[str, int], bool] = lambda vm, incarnation: False,
        clock: Callable[[], float] = read_boot_clock,
        shard_count: int = SHARD_COUNT,
        lazy: bool = False,
    ):
        self.shards = [
            claim_stream.ClaimStream(
                log, f'claims-{number}', vm, incarnation, clock
            )
            for number in range(shard_count)
        ]
        self.vm = vm
        self.incarnation = incarnation
        self.is_gone = is_gone
        self.clock = clock
        self.following_needed = asyncio.Event()
        if not lazy:
            self.following_needed.set()

    async def run(self) -> None:
        """Read and append to all streams once needed, until cancelled."""
        await self.following_needed.wait()
        async with asyncio.TaskGroup() as tasks:
            for shard in self.shards:
                tasks.create_task(shard.follow())
                tasks.create_task(shard.append_pending())

    @property
    def ready(self) -> bool:
        """Whether this process may claim keys, or has not needed to yet."""
        if not self.following_needed.is_set():
            return True
        return all(shard.check_readiness() is None for shard in self.shards)

    async def wait_until_caught_up(self) -> None:
        """Wait until all claims retained in the log have been read."""
        for shard in self.shards:
            await shard.first_caught_up.wait()

    @property
    def window_s(self) -> float:
        """Seconds for which the log retains a claim; 0 when not known yet."""
        return min(shard.retention_s for shard in self.shards)

    def lookup(self, key: bytes, fingerprint: bytes) -> Outcome | None:
        """Return a key's state as read so far; None when it is unclaimed."""
        claim = self._find_shard(key).index.find(key)
        if claim is None:
            return None
        if claim.fingerprint != fingerprint:
            return KeyReused()
        if claim.vm != self.vm:
            if self.is_gone(claim.vm, claim.incarnation):
                return HolderGone()
            return HeldBy(claim.vm, claim.incarnation)
        if claim.incarnation != self.incarnation:
            return HolderGone()
        if claim.used:
            return Used()
        if claim.usable_until <= self.clock():
            return HolderGone()
        return Won()

    async def claim(
        self, key: bytes, fingerprint: bytes, time_left: float
    ) -> Outcome:
        """Claim a key and return who won it, within ``time_left`` seconds."""
        shard = self._find_shard(key)
        if not self.following_needed.is_set():
            await self._start_following(shard, time_left)
        known = self.lookup(key, fingerprint)
        if known is not None:
            return known
        not_ready = shard.check_readiness()
        if not_ready is not None:
            return NotYet(not_ready.reason, not_ready.retry_after)
        timeout_s = min(time_left, CLAIM_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                await shard.claim(key, fingerprint)
        except (TimeoutError, errors.LogUnavailable):
            logging.info(
                'event=claim-failed key=%s', key.hex()[:LOGGED_KEY_DIGITS]
            )
        known = self.lookup(key, fingerprint)
        if known is None:
            return LogDown(LOG_DOWN_RETRY_AFTER_S)
        return known

    async def _start_following(
        self, shard: claim_stream.ClaimStream, time_left: float
    ) -> None:
        """Start to read the streams and wait for the retained claims."""
        self.following_needed.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(time_left, CLAIM_TIMEOUT_S)):
                await shard.first_caught_up.wait()

    def mark_used(self, key: bytes) -> bool:
        """Mark a won claim as used; False when its request may not run."""
        claim = self._find_shard(key).index.find(key)
        if claim is None or claim.used:
            return False
        if (claim.vm, claim.incarnation) != (self.vm, self.incarnation):
            return False
        if claim.usable_until <= self.clock():
            return False
        claim.used = True
        return True

    def clear_used(self, key: bytes) -> None:
        """Make a claim usable again whose request never reached the server."""
        claim = self._find_shard(key).index.find(key)
        if claim is not None:
            claim.used = False

    def _find_shard(self, key: bytes) -> claim_stream.ClaimStream:
        """Return the stream that stores a key's claims."""
        number = int.from_bytes(key[:4], 'big')
        return self.shards[number % len(self.shards)]
