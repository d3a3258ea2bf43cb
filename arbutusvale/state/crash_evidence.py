"""Evidence on which requests or prompt parts crash backend servers.

All that was in flight at a crash is suspected, most of it wrongly.  What
crashes servers is never completed, so one completed request clears each of its
parts of the crashes before.  The rest is attributed to as few suspects as
explain the crashes; what one of them explains counts against nobody else.

A limit holds beside that: a request in flight at ``MAX_REQUEST_CRASHES`` since
it last succeeded is blocked, whatever else may explain them, but for
``MAX_FAILED_TRIALS`` trials.

Suspects are digests of whole requests and of prompt parts, both within one
organisation.  Times are those of a monotonic clock, in seconds.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

import xxhash

REQUEST_CRASHES = 2
MAX_REQUEST_CRASHES = 3
PART_CRASHES = 4
# From so many on a part that was never completed isn't sent once more.
DOUBTFUL_PART_CRASHES = 2
# What has been completed before is rarely the cause.
PROVEN_CRASHES = 6
# Servers that crash together count once against a part: they were stopped.
SAME_CAUSE_GAP_S = 0.25
RETENTION_S = 3600.0
EXPIRY_INTERVAL_S = 10.0
# Reports of one crash may differ by this; a server needs longer to restart.
SAME_CRASH_S = 0.25
# Weak evidence is tried again sooner, soonest on requests that succeeded.
TRIAL_INTERVAL_S = 600.0
WEAK_TRIAL_INTERVAL_S = 15.0
PROVEN_REQUEST_TRIAL_INTERVAL_S = 1.0
WEAK_CRASHES = 4
# A blocked request that crashes a server was let through as a trial.
MAX_FAILED_TRIALS = 2
# A pool of servers that a request is sent to at once falls within this time.
BLOCKING_DELAY_S = 1.0
MAX_CRASHES = 128
MAX_SUSPECTS_PER_CRASH = 512
MAX_SUSPECTS = 2048
MAX_PROVEN_PARTS = 1024
MAX_PROVEN_REQUESTS = 256

_REQUEST = b'r'
_PART = b'p'
_LONG_AGO = float('-inf')


def digest_request(fingerprint: bytes) -> bytes:
    """Return the digest of a whole request."""
    return _REQUEST + fingerprint


def digest_part(organisation: str, model: str, part: str) -> bytes:
    """Return the digest of a prompt part of an organisation."""
    text = f'{organisation}\0{model}\0{part}'.encode()
    return _PART + xxhash.xxh3_64_digest(text)


def get_fingerprint(digest: bytes) -> bytes:
    """Return the fingerprint in the digest of a whole request."""
    return digest.removeprefix(_REQUEST)


def is_part(digest: bytes) -> bool:
    """Return whether a digest is that of a prompt part."""
    return digest.startswith(_PART)


@dataclasses.dataclass(slots=True)
class Crash:
    """The crash of a server's incarnation, and who is still suspected.

    An incarnation crashes more than once as far as a router can tell that
    doesn't know of the restart yet.
    """

    incarnation: str
    occurred_at: float
    suspects: set[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class TrialWindow:
    """A time in which a blocked suspect may be let through once.

    ``number`` counts those since its last crash at ``crashed_at``.
    """

    crashed_at: float
    number: int


class CrashEvidence:
    """Crashes with their suspects, bounded in number and age.

    Evidence of several routers may be added in any order and more than once.
    The keys of crashes have a meaning within this process only.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.crashes: dict[int, Crash] = {}
        self.crash_count = 0
        self.crashes_by_suspect: dict[bytes, set[int]] = {}
        # When each was last completed, in order of that time.
        self.completed_at: dict[bytes, float] = {}
        # Repeated requests completed while they were no suspects.
        self.completed_requests: dict[bytes, None] = {}
        # The windows in which this router made its last trials.
        self.trials: dict[bytes, TrialWindow] = {}
        # Each culprit is a set of suspects that nothing tells apart.
        self.culprits: list[frozenset[bytes]] = []
        self.changed = False
        self.next_expiry_at = clock()

    def add(
        self,
        incarnation: str,
        occurred_at: float,
        suspects: Iterable[bytes],
        proven: Collection[bytes] = (),
    ) -> int:
        """Add suspects of a crash; return its key.

        ``proven`` are parts that a peer knows to have been completed before.
        """
        self._expire()
        crash_id = self._find_crash(incarnation, occurred_at)
        crash = self.crashes[crash_id]
        if occurred_at < crash.occurred_at:
            crash.occurred_at = occurred_at
            self._merge_duplicates(crash_id)
        for part in proven:
            self.completed_at.setdefault(part, _LONG_AGO)
        self._bound_proven_parts()
        for digest in suspects:
            if digest in crash.suspects or self._is_cleared(digest, crash):
                continue
            if not self._make_room(crash, digest):
                continue
            crash.suspects.add(digest)
            self.crashes_by_suspect.setdefault(digest, set()).add(crash_id)
            self.changed = True
        return crash_id

    def find_crash_time(self, incarnation: str, since: float) -> float | None:
        """Return when an incarnation crashed first since then, if known."""
        return min(
            (
                crash.occurred_at
                for crash in self.crashes.values()
                if crash.incarnation == incarnation
                and crash.occurred_at >= since
            ),
            default=None,
        )

    def link(self, suspect: bytes, alias: bytes) -> list[int]:
        """Add an alias to a suspect's crashes; return the keys of new ones.

        It is another digest of the same request.
        """
        crash_ids = self.crashes_by_suspect.get(suspect, set())
        added = crash_ids - self.crashes_by_suspect.get(alias, set())
        if added:
            self.crashes_by_suspect.setdefault(alias, set()).update(added)
            self.changed = True
        for crash_id in added:
            self.crashes[crash_id].suspects.add(alias)
        if self.is_proven(suspect):
            self.record_progress(alias)
        return sorted(added)

    def record_completion(
        self, digest: bytes, completed_at: float | None = None
    ) -> bool:
        """Clear a completed request or part; return whether it was suspected.

        Only crashes before ``completed_at``, by default now, are cleared.
        """
        if completed_at is None:
            completed_at = self.clock()
        crash_ids = self.crashes_by_suspect.get(digest)
        if crash_ids is None and not is_part(digest):
            self._remember_request(digest)
            return False
        before = self.completed_at.pop(digest, _LONG_AGO)
        self.completed_at[digest] = max(before, completed_at)
        self._bound_proven_parts()
        if crash_ids is None:
            return False
        cleared = [
            crash_id
            for crash_id in crash_ids
            if self.crashes[crash_id].occurred_at <= completed_at
        ]
        for crash_id in cleared:
            self._remove(digest, crash_id)
        return bool(cleared)

    def _share_completions(self, digests: Iterable[bytes]) -> None:
        """Clear all digests of one request where one of them was completed.

        Crashes counted against a request under one key reach its other keys
        by the digest that they have in common.
        """
        requests = [digest for digest in digests if not is_part(digest)]
        completed_at = max(
            (self.completed_at.get(digest, _LONG_AGO) for digest in requests),
            default=_LONG_AGO,
        )
        for digest in requests:
            if any(
                self.crashes[crash_id].occurred_at <= completed_at
                for crash_id in self.crashes_by_suspect.get(digest, ())
            ):
                self.record_completion(digest, completed_at)

    def record_progress(self, digest: bytes) -> None:
        """Record that a server works on a part and didn't crash at once."""
        self.completed_at.setdefault(digest, _LONG_AGO)
        self._bound_proven_parts()

    def is_proven(self, digest: bytes) -> bool:
        """Return whether a server is known to have borne a suspect."""
        return digest in self.completed_at or digest in self.completed_requests

    def is_suspect(self, digest: bytes) -> bool:
        """Return whether a crash counts against a request or part."""
        return digest in self.crashes_by_suspect

    def is_doubtful(self, digests: Iterable[bytes]) -> bool:
        """Return whether a request may well crash the next server."""
        return any(
            is_part(digest)
            and len(self.crashes_by_suspect.get(digest, ()))
            >= DOUBTFUL_PART_CRASHES
            and not self.is_proven(digest)
            for digest in digests
        )

    def find_culprit(
        self, digests: Collection[bytes]
    ) -> frozenset[bytes] | None:
        """Return what crashes servers among a request's digests, or None.

        Of suspects that nothing tells apart a request must hold all: one
        that holds some of them is needed to tell them apart.
        """
        if not self.crashes_by_suspect:
            return None
        self._expire()
        self._share_completions(digests)
        for digest in digests:
            if (
                not is_part(digest)
                and self.count_crashes(digest) >= MAX_REQUEST_CRASHES
            ):
                return frozenset((digest,))
        if self.changed:
            self.culprits = self._find_culprits()
            self.changed = False
        for culprit in self.culprits:
            if culprit.issubset(digests):
                return culprit
        return None

    def count_crashes(self, digest: bytes) -> int:
        """Return how many crashes count against a suspect."""
        return len(self.crashes_by_suspect.get(digest, ()))

    def find_trial_window(
        self, culprit: frozenset[bytes]
    ) -> TrialWindow | None:
        """Return the window in which a culprit may be tried now, or None.

        Each window is twice as long as the one before.
        """
        digest = min(culprit)
        crash_times = sorted(
            self.crashes[key].occurred_at
            for key in self.crashes_by_suspect[digest]
        )
        interval_s = self._get_trial_interval_s(culprit, crash_times)
        if interval_s is None:
            return None
        elapsed_s = self.clock() - crash_times[-1]
        if elapsed_s < interval_s:
            return None
        number = int(math.log2(elapsed_s / interval_s + 1))
        window = TrialWindow(crash_times[-1], number)
        return None if self.trials.get(digest) == window else window

    def spend_trial(
        self, culprit: frozenset[bytes], window: TrialWindow
    ) -> None:
        """Record that a culprit is tried in a window."""
        self.trials = {
            digest: spent
            for digest, spent in self.trials.items()
            if digest in self.crashes_by_suspect
        }
        self.trials[min(culprit)] = window

    def _get_trial_interval_s(
        self, culprit: frozenset[bytes], crash_times: list[float]
    ) -> float | None:
        """Return the time from a crash to a trial, None for no more trials."""
        digest = min(culprit)
        proven = all(self.is_proven(digest) for digest in culprit)
        if is_part(digest):
            weak_crashes = PROVEN_CRASHES if proven else WEAK_CRASHES
            is_weak = len(crash_times) <= weak_crashes
            return WEAK_TRIAL_INTERVAL_S if is_weak else TRIAL_INTERVAL_S
        blocked_at = crash_times[:MAX_REQUEST_CRASHES][-1] + BLOCKING_DELAY_S
        failed_trials = sum(at > blocked_at for at in crash_times)
        if failed_trials >= MAX_FAILED_TRIALS:
            return None
        if proven:
            return PROVEN_REQUEST_TRIAL_INTERVAL_S
        return WEAK_TRIAL_INTERVAL_S

    def list_unexplained(self) -> list[int]:
        """List the keys of crashes with suspects, newest first."""
        self._expire()
        crash_ids = [
            key for key, crash in self.crashes.items() if crash.suspects
        ]
        crash_ids.sort(
            key=lambda key: self.crashes[key].occurred_at, reverse=True
        )
        return crash_ids

    def list_shared(self) -> list[int]:
        """List the keys of crashes for a peer: blocking ones, then newest."""
        blocking = self._list_blocking()
        # The sort is stable.
        return sorted(
            self.list_unexplained(), key=lambda key: key not in blocking
        )

    def _list_blocking(self) -> set[int]:
        """List the keys of crashes for which a suspect may be blocked."""
        blocking = {
            crash_id
            for culprit in self.culprits
            for crash_id in self.crashes_by_suspect.get(min(culprit), ())
        }
        for digest, crash_ids in self.crashes_by_suspect.items():
            if not is_part(digest) and len(crash_ids) >= REQUEST_CRASHES:
                blocking |= crash_ids
        return blocking

    def _find_crash(self, incarnation: str, occurred_at: float) -> int:
        """Return the key of a crash, which may be new."""
        for crash_id, crash in self.crashes.items():
            if (
                crash.incarnation == incarnation
                and abs(crash.occurred_at - occurred_at) < SAME_CRASH_S
            ):
                return crash_id
        self._evict_crashes()
        self.crash_count += 1
        self.crashes[self.crash_count] = Crash(incarnation, occurred_at, set())
        return self.crash_count

    def _merge_duplicates(self, crash_id: int) -> None:
        """Merge crashes that turn out to be one, as a report was delayed."""
        crash = self.crashes[crash_id]
        duplicates = [
            key
            for key, other in self.crashes.items()
            if key != crash_id
            and other.incarnation == crash.incarnation
            and abs(other.occurred_at - crash.occurred_at) < SAME_CRASH_S
        ]
        for key in duplicates:
            other = self.crashes[key]
            crash.occurred_at = min(crash.occurred_at, other.occurred_at)
            for digest in list(other.suspects):
                crash.suspects.add(digest)
                self.crashes_by_suspect[digest].add(crash_id)
            self._forget_crash(key)

    def _find_culprits(self) -> list[frozenset[bytes]]:
        """Attribute crashes to suspects, those with most crashes first."""
        culprits = []
        explained: set[int] = set()
        for proven in (False, True):
            # In an order that is the same at all routers.
            candidates = sorted(
                digest
                for digest, crash_ids in self.crashes_by_suspect.items()
                if len(crash_ids) >= REQUEST_CRASHES
                and self.is_proven(digest) is proven
            )
            while culprit := self._find_largest(candidates, explained):
                culprits.append(culprit)
                explained |= self.crashes_by_suspect[min(culprit)]
        return culprits

    def _find_largest(
        self, candidates: list[bytes], explained: set[int]
    ) -> frozenset[bytes]:
        """Return the suspects of most unexplained crashes; empty if none."""
        best: tuple[int, bool] = (0, False)
        best_crash_ids: set[int] = set()
        group: list[bytes] = []
        for digest in candidates:
            crash_ids = self.crashes_by_suspect[digest] - explained
            if not self._is_enough(digest, crash_ids, explained):
                continue
            # A part that only one request held is less likely than that.
            rank = (len(crash_ids), not is_part(digest))
            if rank > best:
                best, best_crash_ids, group = rank, crash_ids, [digest]
            elif rank == best and crash_ids == best_crash_ids:
                group.append(digest)
        return frozenset(group)

    def _is_enough(
        self, digest: bytes, crash_ids: set[int], explained: set[int]
    ) -> bool:
        """Return whether so many crashes convict a suspect."""
        proven = self.is_proven(digest)
        if not is_part(digest):
            # Many callers may repeat a sound one, at many crashes.
            return not proven and len(crash_ids) >= REQUEST_CRASHES
        if len(crash_ids) < PART_CRASHES:
            return False
        limit = PART_CRASHES
        if proven or self._has_rivals(crash_ids, explained):
            limit = PROVEN_CRASHES
        if len(crash_ids) < limit:
            return False
        count = 0
        counted_at = _LONG_AGO
        for occurred_at in sorted(
            self.crashes[crash_id].occurred_at for crash_id in crash_ids
        ):
            if occurred_at - counted_at >= SAME_CAUSE_GAP_S:
                count += 1
                counted_at = occurred_at
        return count >= limit

    def _has_rivals(self, crash_ids: set[int], explained: set[int]) -> bool:
        """Return whether most of the crashes have another likely cause.

        That is a part without completions that was in flight at other crashes
        too, about as many in all.
        """
        uncontested = 0
        for crash_id in crash_ids:
            uncontested += not any(
                is_part(rival)
                and not self.is_proven(rival)
                and (others := self.crashes_by_suspect[rival] - explained)
                != crash_ids
                and len(others) >= len(crash_ids) - 1
                for rival in self.crashes[crash_id].suspects
            )
        return uncontested < len(crash_ids) / 2

    def _is_cleared(self, digest: bytes, crash: Crash) -> bool:
        """Return whether a suspect was completed since a crash."""
        completed_at = self.completed_at.get(digest, _LONG_AGO)
        return completed_at >= crash.occurred_at

    def _make_room(self, crash: Crash, digest: bytes) -> bool:
        """Return whether a suspect of a crash is kept.

        One that is suspected of another crash always is.
        """
        if digest in self.crashes_by_suspect:
            return True
        if len(crash.suspects) >= MAX_SUSPECTS_PER_CRASH:
            return False
        if len(self.crashes_by_suspect) >= MAX_SUSPECTS:
            self._evict_suspects()
        return len(self.crashes_by_suspect) < MAX_SUSPECTS

    def _evict_suspects(self) -> None:
        """Drop suspects of one crash only, of the oldest that has such."""
        for crash_id in reversed(self.list_unexplained()):
            single = [
                digest
                for digest in self.crashes[crash_id].suspects
                if len(self.crashes_by_suspect[digest]) == 1
            ]
            for digest in single:
                self._remove(digest, crash_id)
            if single:
                # A set keeps its size when members are removed.
                self.crashes[crash_id].suspects = set(
                    self.crashes[crash_id].suspects
                )
                return

    def _remove(self, digest: bytes, crash_id: int) -> None:
        """Stop suspecting a request or part of one crash."""
        self.changed = True
        self.crashes[crash_id].suspects.discard(digest)
        crash_ids = self.crashes_by_suspect[digest]
        crash_ids.discard(crash_id)
        if not crash_ids:
            del self.crashes_by_suspect[digest]

    def _forget_crash(self, crash_id: int) -> None:
        """Drop a crash with all that is suspected of it."""
        for digest in list(self.crashes[crash_id].suspects):
            self._remove(digest, crash_id)
        del self.crashes[crash_id]

    def _expire(self) -> None:
        """Drop crashes that are too old, from time to time."""
        now = self.clock()
        if now < self.next_expiry_at:
            return
        self.next_expiry_at = now + EXPIRY_INTERVAL_S
        earliest = now - RETENTION_S
        for crash_id in [
            key
            for key, crash in self.crashes.items()
            if crash.occurred_at < earliest
        ]:
            self._forget_crash(crash_id)

    def _evict_crashes(self) -> None:
        """Make room for a crash; those that block nobody go first."""
        while len(self.crashes) >= MAX_CRASHES:
            blocking = self._list_blocking()
            self._forget_crash(
                min(
                    self.crashes,
                    key=lambda key: (
                        key in blocking,
                        self.crashes[key].occurred_at,
                    ),
                )
            )

    def _remember_request(self, digest: bytes) -> None:
        """Remember that a request was completed, as it may be repeated."""
        self.completed_requests.pop(digest, None)
        self.completed_requests[digest] = None
        if len(self.completed_requests) > MAX_PROVEN_REQUESTS:
            del self.completed_requests[next(iter(self.completed_requests))]

    def _bound_proven_parts(self) -> None:
        """Forget the completion that is longest ago, beyond the limit."""
        while len(self.completed_at) > MAX_PROVEN_PARTS:
            del self.completed_at[next(iter(self.completed_at))]
