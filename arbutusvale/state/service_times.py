"""Know how long requests take, usually and now.

All of it is this router's own sliver of what servers do.
"""

import collections
from collections.abc import Callable

from arbutusvale.state import bounded_map

# Routes come and go with configurations; far more than are in use at a time.
MAX_KEYS = 4096
# Some dozens of requests decide an average, so that it follows a change of
# load within seconds.
_SMOOTHING = 0.1
# Holds the ends of some dozens of requests at a router's usual traffic.
_WINDOW_S = 1.0
# An engine with all slots taken makes a token in three times the time of a
# quiet one.
_MAX_SLOWDOWN = 4.0
# One request more or less must not change an estimate by more than an eighth.
_MIN_IN_FLIGHT = 8


class ServiceTimes:
    """Average how long requests hold their slot, in seconds.

    A key is a route or a pool.
    """

    def __init__(self) -> None:
        self.averages: bounded_map.BoundedMap[float] = bounded_map.BoundedMap(
            MAX_KEYS
        )

    def record(self, key: str, seconds: float) -> None:
        """Take one request's time into the average."""
        average = self.averages.get(key, seconds)
        self.averages.put(key, average + _SMOOTHING * (seconds - average))

    def average_s(self, key: str) -> float:
        """Return the usual time, 0 when nothing is known."""
        return self.averages.get(key, 0.0)


class LatencyEstimator:
    """Tell how long a pool takes for what this router has there.

    By Little's law that is what is in flight over the rate of completions.
    It follows a burst at once, when the average of the times that requests
    took still tells of the quiet before.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.completions: dict[str, collections.deque[float]] = {}

    def record_completion(self, pool: str) -> None:
        """Count the end of a request."""
        now = self.clock()
        completions = self.completions.setdefault(pool, collections.deque())
        completions.append(now)
        _drop_expired(completions, now)

    def estimate(self, pool: str, in_flight: int, average_s: float) -> float:
        """Return the time that a request probably takes, in seconds.

        It is at least ``usual_s`` and a bounded multiple of it, as a few
        completions say little; with little in flight it is ``usual_s``.
        """
        completions = self.completions.get(pool)
        if completions is None or in_flight < _MIN_IN_FLIGHT:
            return average_s
        _drop_expired(completions, self.clock())
        current_s = in_flight * _WINDOW_S / max(1, len(completions))
        return max(average_s, min(current_s, _MAX_SLOWDOWN * average_s))


def _drop_expired(times: collections.deque[float], now: float) -> None:
    """Drop times that are older than the window."""
    while times and times[0] <= now - _WINDOW_S:
        times.popleft()
