"""Count requests in flight by organisation, and know usual shares.

All of it is this router's own sliver; the balancer spreads callers over
routers, so shares here are near those of the whole.
"""

import collections

# An organisation's usual share must outlast its surge: at 20 requests a
# second and router, a minute.
_SHARE_SMOOTHING = 0.001
# Before so many requests no share is usual.
_MIN_REQUESTS = 50
# Keeps sums of such weights far from the limits of a float.
_MAX_WEIGHT = 1e6


class OrganisationUsage:
    """Count what each organisation has in flight at each pool."""

    def __init__(self) -> None:
        self.in_flight: dict[str, collections.Counter[str]] = {}
        self.request_shares: dict[str, _RequestShares] = {}

    def record_start(self, pool: str, organisation: str) -> None:
        """Count a request."""
        self.in_flight.setdefault(pool, collections.Counter())[
            organisation
        ] += 1

    def record_end(self, pool: str, organisation: str) -> None:
        """Count the end of a request."""
        counts = self.in_flight[pool]
        counts[organisation] -= 1
        if counts[organisation] <= 0:
            del counts[organisation]

    def record_arrival(self, pool: str, organisation: str) -> None:
        """Take an arriving request into the usual shares."""
        self.request_shares.setdefault(pool, _RequestShares()).record(
            organisation
        )

    def count_in_flight(self, pool: str, organisation: str) -> int:
        """Return what an organisation has in flight."""
        return self.in_flight.get(pool, {}).get(organisation, 0)

    def total_in_flight(self, pool: str) -> int:
        """Return what this router has in flight at a pool."""
        return sum(self.in_flight.get(pool, {}).values())

    def fair_share(self, pool: str, organisation: str) -> float:
        """Return the usual share of an organisation in what is in flight.

        It is never below an equal share of the organisations active now.
        """
        counts = self.in_flight.get(pool)
        if not counts:
            return 0.0
        total = sum(counts.values())
        shares = self.request_shares.get(pool)
        share = shares.share_of(organisation) if shares is not None else 0.0
        return total * max(share, 1 / len(counts))


class _RequestShares:
    """Average the shares of organisations in the requests to a pool."""

    def __init__(self) -> None:
        self.count = 0
        self.weights: dict[str, float] = {}
        self.total = 0.0
        self.newest_weight = 1.0

    def record(self, organisation: str) -> None:
        """Count a request; each weighs a little more than the one before."""
        self.count += 1
        self.newest_weight *= 1 + _SHARE_SMOOTHING
        self.total += self.newest_weight
        weight = self.weights.get(organisation, 0.0)
        self.weights[organisation] = weight + self.newest_weight
        if self.newest_weight > _MAX_WEIGHT:
            self._rescale()

    def share_of(self, organisation: str) -> float:
        """Return a share from 0 to 1; 1 while too little is known."""
        if self.count < _MIN_REQUESTS:
            return 1.0
        return self.weights.get(organisation, 0.0) / self.total

    def _rescale(self) -> None:
        """Return to small numbers, without organisations long unseen."""
        self.weights = {
            name: weight / self.newest_weight
            for name, weight in self.weights.items()
            if weight > self.newest_weight * _SHARE_SMOOTHING
        }
        self.total = sum(self.weights.values())
        self.newest_weight = 1.0
