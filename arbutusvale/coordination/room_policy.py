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

# Below this share of a pool's slots in use, requests are admitted freely.
SHORT_UTILISATION = 0.75
# Peers are told of the demand from here on, so that parts are known in time.
BUSY_UTILISATION = 0.5
# How far this router's part follows what is free or queued in the pool.
MAX_CORRECTION = 0.5
# Share of the memory for prompts in use; the rest keeps cached prompts.
MEMORY_SHARE = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """A pool's usable engines and the requests at them.

    ``requests`` is the estimated number at all of them, from all routers;
    ``slots`` counts those of all engines.  ``memory_tokens`` is the memory of
    one engine, 0 if not known, and ``engines`` the number of engines.
    """

    requests: float
    slots: int
    engines: int
    memory_tokens: int


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
    don't need as well.  ``wanted_before`` is the number of this router's slots
    that more urgent requests need.  ``starved`` means that its route is hardly
    admitted.
    """

    tokens: int
    new_tokens: int
    wanted_before: float
    starved: bool


def utilisation(pool: PoolState, share: Share) -> float:
    """Return the used share of a pool's slots, or of this router's part."""
    if not pool.slots:
        return 0.0
    return max(
        pool.requests / pool.slots,
        share.requests / max(1.0, share.part * pool.slots),
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
    memory = MEMORY_SHARE * share.part * pool.engines * pool.memory_tokens
    if share.requests and share.tokens + request.new_tokens > memory:
        return 'memory'
    slots = slot_limit(pool, share)
    if share.requests + 1 > slots:
        return 'slots'
    if not request.starved and share.requests + 1 > slots - reserved_slots(
        request.wanted_before
    ):
        return 'urgency'
    return ''


def reserved_slots(wanted: float) -> float:
    """Return the slots to keep free for requests that need ``wanted`` slots.

    The number of requests that arrive and leave independently varies by about
    its square root.
    """
    return min(wanted, math.sqrt(wanted))


def slot_limit(pool: PoolState, share: Share) -> float:
    """Return how many requests this router may have in flight.

    It is more than its part while the pool has free slots, and less while
    requests queue; at least one, as others may know of less demand.
    """
    free = (pool.slots - pool.requests) / pool.slots
    correction = min(MAX_CORRECTION, max(-MAX_CORRECTION, free))
    return max(1.0, share.part * pool.slots * (1 + correction))
