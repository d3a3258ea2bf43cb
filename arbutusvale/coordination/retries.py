"""Retry budgets and the backoff between attempts."""

import collections
from collections.abc import Callable
import typing

from arbutusvale.state import router_census

_RESERVE = 3.0
_MAX_BALANCE = 10.0
_BASE_DELAY_S = 0.02
_MAX_DELAY_S = 0.5
# A tenth is left for routers that aren't known yet.
_RESERVE_SHARE = 0.9
# A process that starts again doesn't know what the one before has sent in the
# same window.  Both shares together stay below 1; the rest is left for
# requests counted at the other end of a window.
_RATIO_SHARE = 0.7
_RATIO_SHARE_AFTER_START = 0.27


class UniformSource(typing.Protocol):
    """A random source; numpy's generators and ``random.Random`` fit."""

    def uniform(self, low: float, high: float) -> float:
        """Return a uniformly distributed number between two bounds."""


class RetryBudget:
    """Token bucket that bounds retries to a share of recent requests.

    Each request adds its share to a bounded balance; each retry costs one.
    """

    def __init__(self, reserve: float = _RESERVE):
        self.balance = reserve
        self.spent = 0
        self.denied = 0

    def add_request(self, share: float) -> None:
        """Add ``share``, the retries per request that the bundle allows."""
        self.balance = min(_MAX_BALANCE, self.balance + share)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self.balance < 1:
            self.denied += 1
            return False
        self.balance -= 1
        self.spent += 1
        return True


def backoff_s(attempt: int, generator: UniformSource) -> float:
    """Return a jittered exponential backoff for an attempt, from 0 on."""
    max_delay_s = min(_MAX_DELAY_S, _BASE_DELAY_S * 2**attempt)
    return max_delay_s * generator.uniform(0.5, 1.0)


class WindowedRetryBudget:
    """Bound on the retries of all routers to a pool in a sliding window.

    The bound for the fleet is ``ratio`` times the requests in the window
    plus ``reserve``.  Each router applies the ratio to its own requests and
    uses its part of the reserve by the ``census``, so routers needn't
    coordinate.

    A retry is reserved when it is decided, and spent when it is sent; it may
    have to wait for a server in between.

    Load patterns covered: a whole pool fails for many seconds, and every
    request would be retried; retries wait until servers take requests again,
    and all are sent at once; all routers start again meanwhile.
    """

    def __init__(
        self,
        ratio: float,
        reserve: float,
        window_s: float,
        clock: Callable[[], float],
        census: router_census.RouterCensus,
    ):
        self.ratio = ratio
        self.reserve = reserve
        self.window_s = window_s
        self.clock = clock
        self.census = census
        self.requests: collections.deque[float] = collections.deque()
        # When retries were sent.
        self.retries: collections.deque[float] = collections.deque()
        # Retries that were decided and not sent yet.
        self.reserved = 0
        self.denied = 0

    def add_request(self) -> None:
        """Count the first attempt of a request."""
        self.requests.append(self.clock())

    def try_reserve(self) -> bool:
        """Reserve one retry; return False if the share is exhausted."""
        if not self.can_reserve():
            self.denied += 1
            return False
        self.reserved += 1
        return True

    def can_reserve(self) -> bool:
        """Check whether one more retry fits into this router's share."""
        self._expire(self.clock())
        wanted = self.reserved + len(self.retries) + 1
        return wanted <= self._allowed_by_ratio() or wanted <= self.allowed()

    def cancel(self) -> None:
        """Take back a reserved retry that is not sent after all."""
        self.reserved -= 1

    def spend(self) -> bool:
        """Spend a reserved retry, which is sent now.

        Return False, and take it back, if the share no longer covers it, as
        the requests that it was based on have left the window.
        """
        self.reserved -= 1
        allowed = self.allowed()
        if len(self.retries) + 1 > allowed:
            self.denied += 1
            return False
        self.retries.append(self.clock())
        return True

    def allowed(self) -> float:
        """Return how many retries this router may send in a window."""
        self._expire(self.clock())
        part = self.census.own_part(self.window_s)
        reserve = _RESERVE_SHARE * self.reserve * part
        return self._allowed_by_ratio() + reserve

    def _allowed_by_ratio(self) -> float:
        """Return how many retries this router's own requests allow."""
        has_started = self.census.has_started_within(self.window_s)
        share = _RATIO_SHARE_AFTER_START if has_started else _RATIO_SHARE
        return share * self.ratio * len(self.requests)

    def _expire(self, now: float) -> None:
        """Drop the times that are older than the window."""
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
