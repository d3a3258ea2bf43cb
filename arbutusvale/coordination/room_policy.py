"""Admission policy for a pool whose engines have too little room.

Room is a number of slots and the memory for so many tokens.  Each router
admits what fits in its part of a pool's room, and divides that by urgency.

Load patterns covered:

- *most engines are lost beside a burst*: callers ask for far more than the
  engines that are left can serve; what they serve in time counts, so requests
  are only admitted up to their slots, and no queue forms in front of them;
- *many routers with old counts*: all would take the same free slots and then
  all refuse; each keeps to its own part, which it counts exactly, and corrects
  it by what the counts of the others say of the whole pool;
- *urgent and other requests compete*: a request leaves some slots free for
  more urgent ones, as many as these vary by, so that urgent ones find a slot
  while others still take what they leave;
- *urgent requests alone fill the engines*: a route that is hardly ever
  admitted competes like the most urgent, so that none starves;
- *long prompts*: they run out of memory before slots, and what is evicted for
  that is read again, so a request must fit in the memory that is left;
- *requests of engines that died*: they need room at those that are left like
  new ones; they wait for it in their router, behind new ones once they can't
  be in time any more, as they are late but needn't be lost;
- *refused callers come back*: their answers would be late, and would take the
  slots of new requests; they get what these leave.
"""

import dataclasses
import math

from arbutusvale.state import pool_room

# Below this share of a pool's slots in use, requests are admitted freely.
SHORT_UTILISATION = 0.75
# Peers are told of the demand from here on, so that parts are known in time.
BUSY_UTILISATION = 0.5
# How strongly, and how far, this router's part follows what is free in the
# pool or queues there beyond what may.
CORRECTION_GAIN = 2.0
MAX_CORRECTION = 0.5
# Slots kept free for urgent requests, in standard deviations of their number.
RESERVE_DEVIATIONS = 2.0
# Shorter requests count as this much work, as many of them take many slots.
MIN_WORK = 0.4
# Share of the shortest target latency that requests may wait for a slot.
MAX_WAIT_SHARE = 0.4
# The rest of the memory allows for parts that shift with the demand.
MEMORY_SHARE = 0.9
# Requests at an engine per slot; one that reports more is in error.
MAX_LOAD_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """A pool's usable engines and the requests at them.

    ``requests`` is the estimated number at all of them, from all routers;
    ``slots`` counts those of all engines.  ``memory_tokens`` is the memory of
    one engine, 0 if not known, and ``engines`` the number of engines.
    ``service_time_s`` is how long a request has a slot, 0 if not known;
    ``shortest_target_s`` is the shortest target latency of its requests.
    """

    requests: float
    slots: int
    engines: int
    memory_tokens: int
    service_time_s: float = 0.0
    shortest_target_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """This router's part of a pool, from 0 to 1, and what it uses.

    ``requests`` and ``tokens`` are those of its requests in flight.
    """

    part: float
    requests: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoomRequest:
    """A request that needs a slot and memory.

    ``tokens`` is all that it needs at an engine, ``new_tokens`` what others
    don't need as well.  ``wanted_before`` is what more urgent requests of this
    router need.  ``work`` is its time in a slot over that
    of its pool's requests.  ``starved`` means that its route is hardly
    admitted.
    """

    tokens: int
    new_tokens: int
    wanted_before: pool_room.WantedRoom
    work: float
    starved: bool


def plausible_load(requests: float, slots: int, memory_tokens: int) -> float:
    """Return the load to count for an engine, whatever it reports.

    Servers without known memory count as they are.
    """
    if not memory_tokens:
        return requests
    return min(requests, MAX_LOAD_FACTOR * slots)


def utilisation(pool: PoolState, share: Share) -> float:
    """Return the used share of what runs out first.

    That is the pool's slots, or this router's part of its slots or memory.
    """
    if not pool.slots:
        return 0.0
    return max(
        pool.requests / pool.slots,
        share.requests / max(1.0, share.part * pool.slots),
        share.tokens / max(1.0, memory_limit(pool, share)),
    )


def find_obstacle(pool: PoolState, share: Share, request: RoomRequest) -> str:
    """Return why a request has no room now; empty if it has.

    It is ``too-large`` for one that no engine can hold, else ``memory``,
    ``slots`` or ``urgency``, for slots that more urgent requests need.
    """
    if not pool.slots:
        return ''
    if request.tokens > pool.memory_tokens:
        return 'too-large'
    if utilisation(pool, share) < SHORT_UTILISATION:
        return ''
    tokens = share.tokens + request.new_tokens
    if not request.starved:
        tokens += reserved_tokens(request)
    if share.requests and tokens > memory_limit(pool, share):
        return 'memory'
    slots = slot_limit(pool, share)
    if share.requests + 1 > slots:
        return 'slots'
    if not request.starved and share.requests + 1 > slots - reserved_slots(
        request
    ):
        return 'urgency'
    return ''


def reserved_slots(request: RoomRequest) -> float:
    """Return the slots that a request leaves free for more urgent ones.

    The number of requests that arrive and leave independently varies by about
    its square root.  One that is soon over is soon out of the way.
    """
    wanted = request.wanted_before.slots
    return min(wanted, _count_deviations(request) * math.sqrt(wanted))


def reserved_tokens(request: RoomRequest) -> float:
    """Return the tokens that a request leaves free for more urgent ones."""
    wanted = request.wanted_before
    return min(
        wanted.tokens,
        _count_deviations(request) * math.sqrt(wanted.token_variance),
    )


def _count_deviations(request: RoomRequest) -> float:
    """Return the standard deviations of what is kept free."""
    return RESERVE_DEVIATIONS * min(1.0, max(MIN_WORK, request.work))


def memory_limit(pool: PoolState, share: Share) -> float:
    """Return the tokens that this router's requests may need at once."""
    return MEMORY_SHARE * share.part * pool.engines * pool.memory_tokens


def slot_limit(pool: PoolState, share: Share) -> float:
    """Return how many requests this router may have in flight.

    It is more than its part while the pool has free slots, or a short queue
    that keeps them in use, and less while the queue is longer; at least one,
    as others may know of less demand.
    """
    queue = 0.0
    if pool.service_time_s > 0:
        wait_s = MAX_WAIT_SHARE * pool.shortest_target_s
        queue = min(1.0, wait_s / pool.service_time_s) * pool.slots
    free = (pool.slots + queue - pool.requests) / pool.slots
    correction = min(
        MAX_CORRECTION, max(-MAX_CORRECTION, CORRECTION_GAIN * free)
    )
    return max(1.0, share.part * pool.slots * (1 + correction))
