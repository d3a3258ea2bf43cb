"""Slots and memory of a pool's engines, and this router's part of them.

Nobody hands out parts.  Each router uses the part of the room that matches
its part of the demand, which routers tell each other while a pool gets full;
its own requests it counts exactly.  So the parts add up to the room even
though each router learns of the others' requests late.

Times are those of a monotonic clock, in seconds; rates are requests a second.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from arbutusvale.protocol import proxying

DEMAND_AVERAGE_S = 1.0
# Peers are told of the demand for this long after the pool was last busy.
BUSY_RETENTION_S = 3.0
# A router looks at a pool's room with each request.
SHORT_RETENTION_S = 0.5
# Weight of a router without demand.
IDLE_DEMAND = 0.05
# A few dozen requests determine an average.
_SMOOTHING = 0.1

# The organisation's or the route's priority, then the route's; 0 is first.
Urgency = tuple[int, int]
LATE: Urgency = (1000, 0)


@dataclasses.dataclass(slots=True)
class _Kind:
    """Requests of one urgency: how many arrive, their time and memory."""

    rate: float = 0.0
    tokens: float = 0.0
    updated_at: float = 0.0
    service_time_s: float = 0.0

    def read_rate(self, now: float) -> float:
        """Return the arriving requests a second."""
        self.rate *= math.exp((self.updated_at - now) / DEMAND_AVERAGE_S)
        self.updated_at = now
        return self.rate


@dataclasses.dataclass(frozen=True, slots=True)
class WantedRoom:
    """The mean slots and tokens that some requests need at once.

    ``token_variance`` is that of the tokens, if requests arrive independently.
    """

    slots: float = 0.0
    tokens: float = 0.0
    token_variance: float = 0.0


class PoolRoom:
    """What this router's requests take of a pool, and who asks for it."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.kinds: dict[Urgency, _Kind] = {}
        self.part_counts: collections.Counter[proxying.PromptPart] = (
            collections.Counter()
        )
        self.tokens = 0
        self.in_flight = 0
        self.peer_demand: dict[str, float] = {}
        self.busy_until = -math.inf
        self.short_until = -math.inf

    def record_arrival(
        self, urgency: Urgency, metadata: proxying.RequestMetadata
    ) -> None:
        """Count a caller's request, admitted or not."""
        kind = self._get_kind(urgency)
        kind.rate = kind.read_rate(self.clock()) + 1 / DEMAND_AVERAGE_S
        tokens = self.count_new_tokens(metadata)
        kind.tokens += _SMOOTHING * (tokens - kind.tokens)

    def take(self, metadata: proxying.RequestMetadata) -> None:
        """Count a request that now needs a slot and memory."""
        self.in_flight += 1
        self.tokens += self.count_new_tokens(metadata)
        self.part_counts.update(metadata.prompt)

    def release(self, metadata: proxying.RequestMetadata) -> None:
        """Count that a request needs neither any more."""
        self.in_flight -= 1
        for part in metadata.prompt:
            self.part_counts[part] -= 1
            if not self.part_counts[part]:
                del self.part_counts[part]
        self.tokens -= self.count_new_tokens(metadata)

    def count_new_tokens(self, metadata: proxying.RequestMetadata) -> int:
        """Return the tokens that a request adds to those in memory."""
        return metadata.max_output_tokens + sum(
            part.tokens
            for part in metadata.prompt
            if part not in self.part_counts
        )

    def is_short(self) -> bool:
        """Return whether the pool was short of room when last looked at."""
        return self.short_until >= self.clock()

    def record_service_time(self, urgency: Urgency, seconds: float) -> None:
        """Add how long a request held its slot to the average."""
        kind = self._get_kind(urgency)
        average_s = kind.service_time_s or seconds
        kind.service_time_s = average_s + _SMOOTHING * (seconds - average_s)

    def sum_wanted_before(self, urgency: Urgency) -> WantedRoom:
        """Return the room that more urgent requests need.

        By Little's law so many need it at once as arrive in the time that one
        has its slot.
        """
        now = self.clock()
        slots = tokens = variance = 0.0
        for other, kind in self.kinds.items():
            if other < urgency:
                wanted = kind.read_rate(now) * kind.service_time_s
                slots += wanted
                tokens += wanted * kind.tokens
                variance += wanted * kind.tokens**2
        return WantedRoom(slots, tokens, variance)

    def count_kinds_before(self, urgency: Urgency) -> int:
        """Return how many more urgent kinds of requests there are."""
        return sum(1 for other in self.kinds if other < urgency)

    def read_demand(self) -> float:
        """Return the requests a second that can be in time."""
        now = self.clock()
        return sum(
            kind.read_rate(now)
            for urgency, kind in self.kinds.items()
            if urgency != LATE
        )

    def own_part(self, peers: Iterable[str]) -> float:
        """Return this router's part of all demand, from 0 to 1.

        A peer whose demand isn't known counts like the average of the others.
        """
        demands = [IDLE_DEMAND + self.read_demand()]
        unknown = 0
        for host in peers:
            demand = self.peer_demand.get(host)
            if demand is None:
                unknown += 1
            else:
                demands.append(IDLE_DEMAND + demand)
        total = sum(demands) * (1 + unknown / len(demands))
        return demands[0] / total

    def _get_kind(self, urgency: Urgency) -> _Kind:
        """Return the requests of an urgency, new ones if there are none."""
        kind = self.kinds.get(urgency)
        if kind is None:
            kind = self.kinds[urgency] = _Kind(updated_at=self.clock())
        return kind


class PoolRooms:
    """The room of all pools whose engines' memory is known."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.rooms: dict[str, PoolRoom] = {}

    def get(self, pool: str) -> PoolRoom:
        """Return the room of a pool."""
        room = self.rooms.get(pool)
        if room is None:
            room = self.rooms[pool] = PoolRoom(self.clock)
        return room

    def record_peer_demand(self, host: str, demand: dict[str, float]) -> None:
        """Record a peer's requests a second by pool, for those it names."""
        for pool, room in self.rooms.items():
            if pool in demand:
                room.peer_demand[host] = demand[pool]
            else:
                room.peer_demand.pop(host, None)

    def read_demand(self) -> dict[str, float]:
        """Return this router's requests a second, for pools that are busy."""
        now = self.clock()
        return {
            pool: round(room.read_demand(), 1)
            for pool, room in self.rooms.items()
            if room.busy_until >= now
        }
