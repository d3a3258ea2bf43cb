"""Remember how a pool is used: by organisation, by route, by priority.

All of it is this router's own sliver; the balancer spreads callers over
routers, so shares here are near those of the whole.
"""

import collections
from collections.abc import Callable

# Some dozens of requests decide an average, so that it follows a change of
# load within seconds.
_SMOOTHING = 0.1
# Holds the ends of some dozens of requests at a router's usual traffic.
_WINDOW_S = 1.0
# An engine with all slots taken makes a token in three times the time of a
# quiet one.
_MOST_SLOWDOWN = 4.0
# One request more or less must not change an estimate by more than an eighth.
_LEAST_IN_FLIGHT = 8
# An organisation's usual share must outlast its surge: at 20 requests a
# second and router, a minute.
_USUAL_SMOOTHING = 0.001
# Before so many requests no share is usual.
_USUAL_LEAST = 50
# Keeps sums of such weights far from the limits of a float.
_MAX_UNIT = 1e6
# A route admitted this much more seldom than all requests is deprived; the
# users' bound is a quarter.
_DEPRIVED_SHARE = 0.5


class Holdings:
    """Count what each organisation has in flight at each pool."""

    def __init__(self) -> None:
        self.held: dict[str, collections.Counter[str]] = {}
        self.usual: dict[str, _UsualShares] = {}

    def begin(self, pool: str, organisation: str) -> None:
        """Count a request."""
        self.held.setdefault(pool, collections.Counter())[organisation] += 1

    def end(self, pool: str, organisation: str) -> None:
        """Count the end of a request."""
        counts = self.held[pool]
        counts[organisation] -= 1
        if counts[organisation] <= 0:
            del counts[organisation]

    def note_arrival(self, pool: str, organisation: str) -> None:
        """Take an arriving request into the usual shares."""
        self.usual.setdefault(pool, _UsualShares()).note(organisation)

    def count(self, pool: str, organisation: str) -> int:
        """Return what an organisation has in flight."""
        return self.held.get(pool, {}).get(organisation, 0)

    def total(self, pool: str) -> int:
        """Return what this router has in flight at a pool."""
        return sum(self.held.get(pool, {}).values())

    def fair(self, pool: str, organisation: str) -> float:
        """Return the usual share of an organisation in what is in flight.

        It is never below an equal share of the organisations active now.
        """
        counts = self.held.get(pool)
        if not counts:
            return 0.0
        total = sum(counts.values())
        usual = self.usual.get(pool)
        share = usual.find(organisation) if usual is not None else 0.0
        return total * max(share, 1 / len(counts))


class _UsualShares:
    """Average the shares of organisations in the requests to a pool."""

    def __init__(self) -> None:
        self.count = 0
        self.weights: dict[str, float] = {}
        self.total = 0.0
        self.unit = 1.0

    def note(self, organisation: str) -> None:
        """Count a request; each weighs a little more than the one before."""
        self.count += 1
        self.unit *= 1 + _USUAL_SMOOTHING
        self.total += self.unit
        weight = self.weights.get(organisation, 0.0)
        self.weights[organisation] = weight + self.unit
        if self.unit > _MAX_UNIT:
            self._scale_down()

    def find(self, organisation: str) -> float:
        """Return a share from 0 to 1; 1 while too little is known."""
        if self.count < _USUAL_LEAST:
            return 1.0
        return self.weights.get(organisation, 0.0) / self.total

    def _scale_down(self) -> None:
        """Return to small numbers, without organisations long unseen."""
        self.weights = {
            name: weight / self.unit
            for name, weight in self.weights.items()
            if weight > self.unit * _USUAL_SMOOTHING
        }
        self.total = sum(self.weights.values())
        self.unit = 1.0


class UsualTimes:
    """Average how long requests hold their slot, in seconds.

    A key is a route or a pool.
    """

    def __init__(self) -> None:
        self.times: dict[str, float] = {}

    def note(self, key: str, seconds: float) -> None:
        """Take one request's time into the average."""
        usual = self.times.get(key)
        if usual is None:
            self.times[key] = seconds
        else:
            self.times[key] = usual + _SMOOTHING * (seconds - usual)

    def find(self, key: str) -> float:
        """Return the usual time, 0 when nothing is known."""
        return self.times.get(key, 0.0)


class Throughput:
    """Tell how long a pool takes for what this router has there.

    By Little's law that is what is in flight over the rate of completions.
    It follows a burst at once, when the average of the times that requests
    took still tells of the quiet before.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.ends: dict[str, collections.deque[float]] = {}

    def note_end(self, pool: str) -> None:
        """Count the end of a request."""
        now = self.clock()
        ends = self.ends.setdefault(pool, collections.deque())
        ends.append(now)
        _expire(ends, now)

    def estimate(self, pool: str, in_flight: int, usual_s: float) -> float:
        """Return the time that a request probably takes, in seconds.

        It is at least ``usual_s`` and a bounded multiple of it, as a few
        completions say little; with little in flight it is ``usual_s``.
        """
        ends = self.ends.get(pool)
        if ends is None or in_flight < _LEAST_IN_FLIGHT:
            return usual_s
        _expire(ends, self.clock())
        now_s = in_flight * _WINDOW_S / max(1, len(ends))
        return max(usual_s, min(now_s, _MOST_SLOWDOWN * usual_s))


def _expire(times: collections.deque[float], now: float) -> None:
    """Drop times that are older than the window."""
    while times and times[0] <= now - _WINDOW_S:
        times.popleft()


class AdmittedShares:
    """Average which share of a route's and a pool's requests is admitted."""

    def __init__(self) -> None:
        self.shares: dict[str, float] = {}

    def note(self, pool: str, route: str, admitted: bool) -> None:
        """Count a decision on a request."""
        for key in (pool, f'{pool}/{route}'):
            share = self.shares.get(key, 1.0)
            self.shares[key] = share + _SMOOTHING * (admitted - share)

    def is_deprived(self, pool: str, route: str) -> bool:
        """Tell whether a route is admitted far more seldom than all."""
        share = self.shares.get(f'{pool}/{route}', 1.0)
        return share < _DEPRIVED_SHARE * self.shares.get(pool, 1.0)


class PoolDemand:
    """Remember which priorities and objectives a pool's requests have.

    Priorities are from 0, the most urgent, to 9; objectives are in seconds.
    """

    def __init__(self) -> None:
        self.priorities: dict[str, set[int]] = {}
        self.targets: dict[str, float] = {}

    def note(self, pool: str, priority: int, target_s: float) -> None:
        """Take a request's priority and objective into account."""
        self.priorities.setdefault(pool, set()).add(priority)
        least = self.targets.get(pool, target_s)
        self.targets[pool] = min(least, target_s)

    def rank(self, pool: str, priority: int) -> int:
        """Return how many more urgent priorities are in use."""
        used = self.priorities.get(pool, set())
        return sum(1 for other in used if other < priority)

    def least_target(self, pool: str) -> float:
        """Return the shortest objective of the pool's requests."""
        return self.targets.get(pool, 0.0)
