"""Claim keys of non-idempotent requests in the log service before a run.

The first claim of a key in log order wins, as read back from the log, so
every reader agrees on the winner.  A lost append answer, a paused sidecar
or two racing routers cannot make a key run twice: only the incarnation of
the winning claim may run it, and it does so once.
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

SHARDS = 1
CLAIM_TIMEOUT_S = 4.0
RETRY_AFTER_S = 2.0
SHOWN_DIGITS = 12


def read_clock() -> float:
    """Return seconds on a clock that counts a suspended VM's time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """Report that this process may run the key, once, after ``mark_used``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Used:
    """Report that this process gave the key's request to its server."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldBy:
    """Report that another VM holds the key and can answer for it."""

    vm: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class HolderGone:
    """Report that the holder is gone: the outcome stays unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReused:
    """Report that the key stands for a request with another body."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogDown:
    """Report that the log service took no claim in time; nothing ran."""

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class NotYet:
    """Report that claims are missing here, so nothing may run yet."""

    reason: str
    retry_after: float


Outcome = Won | Used | HeldBy | HolderGone | KeyReused | LogDown | NotYet


class ClaimManager:
    """Claim keys in the log and know who holds which.

    ``is_gone`` tells whether an incarnation of another VM is known to have
    ended.  A ``lazy`` keeper follows the streams from the first claim on,
    as most sidecars of engines never claim a key.
    """

    def __init__(
        self,
        log: ports.LogService,
        vm: str,
        incarnation: int,
        is_gone: Callable[[str, int], bool] = lambda vm, incarnation: False,
        clock: Callable[[], float] = read_clock,
        shards: int = SHARDS,
        lazy: bool = False,
    ):
        self.shards = [
            claim_stream.ClaimStream(
                log, f'claims-{number}', vm, incarnation, clock
            )
            for number in range(shards)
        ]
        self.vm = vm
        self.incarnation = incarnation
        self.is_gone = is_gone
        self.clock = clock
        self.needed = asyncio.Event()
        if not lazy:
            self.needed.set()

    async def run(self) -> None:
        """Follow and append to all streams once needed, until cancelled."""
        await self.needed.wait()
        async with asyncio.TaskGroup() as tasks:
            for shard in self.shards:
                tasks.create_task(shard.follow())
                tasks.create_task(shard.write())

    @property
    def ready(self) -> bool:
        """Tell whether all claims that are needed have been read."""
        if not self.needed.is_set():
            return True
        return all(shard.find_hindrance() is None for shard in self.shards)

    async def wait_until_caught_up(self) -> None:
        """Wait until all retained claims have been read."""
        for shard in self.shards:
            await shard.first_caught_up.wait()

    @property
    def window_s(self) -> float:
        """Seconds for which a claim protects its key; 0 when not known."""
        return min(shard.retention_s for shard in self.shards)

    def lookup(self, key: bytes, fingerprint: bytes) -> Outcome | None:
        """Tell who holds a key by what was read; None when nobody does."""
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
        """Claim a key and wait, at most ``time_left`` s, who holds it."""
        shard = self._find_shard(key)
        if not self.needed.is_set():
            await self._begin(shard, time_left)
        known = self.lookup(key, fingerprint)
        if known is not None:
            return known
        hindrance = shard.find_hindrance()
        if hindrance is not None:
            return NotYet(hindrance.reason, hindrance.retry_after)
        timeout_s = min(time_left, CLAIM_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                await shard.claim(key, fingerprint)
        except (TimeoutError, errors.LogUnavailable):
            logging.info('event=claim-failed key=%s', key.hex()[:SHOWN_DIGITS])
        known = self.lookup(key, fingerprint)
        if known is None:
            return LogDown(RETRY_AFTER_S)
        return known

    async def _begin(
        self, shard: claim_stream.ClaimStream, time_left: float
    ) -> None:
        """Read the retained claims at the first need of them."""
        self.needed.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(time_left, CLAIM_TIMEOUT_S)):
                await shard.first_caught_up.wait()

    def mark_used(self, key: bytes) -> bool:
        """Mark a won key as run here; False when it may not run."""
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
        """Let a used key run after all, as its server never got it."""
        claim = self._find_shard(key).index.find(key)
        if claim is not None:
            claim.used = False

    def _find_shard(self, key: bytes) -> claim_stream.ClaimStream:
        """Find the stream that holds a key's claims."""
        number = int.from_bytes(key[:4], 'big')
        return self.shards[number % len(self.shards)]
