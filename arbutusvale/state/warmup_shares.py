"""Shares of the request rate of a cold server, without a coordinator.

A cold server takes few requests a second from all routers together, and what
is far beyond that may crash it.  Nobody hands out shares, and a router may
have heard nothing of its peers for seconds.  So a share follows from what
hardly changes, the routers that may be running:

- each server has a set of senders, drawn by rendezvous hashing, and each of
  them an equal part of the rate;
- there are only so many senders that the server keeps within its bound in any
  second even if all of them send at the worst moment;
- a router with little demand keeps its part at some of the servers only, and
  lends it to the other senders elsewhere.  Which these are follows from the
  fraction that it announces.

Load patterns covered:

- *servers that return to a pool short of room*: all routers see them at once
  and have requests waiting; no second exceeds the bound;
- *many routers*: with more routers than the bound has requests, each server
  has other senders, so that all routers have about as much to send;
- *callers that reach a few routers only*: these use the parts of the others;
- *news that are late or lost*: a router that doesn't know that another one
  lends divides fewer parts among more senders, so the sum can only be lower.
"""

from collections.abc import Mapping
import dataclasses
import functools
import math

from arbutusvale.state import rendezvous

# Routers may differ about who runs, and requests wait a little on their way.
RESERVE = 2
# The bound in a second of a server that has a pace only.
BOUND_FACTOR = 1.5
BOUND_RESERVE = 5.0
# A bucket that refills just within a second would give a request too many.
REFILL_MARGIN = 0.9
# A router keeps all parts with this share of the mean demand, and the part of
# them in the second figure with the first.
KEPT_BY_DEMAND = ((0.5, 1.0), (0.25, 0.5), (0.05, 0.25))
# Requests a second below which nothing is lent, as nobody needs it.
MIN_MEAN_DEMAND = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Warmup:
    """What a pool declares of its cold servers.

    One is cold for ``duration_s`` after its start.  It takes ``rate``
    requests a second, and at most ``bound`` in any one second; both are sums
    over all routers.
    """

    duration_s: float
    rate: float
    bound: float

    def at_pace(self, pace: float | None, is_cold: bool) -> 'Warmup':
        """Return what binds now: the declared rate, the pace or both.

        A pace without a declared rate may be exceeded by as much in any one
        second.
        """
        if is_cold and (pace is None or pace >= self.rate):
            return self
        rate = pace or self.rate
        bound = BOUND_FACTOR * rate + BOUND_RESERVE
        return Warmup(
            self.duration_s, rate, min(bound, self.bound) if is_cold else bound
        )


def count_senders(warmup: Warmup, routers: int) -> int:
    """Return how many of the routers may send to a cold server."""
    most = max(1, min(routers, _whole_bound(warmup)))
    return max(
        range(1, most + 1),
        key=lambda senders: (
            round(senders * _share_of(warmup, senders), 6),
            senders,
        ),
    )


def compute_share(
    warmup: Warmup,
    server_key: str,
    host: str,
    routers: frozenset[str],
    kept_by_host: Mapping[str, float],
) -> float:
    """Return the part of the rate of the router ``host``, a second.

    ``routers`` are all that may be running.  ``kept_by_host`` has the
    fraction of its parts that a router keeps; one that isn't in it keeps all.
    """
    senders = list_senders(
        server_key, routers, count_senders(warmup, len(routers))
    )
    if host not in senders:
        return 0.0
    keepers = sum(
        _is_kept(server_key, sender, kept_by_host.get(sender, 1.0))
        for sender in senders
    )
    if not _is_kept(server_key, host, kept_by_host.get(host, 1.0)):
        return 0.0
    return _share_of(warmup, keepers)


@functools.lru_cache(maxsize=64)
def list_senders(
    server_key: str, routers: frozenset[str], count: int
) -> frozenset[str]:
    """Return the routers that may send to a server, the same at all."""
    if count >= len(routers):
        return routers
    ranked = sorted(
        routers,
        key=lambda host: rendezvous.hash_to_fraction(f'{server_key} {host}'),
    )
    return frozenset(ranked[:count])


def choose_kept(own_demand: float, peer_demands: list[float]) -> float:
    """Return the fraction of its parts that a router should keep.

    Demands are in requests a second.
    """
    mean = (own_demand + sum(peer_demands)) / (1 + len(peer_demands))
    if mean < MIN_MEAN_DEMAND:
        return 1.0
    for demand_share, kept in KEPT_BY_DEMAND:
        if own_demand >= demand_share * mean:
            return kept
    return 0.0


def _whole_bound(warmup: Warmup) -> int:
    """Return the requests of a second that may be planned with."""
    return max(1, math.floor(warmup.bound) - RESERVE)


def _share_of(warmup: Warmup, senders: int) -> float:
    """Return the part of each of some senders, in requests a second.

    Each has a bucket of one request: with a part below N it sends at most N
    in any second.
    """
    most = max(1, _whole_bound(warmup) // senders)
    return min(warmup.rate / senders, REFILL_MARGIN * most)


@functools.lru_cache(maxsize=1024)
def _draw(server_key: str, host: str) -> float:
    """Return a number from 0 to 1, the same at all routers."""
    return rendezvous.hash_to_fraction(f'{host} {server_key}')


def _is_kept(server_key: str, host: str, fraction: float) -> bool:
    """Return whether a router keeps its part at a server."""
    return fraction >= 1 or _draw(server_key, host) < fraction
