"""Priorities, target latencies and admission rates of a pool's requests."""

from arbutusvale.state import bounded_map

# Routes come and go with configurations; far more than are in use at a time.
MAX_KEYS = 4096
# A few dozen requests determine an average.
_SMOOTHING = 0.1
# A route counts as starved when its admission rate falls below this share
# of the pool's; the users' bound is a quarter.
_STARVED_RATIO = 0.5
# The same where urgency decides who is admitted at all.
STARVED_RATIO_BY_URGENCY = 0.3


class AdmissionRates:
    """Moving averages of the admitted share of requests, 0 to 1.

    They are kept per pool and per route of a pool.
    """

    def __init__(self) -> None:
        self.rates: bounded_map.BoundedMap[float] = bounded_map.BoundedMap(
            MAX_KEYS
        )

    def record(self, pool: str, route: str, admitted: bool) -> None:
        """Count an admission decision."""
        for key in (pool, f'{pool}/{route}'):
            rate = self.rates.get(key, 1.0)
            self.rates.put(key, rate + _SMOOTHING * (admitted - rate))

    def is_starved(
        self, pool: str, route: str, ratio: float = _STARVED_RATIO
    ) -> bool:
        """Return whether a route is admitted far less often than its pool."""
        rate = self.rates.get(f'{pool}/{route}', 1.0)
        return rate < ratio * self.rates.get(pool, 1.0)


class PoolDemand:
    """Priorities and target latencies seen in a pool's requests.

    Priorities run from 0, the most urgent, to 9; targets are in seconds.
    """

    def __init__(self) -> None:
        self.priorities: dict[str, set[int]] = {}
        self.shortest_targets_s: dict[str, float] = {}

    def record(self, pool: str, priority: int, target_s: float) -> None:
        """Record a request's priority and target latency."""
        self.priorities.setdefault(pool, set()).add(priority)
        shortest_s = self.shortest_targets_s.get(pool, target_s)
        self.shortest_targets_s[pool] = min(shortest_s, target_s)

    def count_more_urgent(self, pool: str, priority: int) -> int:
        """Return how many priorities in use are more urgent."""
        used = self.priorities.get(pool, set())
        return sum(1 for other in used if other < priority)

    def shortest_target_s(self, pool: str) -> float:
        """Return the shortest target latency of the pool's requests."""
        return self.shortest_targets_s.get(pool, 0.0)
