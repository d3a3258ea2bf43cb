"""Know what requests to a pool ask for, and how many are admitted."""

from arbutusvale.state import bounded_map

# Routes come and go with configurations; far more than are in use at a time.
MAX_KEYS = 4096
# Some dozens of requests decide an average.
_SMOOTHING = 0.1
# A route admitted this much more seldom than all requests is deprived; the
# users' bound is a quarter.
_STARVED_RATIO = 0.5


class AdmissionRates:
    """Average which share of a route's and a pool's requests is admitted."""

    def __init__(self) -> None:
        self.rates: bounded_map.BoundedMap[float] = bounded_map.BoundedMap(
            MAX_KEYS
        )

    def record(self, pool: str, route: str, admitted: bool) -> None:
        """Count a decision on a request."""
        for key in (pool, f'{pool}/{route}'):
            rate = self.rates.get(key, 1.0)
            self.rates.put(key, rate + _SMOOTHING * (admitted - rate))

    def is_starved(self, pool: str, route: str) -> bool:
        """Tell whether a route is admitted far more seldom than all."""
        rate = self.rates.get(f'{pool}/{route}', 1.0)
        return rate < _STARVED_RATIO * self.rates.get(pool, 1.0)


class PoolDemand:
    """Remember which priorities and objectives a pool's requests have.

    Priorities are from 0, the most urgent, to 9; objectives are in seconds.
    """

    def __init__(self) -> None:
        self.priorities: dict[str, set[int]] = {}
        self.shortest_targets_s: dict[str, float] = {}

    def record(self, pool: str, priority: int, target_s: float) -> None:
        """Take a request's priority and objective into account."""
        self.priorities.setdefault(pool, set()).add(priority)
        shortest_s = self.shortest_targets_s.get(pool, target_s)
        self.shortest_targets_s[pool] = min(shortest_s, target_s)

    def count_more_urgent(self, pool: str, priority: int) -> int:
        """Return how many more urgent priorities are in use."""
        used = self.priorities.get(pool, set())
        return sum(1 for other in used if other < priority)

    def shortest_target_s(self, pool: str) -> float:
        """Return the shortest objective of the pool's requests."""
        return self.shortest_targets_s.get(pool, 0.0)
