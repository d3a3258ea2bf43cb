"""Bound the retries of a process and space them out."""

import numpy

_RESERVE = 3.0
_MAX_BALANCE = 10.0
_BASE_DELAY_S = 0.02
_MAX_DELAY_S = 0.5


class RetryBudget:
    """Allow retries up to a share of the recent requests.

    Each request adds its share to a bounded balance, each retry takes one.
    """

    def __init__(self, reserve: float = _RESERVE):
        self.balance = reserve
        self.taken = 0
        self.denied = 0

    def add_request(self, share: float) -> None:
        """Count a request; ``share`` is the bundle's retry share."""
        self.balance = min(_MAX_BALANCE, self.balance + share)

    def take(self) -> bool:
        """Take one retry; False when the budget is spent."""
        if self.balance < 1:
            self.denied += 1
            return False
        self.balance -= 1
        self.taken += 1
        return True


def backoff_s(attempt: int, generator: numpy.random.Generator) -> float:
    """Return a jittered delay that doubles with each attempt from 0."""
    full = min(_MAX_DELAY_S, _BASE_DELAY_S * 2**attempt)
    return full * generator.uniform(0.5, 1.0)
