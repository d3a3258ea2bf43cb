"""Bound the retries of a process and space them out."""

import collections
from collections.abc import Callable
import typing

_RESERVE = 3.0
_MAX_BALANCE = 10.0
_BASE_DELAY_S = 0.02
_MAX_DELAY_S = 0.5
# Leaves a tenth for arrivals counted on the other edge of a window, and for
# routers that are not known yet.
_BUDGET_SHARE = 0.9


class UniformSource(typing.Protocol):
    """Draw numbers; numpy's generators and ``random.Random`` both do."""

    def uniform(self, low: float, high: float) -> float:
        """Return a number between two others."""


class RetryBudget:
    """Allow retries up to a share of the recent requests.

    Each request adds its share to a bounded balance, each retry takes one.
    """

    def __init__(self, reserve: float = _RESERVE):
        self.balance = reserve
        self.spent = 0
        self.denied = 0

    def add_request(self, share: float) -> None:
        """Count a request; ``share`` is the bundle's retry share."""
        self.balance = min(_MAX_BALANCE, self.balance + share)

    def try_spend(self) -> bool:
        """Take one retry; False when the budget is spent."""
        if self.balance < 1:
            self.denied += 1
            return False
        self.balance -= 1
        self.spent += 1
        return True


def backoff_s(attempt: int, generator: UniformSource) -> float:
    """Return a jittered delay that doubles with each attempt from 0."""
    max_delay_s = min(_MAX_DELAY_S, _BASE_DELAY_S * 2**attempt)
    return max_delay_s * generator.uniform(0.5, 1.0)


class WindowedRetryBudget:
    """Bound the repeats that all routers send to a pool in a time window.

    The bound for the fleet is ``ratio`` times the requests in the window
    plus ``reserve``.  A router keeps to the ratio of its own requests and to
    its share of the reserve, so no agreement between routers is needed.

    Load pattern answered: a whole pool that fails for many seconds, when
    every request asks for a repeat.
    """

    def __init__(
        self,
        ratio: float,
        reserve: float,
        window_s: float,
        clock: Callable[[], float],
    ):
        self.ratio = ratio
        self.reserve = reserve
        self.window_s = window_s
        self.clock = clock
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()
        self.denied = 0

    def add_request(self) -> None:
        """Count the first sending of a request."""
        self.requests.append(self.clock())

    def try_spend(self, routers: int) -> bool:
        """Take one repeat; False when this router's share is spent."""
        if not self.can_spend(routers):
            self.denied += 1
            return False
        self.retries.append(self.clock())
        return True

    def can_spend(self, routers: int) -> bool:
        """Tell whether one more repeat stays within this router's share."""
        self._expire(self.clock())
        share = _BUDGET_SHARE * self.reserve / max(1, routers)
        allowed = _BUDGET_SHARE * self.ratio * len(self.requests) + share
        return len(self.retries) + 1 <= allowed

    def _expire(self, now: float) -> None:
        """Drop what is older than the window."""
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
