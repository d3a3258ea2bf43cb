"""Request rates that backend servers allow, divided among the routers.

A server names the requests a second that it takes from all routers together.
Nobody hands out shares: each router takes the part of the rate that matches
its part of the demand for the pool, which routers tell each other.  A share
falls at once and rises slowly, as peers learn of a new demand late; so the
shares of all routers hardly ever exceed the rate.

A server that is cold takes no more than its pool declares, either; its rate
is then the lower one of the two (see ``server_warmups``).

Times are those of a monotonic clock, in seconds; rates are requests a second.
"""

from collections.abc import Callable
import dataclasses
import math
import random

from arbutusvale.protocol import proxying
from arbutusvale.state import server_warmups

# A server of a lower rate still gets a request now and then, as only an
# answer tells that its limit has ended.
MIN_RATE = 0.1
# How fast a share follows a growing part of the demand.
SHARE_RISE_S = 1.0
DEMAND_AVERAGE_S = 2.0
# Weight of a router without demand.
IDLE_DEMAND = 0.05
# Requests that may be sent at once by all routers after a pause.
IDLE_BURST = 3.0
# Credit beyond one request lasts this long, for servers of a high rate.
BURST_S = 0.25
# Demand older than this starts anew.
IDLE_S = 2.0
# Peers are told this long that a limit has ended.
ENDED_RETENTION_S = 10.0
MAX_LIMITS = 256


@dataclasses.dataclass(slots=True)
class _Limit:
    """The limit of one incarnation, and this router's credit.

    ``rate`` is None once the server has stopped naming one.
    """

    pool: str
    rate: float | None
    observed_at: float
    share: float = 0.0
    credit: float = 0.0
    refilled_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class LimitState:
    """What a router last knew of a server's limit."""

    server_id: str
    started_at_ms: int
    pool: str
    rate: float | None
    observed_at: float


class _DemandAverage:
    """Requests a second, averaged over some seconds."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.rate = 0.0
        self.updated_at = clock()

    def record(self) -> None:
        """Count one request."""
        self.rate = self.read() + 1 / DEMAND_AVERAGE_S

    def read(self) -> float:
        """Return the rate now."""
        now = self.clock()
        elapsed_s = now - self.updated_at
        self.updated_at = now
        self.rate *= math.exp(-elapsed_s / DEMAND_AVERAGE_S)
        return self.rate


class ServerLimits:
    """Limits by server incarnation, and what this router may send.

    ``list_peers`` lists the hosts of all other routers that may be running,
    also those that were not heard for a while.  ``warmups`` are the limits of
    cold servers.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        list_peers: Callable[[], list[str]],
        generator: random.Random,
        warmups: server_warmups.ServerWarmups | None = None,
    ):
        self.clock = clock
        self.warmups = warmups or server_warmups.ServerWarmups(
            '', clock, list_peers, generator
        )
        self.list_peers = list_peers
        self.generator = generator
        self.limits: dict[tuple[str, int], _Limit] = {}
        self.own_demand: dict[str, _DemandAverage] = {}
        self.peer_demand: dict[str, dict[str, float]] = {}

    def observe(
        self,
        server: proxying.BackendServer,
        rate: float | None,
        sent_at: float,
    ) -> bool:
        """Record what an answer says, None for no limit.

        ``sent_at`` is when its request was sent: an answer from before the
        limit was named doesn't end it.  Return whether the rate changed.
        """
        key = (server.id, server.started_at_ms)
        limit = self.limits.get(key)
        if rate is None and (
            limit is None or limit.rate is None or sent_at < limit.observed_at
        ):
            return False
        return self._update(key, server.pool, rate, self.clock())

    def merge(self, state: LimitState) -> None:
        """Take over what a peer knows, if it is newer."""
        key = (state.server_id, state.started_at_ms)
        known = self.limits.get(key)
        if known is None and state.rate is None:
            return
        if known is None or state.observed_at > known.observed_at:
            self._update(key, state.pool, state.rate, state.observed_at)

    def record_peer_demand(self, host: str, demand: dict[str, float]) -> None:
        """Record a peer's requests a second by pool."""
        self.peer_demand[host] = demand

    def record_demand(self, pool: str) -> None:
        """Count a caller's request for a pool."""
        average = self.own_demand.get(pool)
        if average is None:
            average = self.own_demand[pool] = _DemandAverage(self.clock)
        average.record()
        self.warmups.record_demand(pool)

    def read_demand(self) -> dict[str, float]:
        """Return this router's requests a second by pool, for peers."""
        return {
            pool: average.read() for pool, average in self.own_demand.items()
        }

    def is_limited(self, server: proxying.BackendServer) -> bool:
        """Return whether a server names a limit, or is cold or paced."""
        if self._is_unlimited():
            return False
        limit = self.limits.get((server.id, server.started_at_ms))
        if limit is not None and limit.rate is not None:
            return True
        return self.warmups.is_limited(server)

    def has_warmups(self) -> bool:
        """Return whether any server is cold or paced."""
        return bool(self.warmups.cold)

    def ends_in_s(self, server: proxying.BackendServer) -> float:
        """Return when a server's limit ends, inf if nothing tells."""
        limit = self.limits.get((server.id, server.started_at_ms))
        if limit is not None and limit.rate is not None:
            return math.inf
        return self.warmups.time_left_s(server)

    def time_until_free_s(self, server: proxying.BackendServer) -> float:
        """Return the time until a request may be sent; 0 for now."""
        if self._is_unlimited():
            return 0.0
        cold_s = self.warmups.time_until_free_s(server)
        limit = self._refill(server)
        if limit is None or limit.credit >= 1:
            return cold_s
        return max(cold_s, (1 - limit.credit) / max(limit.share, 1e-9))

    def share(self, server: proxying.BackendServer) -> float:
        """Return this router's part of a server's rate; inf without limit."""
        share = self.warmups.share(server)
        limit = self._refill(server)
        return share if limit is None else min(share, limit.share)

    def spend(self, server: proxying.BackendServer) -> None:
        """Count a request that is sent to a server."""
        self.warmups.spend(server)
        limit = self._refill(server)
        if limit is not None:
            limit.credit -= 1

    def refund(self, server: proxying.BackendServer) -> None:
        """Take back a request that was not sent after all."""
        self.warmups.refund(server)
        limit = self.limits.get((server.id, server.started_at_ms))
        if limit is not None and limit.rate is not None:
            limit.credit += 1

    def list_states(self) -> list[LimitState]:
        """List the limits that peers should know, newest first."""
        earliest = self.clock() - ENDED_RETENTION_S
        states = [
            LimitState(*key, limit.pool, limit.rate, limit.observed_at)
            for key, limit in self.limits.items()
            if limit.rate is not None or limit.observed_at >= earliest
        ]
        states.sort(key=lambda state: state.observed_at, reverse=True)
        return states

    def forget(self, server_id: str) -> None:
        """Drop the limits of a server that left the list."""
        self.warmups.forget(server_id)
        for key in [key for key in self.limits if key[0] == server_id]:
            del self.limits[key]

    def _is_unlimited(self) -> bool:
        """Return whether no server has a limit, as mostly."""
        return not (
            self.limits
            or self.warmups.cold
            or self.warmups.restored_at is not None
        )

    def _update(
        self,
        key: tuple[str, int],
        pool: str,
        rate: float | None,
        observed_at: float,
    ) -> bool:
        """Record a rate; return whether it changed."""
        limit = self.limits.get(key)
        if limit is None:
            self._make_room()
            limit = self.limits[key] = _Limit(pool, None, observed_at)
        changed = limit.rate != rate
        if limit.rate is None and rate is not None:
            limit.refilled_at = -math.inf
        limit.rate = rate
        limit.observed_at = observed_at
        return changed

    def _make_room(self) -> None:
        """Drop the limit that was observed longest ago, if there are many."""
        if len(self.limits) >= MAX_LIMITS:
            oldest = min(
                self.limits, key=lambda key: self.limits[key].observed_at
            )
            del self.limits[oldest]

    def _refill(self, server: proxying.BackendServer) -> _Limit | None:
        """Bring a limit's share and credit up to now; None without one."""
        limit = self.limits.get((server.id, server.started_at_ms))
        if limit is None or limit.rate is None:
            return None
        now = self.clock()
        rate = max(limit.rate, MIN_RATE)
        routers = 1 + len(self.list_peers())
        elapsed_s = now - limit.refilled_at
        limit.refilled_at = now
        target = rate * self._demand_part(limit.pool)
        if elapsed_s > IDLE_S:
            # Routers that find a server idle at once must not all send.
            limit.share = min(rate / routers, target)
            limit.credit = min(limit.credit, 0.0) + self._draw_idle_credit(
                routers
            )
            return limit
        if target < limit.share:
            limit.share = target
        else:
            risen = 1 - math.exp(-elapsed_s / SHARE_RISE_S)
            limit.share += (target - limit.share) * risen
        limit.credit = min(
            limit.credit + limit.share * elapsed_s,
            1 + limit.share * BURST_S,
        )
        return limit

    def _draw_idle_credit(self, routers: int) -> float:
        """Return the credit to begin with, which differs among routers."""
        if self.generator.random() < IDLE_BURST / routers:
            return 1.0
        return self.generator.random()

    def _demand_part(self, pool: str) -> float:
        """Return this router's part of all routers' demand for a pool."""
        average = self.own_demand.get(pool)
        own = IDLE_DEMAND + (average.read() if average is not None else 0.0)
        total = own
        for host in self.list_peers():
            demand = self.peer_demand.get(host, {})
            total += IDLE_DEMAND + demand.get(pool, 0.0)
        return own / total
