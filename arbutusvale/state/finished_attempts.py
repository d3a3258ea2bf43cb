"""Set of finished attempts, so that late duplicates do not run."""

import collections
from collections.abc import Callable
import time

RETENTION_S = 900.0  # longer than any deadline
MAX_ATTEMPTS = 131072


class FinishedAttempts:
    """Attempt ids that expire after a time longer than any deadline.

    At most ``MAX_ATTEMPTS`` are stored; the oldest is evicted first.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.expiries: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, attempt: str) -> None:
        """Add an attempt, or renew its expiry."""
        self._expire()
        self.expiries[attempt] = self.clock() + RETENTION_S
        self.expiries.move_to_end(attempt)
        if len(self.expiries) > MAX_ATTEMPTS:
            self.expiries.popitem(last=False)

    def __contains__(self, attempt: str) -> bool:
        """Return whether an attempt is in the set and has not expired."""
        return self.expiries.get(attempt, 0.0) > self.clock()

    def _expire(self) -> None:
        """Drop expired attempts, from the oldest up to the first unexpired."""
        now = self.clock()
        while self.expiries:
            attempt = next(iter(self.expiries))
            if self.expiries[attempt] > now:
                return
            del self.expiries[attempt]
