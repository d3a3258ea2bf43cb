"""Store of complete answers for callers that retry a request."""

import collections
from collections.abc import Callable
import dataclasses
import time

MAX_BYTES = 32 * 1024 * 1024
ENTRY_OVERHEAD_BYTES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer; ``fingerprint`` is that of its request."""

    fingerprint: bytes
    status: int
    headers: list
    chunks: list[bytes]
    total_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    answer: Answer
    size: int
    expires_at: float


class AnswerStore:
    """FIFO store of answers by key, bounded by total size and age.

    The answer of a key may have been dropped, so that a missing one is no
    reason to run the request again.
    """

    def __init__(
        self,
        max_bytes: int = MAX_BYTES,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.max_bytes = max_bytes
        self.clock = clock
        self.used_bytes = 0
        self.entries: collections.OrderedDict[bytes, _Entry] = (
            collections.OrderedDict()
        )

    def put(self, key: bytes, answer: Answer, retention_s: float) -> None:
        """Store an answer for ``retention_s`` seconds, if it fits at all.

        Evicts the oldest answers to make room for it.
        """
        size = answer.total_bytes + ENTRY_OVERHEAD_BYTES
        if size > self.max_bytes:
            return
        self._remove(key)
        self._expire()
        while self.used_bytes + size > self.max_bytes:
            self._remove(next(iter(self.entries)))
        self.entries[key] = _Entry(answer, size, self.clock() + retention_s)
        self.used_bytes += size

    def find(self, key: bytes) -> Answer | None:
        """Return the answer of a key, None if it is not stored."""
        self._expire()
        entry = self.entries.get(key)
        if entry is None or entry.expires_at <= self.clock():
            return None
        return entry.answer

    def _expire(self) -> None:
        """Drop expired answers, from the oldest up to the first unexpired."""
        now = self.clock()
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            if entry.expires_at > now:
                return
            self._remove(key)

    def _remove(self, key: bytes) -> None:
        """Remove the answer of a key, if stored."""
        entry = self.entries.pop(key, None)
        if entry is not None:
            self.used_bytes -= entry.size
