"""Count requests in flight by organisation, and usual times by route."""

import collections

# Some dozens of requests decide an average, so that it follows a change of
# load within seconds.
_SMOOTHING = 0.1


class Holdings:
    """Count what each organisation has in flight at each pool."""

    def __init__(self) -> None:
        self.held: dict[str, collections.Counter[str]] = {}

    def begin(self, pool: str, organisation: str) -> None:
        """Count a request."""
        self.held.setdefault(pool, collections.Counter())[organisation] += 1

    def end(self, pool: str, organisation: str) -> None:
        """Count the end of a request."""
        counts = self.held[pool]
        counts[organisation] -= 1
        if counts[organisation] <= 0:
            del counts[organisation]

    def count(self, pool: str, organisation: str) -> int:
        """Return what an organisation has in flight."""
        return self.held.get(pool, {}).get(organisation, 0)

    def mean(self, pool: str) -> float:
        """Return what an active organisation has in flight on average."""
        counts = self.held.get(pool)
        if not counts:
            return 0.0
        return sum(counts.values()) / len(counts)


class UsualTimes:
    """Average how long requests of a route hold their slot, in seconds."""

    def __init__(self) -> None:
        self.times: dict[str, float] = {}

    def note(self, route: str, seconds: float) -> None:
        """Take one request's time into the average."""
        usual = self.times.get(route)
        if usual is None:
            self.times[route] = seconds
        else:
            self.times[route] = usual + _SMOOTHING * (seconds - usual)

    def find(self, route: str) -> float:
        """Return the usual time, 0 when nothing is known."""
        return self.times.get(route, 0.0)
