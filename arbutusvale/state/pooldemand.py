"""Know what requests to a pool ask for, and how many are admitted."""

from arbutusvale.state import recentmap

# Routes come and go with configurations; far more than are in use at a time.
MAX_KEYS = 4096
# Some dozens of requests decide an average.
_SMOOTHING = 0.1
# A route admitted this much more seldom than all requests is deprived; the
# users' bound is a quarter.
_DEPRIVED_SHARE = 0.5


class AdmittedShares:
    """Average which share of a route's and a pool's requests is admitted."""

    def __init__(self) -> None:
        self.shares: recentmap.RecentMap[float] = recentmap.RecentMap(MAX_KEYS)

    def note(self, pool: str, route: str, admitted: bool) -> None:
        """Count a decision on a request."""
        for key in (pool, f'{pool}/{route}'):
            share = self.shares.get(key, 1.0)
            self.shares.put(key, share + _SMOOTHING * (admitted - share))

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
