"""Work in flight by organisation, and each organisation's usual share.

Work is 1 for a request like the average of its pool, more for a longer one.
Both are counted from this router's own traffic; the load balancer spreads
callers over routers, so shares here are close to those of the fleet.
"""

import collections

# An organisation's usual share must outlast a surge of its requests: the
# average spans a minute at 20 requests a second per router.
_SHARE_SMOOTHING = 0.001
# Less is left of sums of fractions when no request is in flight.
_NO_WORK = 1e-9
# With fewer requests than this no share is known.
_MIN_REQUESTS = 50
# Keeps the sums of growing weights far below a float's limit.
_MAX_WEIGHT = 1e6


class OrganisationUsage:
    """Requests in flight and usual shares of organisations, by pool."""

    def __init__(self) -> None:
        self.in_flight: dict[str, dict[str, float]] = {}
        self.request_counts: collections.Counter[str] = collections.Counter()
        self.request_shares: dict[str, _RequestShares] = {}

    def record_start(
        self, pool: str, organisation: str, work: float = 1.0
    ) -> None:
        """Count a request that is now in flight."""
        amounts = self.in_flight.setdefault(pool, {})
        amounts[organisation] = amounts.get(organisation, 0.0) + work
        self.request_counts[pool] += 1

    def record_end(
        self, pool: str, organisation: str, work: float = 1.0
    ) -> None:
        """Count the end of a request, with the work of its start."""
        amounts = self.in_flight[pool]
        amounts[organisation] -= work
        self.request_counts[pool] -= 1
        if amounts[organisation] <= _NO_WORK:
            del amounts[organisation]

    def record_arrival(
        self, pool: str, organisation: str, work: float = 1.0
    ) -> None:
        """Count an arriving request, admitted or not, in the usual shares."""
        self.request_shares.setdefault(pool, _RequestShares()).record(
            organisation, work
        )

    def count_in_flight(self, pool: str, organisation: str) -> float:
        """Return an organisation's work in flight at a pool."""
        return self.in_flight.get(pool, {}).get(organisation, 0.0)

    def total_in_flight(self, pool: str) -> int:
        """Return this router's requests in flight at a pool."""
        return self.request_counts[pool]

    def fair_share(self, pool: str, organisation: str) -> float:
        """Return an organisation's fair part of the work in flight.

        This is its usual share of the total, but no less than an equal
        share among the organisations that have requests in flight.
        """
        counts = self.in_flight.get(pool)
        if not counts:
            return 0.0
        total = sum(counts.values())
        shares = self.request_shares.get(pool)
        share = shares.share_of(organisation) if shares is not None else 0.0
        return total * max(share, 1 / len(counts))


class _RequestShares:
    """Moving averages of organisations' shares of a pool's requests.

    Each request weighs a little more than the one before it.
    """

    def __init__(self) -> None:
        self.count = 0
        self.weights: dict[str, float] = {}
        self.total = 0.0
        self.newest_weight = 1.0

    def record(self, organisation: str, work: float) -> None:
        """Count the work of an organisation's request."""
        self.count += 1
        self.newest_weight *= 1 + _SHARE_SMOOTHING
        added = work * self.newest_weight
        self.total += added
        weight = self.weights.get(organisation, 0.0)
        self.weights[organisation] = weight + added
        if self.newest_weight > _MAX_WEIGHT:
            self._rescale()

    def share_of(self, organisation: str) -> float:
        """Return a share from 0 to 1; 1 until enough requests are counted."""
        if self.count < _MIN_REQUESTS:
            return 1.0
        return self.weights.get(organisation, 0.0) / self.total

    def _rescale(self) -> None:
        """Divide all weights by the newest; drop negligible ones."""
        self.weights = {
            name: weight / self.newest_weight
            for name, weight in self.weights.items()
            if weight > self.newest_weight * _SHARE_SMOOTHING
        }
        self.total = sum(self.weights.values())
        self.newest_weight = 1.0
