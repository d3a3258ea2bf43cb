"""The requests a second that a backend server says that it takes.

Its sidecar sees all requests to it, so one token bucket keeps the limit.
"""

from collections.abc import Callable
import math
import time

# A server of a lower rate still gets a request now and then, as only an
# answer tells that its limit has ended.
MIN_RATE = 0.1
MAX_RATE = 1_000_000.0
# Credit beyond one request lasts this long, for servers of a high rate.
BURST_S = 0.25


def parse_rate(text: str) -> float | None:
    """Return the requests a second in a text; None if it isn't such."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0 <= rate <= MAX_RATE else None


class RateLimit:
    """The limit of one server, and the credit for its next requests.

    ``rate`` is None while the server names none.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.rate: float | None = None
        self.observed_at = -math.inf
        self.credit = 1.0
        self.refilled_at = clock()

    def observe(self, rate: float | None, sent_at: float) -> bool:
        """Record the rate that an answer names; return whether it changed.

        An answer to a request from before the limit was named, at
        ``sent_at``, doesn't end it.
        """
        if rate is None and sent_at < self.observed_at:
            return False
        changed = rate != self.rate
        if self.rate is None:
            self.credit = 0.0
            self.refilled_at = self.clock()
        self._refill()
        self.rate = rate
        if rate is not None:
            self.observed_at = self.clock()
        return changed

    def time_until_free_s(self) -> float:
        """Return the time until a request may be sent; 0 for now."""
        if self.rate is None:
            return 0.0
        self._refill()
        return max(0.0, 1 - self.credit) / max(self.rate, MIN_RATE)

    def spend(self) -> None:
        """Count a request that will be sent."""
        if self.rate is not None:
            self._refill()
            self.credit -= 1

    def _refill(self) -> None:
        """Bring the credit up to now."""
        now = self.clock()
        elapsed_s = now - self.refilled_at
        self.refilled_at = now
        rate = MIN_RATE if self.rate is None else max(self.rate, MIN_RATE)
        self.credit = min(
            self.credit + rate * elapsed_s, max(1.0, rate * BURST_S)
        )
