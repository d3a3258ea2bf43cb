"""Remember attempts that ended, so that late copies of them do not run."""

import collections
from collections.abc import Callable
import time

KEPT_S = 900.0
MOST_ATTEMPTS = 131072


class FinishedAttempts:
    """Hold attempt ids for a bounded time, longer than any deadline."""

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.expiries: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, attempt: str) -> None:
        """Remember an attempt from now on."""
        self._expire()
        self.expiries[attempt] = self.clock() + KEPT_S
        self.expiries.move_to_end(attempt)
        if len(self.expiries) > MOST_ATTEMPTS:
            self.expiries.popitem(last=False)

    def __contains__(self, attempt: str) -> bool:
        """Tell whether an attempt is remembered."""
        return self.expiries.get(attempt, 0.0) > self.clock()

    def _expire(self) -> None:
        """Drop attempts from the oldest on that are past their time."""
        now = self.clock()
        while self.expiries:
            attempt = next(iter(self.expiries))
            if self.expiries[attempt] > now:
                return
            del self.expiries[attempt]
