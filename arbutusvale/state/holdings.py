"""Count requests in flight by organisation, and know usual shares.

All of it is this router's own sliver; the balancer spreads callers over
routers, so shares here are near those of the whole.
"""

import collections

# An organisation's usual share must outlast its surge: at 20 requests a
# second and router, a minute.
_USUAL_SMOOTHING = 0.001
# Before so many requests no share is usual.
_USUAL_LEAST = 50
# Keeps sums of such weights far from the limits of a float.
_MAX_UNIT = 1e6


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
