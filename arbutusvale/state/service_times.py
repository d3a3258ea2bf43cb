"""Service times of requests, on average and at the current load.

All figures come from this router's own share of the traffic.
"""

import collections
from collections.abc import Callable

from arbutusvale.state import bounded_map

# Routes come and go with configurations; far more than are in use at a time.
MAX_KEYS = 4096
# A few dozen requests determine an average, so that it follows a change of
# load within seconds.
_SMOOTHING = 0.1
# The gains and the factor of RFC 6298.
_AVERAGE_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_BOUND_DEVIATIONS = 4
# Covers a few dozen completions at a router's usual traffic.
_WINDOW_S = 1.0
# An engine with all slots in use takes three times as long for a token as
# an idle one.
_MAX_SLOWDOWN = 4.0
# One request more or less must not change an estimate by more than an eighth.
_MIN_IN_FLIGHT = 8


class ServiceTimes:
    """Moving averages of the time that requests occupy a slot, in seconds.

    A key is a route or a pool.
    """

    def __init__(self) -> None:
        self.averages: bounded_map.BoundedMap[float] = bounded_map.BoundedMap(
            MAX_KEYS
        )

    def record(self, key: str, seconds: float) -> None:
        """Add one request's service time to the average."""
        average = self.averages.get(key, seconds)
        self.averages.put(key, average + _SMOOTHING * (seconds - average))

    def average_s(self, key: str) -> float:
        """Return the average service time, 0 if none is recorded."""
        return self.averages.get(key, 0.0)


class RunTimes:
    """Smoothed run times and their mean deviations, in seconds.

    Both are computed like the round-trip times of RFC 6298.  A key is a route.
    """

    def __init__(self) -> None:
        self.estimates: bounded_map.BoundedMap[tuple[float, float]] = (
            bounded_map.BoundedMap(MAX_KEYS)
        )

    def record(self, key: str, seconds: float) -> None:
        """Add the run time of one request."""
        average, deviation = self.estimates.get(key, (seconds, seconds / 2))
        error = seconds - average
        self.estimates.put(
            key,
            (
                average + _AVERAGE_GAIN * error,
                deviation + _DEVIATION_GAIN * (abs(error) - deviation),
            ),
        )

    def average_s(self, key: str) -> float | None:
        """Return the average, None if none is recorded."""
        estimate = self.estimates.get(key, None)
        return None if estimate is None else estimate[0]

    def upper_bound_s(self, key: str) -> float | None:
        """Return what few run times exceed, None if none is recorded."""
        estimate = self.estimates.get(key, None)
        if estimate is None:
            return None
        average, deviation = estimate
        return average + _BOUND_DEVIATIONS * deviation


class LatencyEstimator:
    """Current latency of a pool, by Little's law.

    It is this router's requests in flight over its rate of completions.
    It reacts to a burst at once, while the average of completed requests
    still reflects the time before the burst.
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
        """Return the expected latency of a request, in seconds.

        It is ``average_s`` with few requests in flight, else between that
        and a fixed multiple of it, as a few completions say little.
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
