"""Servers that are cold or paced, and what this router may send to each.

A server is cold for some time after it starts, and may become so again at any
moment.  While it is, it takes the rate that its pool declares, from all
routers together; ``warmup_shares`` divides it.  Its pace, which is found from
how it answers, may be lower, and may last longer (``set_pace``).

Routers that lend their parts to others tell them so in the messages that pass
anyway.  What a router announced binds it for longer than any peer relies on
it, so a message that is late or lost never makes the sum of all parts larger.

Times are those of a monotonic clock, in seconds; rates are requests a second.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math
import random

from arbutusvale.protocol import peer_message
from arbutusvale.protocol import proxying
from arbutusvale.state import warmup_shares

# Peers rely on an announced fraction for so long after they receive it.
ANNOUNCEMENT_LIFE_S = 5.0
# A message is under way for less than this.
MAX_MESSAGE_DELAY_S = 2.0
# A router is bound by its announcements for so long, also by those that it
# may have made before it was restarted.
BINDING_S = ANNOUNCEMENT_LIFE_S + MAX_MESSAGE_DELAY_S
# Demand that falls for a shorter time is no reason to lend.
LOWER_AFTER_S = 3.0
DEMAND_AVERAGE_S = 5.0
REFRESH_INTERVAL_S = 0.1
# A pace changes about so often.
PACE_LIFE_S = 1.0


@dataclasses.dataclass(slots=True)
class _ColdServer:
    """One cold or paced incarnation, and this router's credit for it.

    It is cold until the time ``until``; ``pace`` is the rate that was found
    for it, None for no limit beyond that time.
    """

    server: proxying.BackendServer
    warmup: warmup_shares.Warmup
    until: float
    credit: float
    refilled_at: float
    begun_at: float
    pace: float | None = None
    share: float = 0.0
    shared_at: float = -math.inf


class _OwnPool:
    """This router's demand for a pool, and what it announced of it."""

    def __init__(self, now: float):
        self.demand = 0.0
        self.averaged_at = now
        self.low_since: float | None = None
        self.kept = 1.0
        # Announced fractions that peers may rely on, with their times.
        self.announced: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def average(self, now: float) -> float:
        """Return the requests a second up to now."""
        elapsed_s = now - self.averaged_at
        self.averaged_at = now
        self.demand *= math.exp(-elapsed_s / DEMAND_AVERAGE_S)
        return self.demand

    def update_kept(self, wanted: float, now: float) -> None:
        """Raise the fraction at once, lower it after a while."""
        if wanted >= self.kept:
            self.kept = wanted
            self.low_since = None
        elif self.low_since is None:
            self.low_since = now
        elif now - self.low_since >= LOWER_AFTER_S:
            self.kept = wanted

    def binding(self, now: float) -> float:
        """Return the smallest fraction that a peer may rely on."""
        while self.announced and self.announced[0][0] < now - BINDING_S:
            self.announced.popleft()
        return min((kept for _, kept in self.announced), default=1.0)


class ServerWarmups:
    """Cold servers by incarnation, and this router's parts of their rates.

    ``list_warmups`` returns what pools declare, without those that declare
    nothing.  ``list_peers`` lists the hosts of all other routers that may be
    running.
    ``restored_at``, if set, returns when a data centre was last taken back
    after an evacuation, None if it wasn't; its servers may be cold then.
    ``choose_pace`` returns the pace with which a server begins, None for no
    limit but the declared one.  ``on_change`` is called with a server and
    whether it is cold or paced.
    """

    def __init__(
        self,
        host: str,
        clock: Callable[[], float],
        list_peers: Callable[[], list[str]],
        generator: random.Random,
    ):
        self.host = host
        self.clock = clock
        self.list_peers = list_peers
        self.generator = generator
        self.list_warmups: Callable[[], Mapping[str, warmup_shares.Warmup]] = (
            dict
        )
        self.restored_at: Callable[[str], float | None] | None = None
        self.choose_pace: Callable[[proxying.BackendServer], float | None] = (
            _set_no_pace
        )
        self.on_change: Callable[[proxying.BackendServer, bool], None] = (
            _ignore_change
        )
        self.started_at = clock()
        self.cold: dict[tuple[str, int], _ColdServer] = {}
        self.own_pools: dict[str, _OwnPool] = {}
        # Announcements by pool and host, with the time of their receipt.
        self.announcements: dict[
            str, dict[str, tuple[float, peer_message.PoolAnnouncement]]
        ] = {}
        self.routers = frozenset([host])
        self.routers_at = -math.inf

    def record_listed(
        self, server: proxying.BackendServer, is_new: bool
    ) -> bool:
        """Record an entry; return whether its server has become cold.

        ``is_new`` means that it names a new incarnation.  An entry may be a
        heartbeat old, so its time counts from now.
        """
        warmup = self.list_warmups().get(server.pool)
        if warmup is None:
            return False
        if is_new and not warmup.duration_s:
            self.begin_pace(server)
            return False
        duration_s = warmup.duration_s if is_new else 0.0
        return self.begin(server, max(duration_s, server.cold_for_s), is_new)

    def begin_pace(self, server: proxying.BackendServer) -> None:
        """Pace a server that isn't cold, if there is a pace to begin with."""
        warmup = self.list_warmups().get(server.pool)
        key = (server.id, server.started_at_ms)
        if warmup is None or key in self.cold:
            return
        if self.choose_pace(server) is not None:
            self._add(key, server, warmup, 0.0, self.generator.random())

    def begin(
        self,
        server: proxying.BackendServer,
        duration_s: float,
        is_new: bool = False,
    ) -> bool:
        """Record for how long a server is cold; return whether it wasn't."""
        if duration_s <= 0:
            return False
        warmup = self.list_warmups().get(server.pool)
        if warmup is None:
            return False
        now = self.clock()
        key = (server.id, server.started_at_ms)
        known = self.cold.get(key)
        if known is not None:
            known.until = max(known.until, now + duration_s)
            return False
        # Routers that see a server at once must not all send at once; one
        # that is cold again may have had requests in the last second.
        credit = self.generator.random() if is_new else 0.0
        self._add(key, server, warmup, duration_s, credit)
        return True

    def set_pace(
        self, server: proxying.BackendServer, pace: float | None
    ) -> None:
        """Set the pace of a cold or paced server, None for no limit."""
        cold = self._find(server)
        if cold is not None:
            cold.pace = pace
            cold.shared_at = -math.inf

    def list_limited(self) -> list[_ColdServer]:
        """List the servers that are cold or paced now."""
        return list(self.cold.values())

    def list_limited_ids(self) -> set[str]:
        """List the ids of the servers that are cold or paced."""
        return {server_id for server_id, _ in self.cold}

    def is_cold(self, server: proxying.BackendServer) -> bool:
        """Return whether a server is cold now."""
        cold = self._find(server)
        return cold is not None and self.clock() < cold.until

    def is_limited(self, server: proxying.BackendServer) -> bool:
        """Return whether a server is cold or paced now."""
        return self._find(server) is not None

    def time_left_s(self, server: proxying.BackendServer) -> float:
        """Return for how long a server stays limited; 0 for one that isn't.

        A pace is expected to change soon.
        """
        cold = self._find(server)
        if cold is None:
            return 0.0
        time_left_s = cold.until - self.clock()
        return time_left_s if cold.pace is None else time_left_s + PACE_LIFE_S

    def pool_demand(self, pool: str) -> float:
        """Return the requests a second for a pool, of all routers."""
        now = self.clock()
        return self._get_own_pool(pool, now).average(now) + sum(
            announcement.demand
            for announcement in self._list_valid(pool, now).values()
        )

    def time_until_free_s(self, server: proxying.BackendServer) -> float:
        """Return the time until a request may be sent; 0 for now."""
        cold = self._refill(server)
        if cold is None or cold.credit >= 1:
            return 0.0
        time_left_s = self.time_left_s(server)
        if not cold.share:
            return time_left_s
        return min(time_left_s, (1 - cold.credit) / cold.share)

    def share(self, server: proxying.BackendServer) -> float:
        """Return this router's part of a server's rate, inf for no limit."""
        cold = self._refill(server)
        return math.inf if cold is None else cold.share

    def spend(self, server: proxying.BackendServer) -> None:
        """Count a request that is sent to a server."""
        cold = self._refill(server)
        if cold is not None:
            cold.credit -= 1

    def refund(self, server: proxying.BackendServer) -> None:
        """Take back a request that was not sent after all."""
        cold = self.cold.get((server.id, server.started_at_ms))
        if cold is not None:
            cold.credit = min(1.0, cold.credit + 1)

    def forget(self, server_id: str) -> None:
        """Drop the incarnations of a server that are gone."""
        for key in [key for key in self.cold if key[0] == server_id]:
            del self.cold[key]

    def expire(self) -> None:
        """Drop the servers that are neither cold nor paced."""
        for cold in list(self.cold.values()):
            self._find(cold.server)

    def record_demand(self, pool: str) -> None:
        """Count a caller's request for a pool that declares a warm-up."""
        if pool in self.list_warmups():
            now = self.clock()
            own = self._get_own_pool(pool, now)
            own.demand = own.average(now) + 1 / DEMAND_AVERAGE_S

    def announce(self) -> dict[str, peer_message.PoolAnnouncement]:
        """Return what peers are to know now, by pool; it binds from now."""
        now = self.clock()
        announced = {}
        for pool in self.list_warmups():
            own = self._get_own_pool(pool, now)
            demand = own.average(now)
            peer_demands = [
                announcement.demand
                for announcement in self._list_valid(pool, now).values()
            ]
            own.update_kept(
                warmup_shares.choose_kept(demand, peer_demands), now
            )
            own.announced.append((now, own.kept))
            own.binding(now)
            announced[pool] = peer_message.PoolAnnouncement(demand, own.kept)
        return announced

    def record_announced(
        self, host: str, announced: dict[str, peer_message.PoolAnnouncement]
    ) -> None:
        """Record what a peer announces."""
        now = self.clock()
        warmups = self.list_warmups()
        for pool, announcement in announced.items():
            if pool in warmups:
                by_host = self.announcements.setdefault(pool, {})
                by_host[host] = (now, announcement)

    def forget_announcements(self) -> None:
        """Rely on no announcement, as this process was frozen."""
        self.announcements.clear()

    def forget_router(self, host: str) -> None:
        """Drop a router that says that it leaves."""
        self.routers_at = -math.inf
        for by_host in self.announcements.values():
            by_host.pop(host, None)

    def _get_own_pool(self, pool: str, now: float) -> _OwnPool:
        """Return this router's demand for a pool."""
        own = self.own_pools.get(pool)
        if own is None:
            own = self.own_pools[pool] = _OwnPool(now)
        return own

    def _find(self, server: proxying.BackendServer) -> _ColdServer | None:
        """Return a server that is cold or paced now, else None."""
        if self.restored_at is not None:
            self._check_restored(server, self.restored_at)
        cold = self.cold.get((server.id, server.started_at_ms))
        if cold is None:
            return None
        if cold.pace is None and cold.until <= self.clock():
            del self.cold[server.id, server.started_at_ms]
            self.on_change(cold.server, False)
            return None
        return cold

    def _add(
        self,
        key: tuple[str, int],
        server: proxying.BackendServer,
        warmup: warmup_shares.Warmup,
        duration_s: float,
        credit: float,
    ) -> None:
        """Add a cold or paced server."""
        now = self.clock()
        self.cold[key] = _ColdServer(
            server,
            warmup,
            now + duration_s,
            credit,
            now,
            now,
            self.choose_pace(server),
        )
        self.on_change(server, True)

    def _check_restored(
        self,
        server: proxying.BackendServer,
        restored_at: Callable[[str], float | None],
    ) -> None:
        """Count a server as cold after its data centre was taken back."""
        at = restored_at(server.data_centre)
        if at is None:
            return
        warmup = self.list_warmups().get(server.pool)
        if warmup is not None:
            self.begin(server, at + warmup.duration_s - self.clock())

    def _refill(self, server: proxying.BackendServer) -> _ColdServer | None:
        """Bring a cold server's share and credit up to now."""
        cold = self._find(server)
        if cold is None:
            return None
        now = self.clock()
        if now - cold.shared_at >= REFRESH_INTERVAL_S:
            cold.share = self._compute_share(cold, now)
            cold.shared_at = now
        cold.credit = min(
            1.0, cold.credit + cold.share * (now - cold.refilled_at)
        )
        cold.refilled_at = now
        return cold

    def _compute_share(self, cold: _ColdServer, now: float) -> float:
        """Return this router's part of the rate of a server."""
        is_cold = now < cold.until
        if is_cold and now - self.started_at < BINDING_S:
            return 0.0
        pool = cold.server.pool
        kept_by_host = {
            host: announcement.kept
            for host, announcement in self._list_valid(pool, now).items()
        }
        own = self.own_pools.get(pool)
        if own is not None:
            kept_by_host[self.host] = own.binding(now)
        return warmup_shares.compute_share(
            cold.warmup.at_pace(cold.pace, is_cold),
            f'{cold.server.id} {cold.server.started_at_ms}',
            self.host,
            self._list_routers(now),
            kept_by_host,
        )

    def _list_valid(
        self, pool: str, now: float
    ) -> dict[str, peer_message.PoolAnnouncement]:
        """Return the announcements that may be relied on, by host."""
        oldest = now - ANNOUNCEMENT_LIFE_S
        return {
            host: announcement
            for host, (at, announcement) in self.announcements.get(
                pool, {}
            ).items()
            if at >= oldest
        }

    def _list_routers(self, now: float) -> frozenset[str]:
        """Return the hosts of all routers that may be running."""
        if now - self.routers_at < REFRESH_INTERVAL_S:
            return self.routers
        self.routers_at = now
        routers = frozenset([self.host, *self.list_peers()])
        if routers != self.routers:
            self.routers = routers
        return self.routers


def _set_no_pace(server: proxying.BackendServer) -> float | None:
    """Return None; servers have no pace by default."""


def _ignore_change(server: proxying.BackendServer, is_limited: bool) -> None:
    """Do nothing; the default callback for cold servers."""
