"""Decide at once whether a request can be served, before it waits.

Requests wait in the queues of their servers and not in routers: a server
sees all that wait for it and admits the most urgent first, while each of
many routers would order only its own sliver.  A router keeps these queues
so short that what it admits is still on time: an answer that comes late
takes as many places as one on time, so a long queue only makes all late.

Load patterns answered:

- *more work than the servers can do, for long*: when the expected wait
  passes a share of the time in which an answer is aimed at, requests are
  refused at once; the least urgent have the smallest share and go first;
- *urgent work alone fills the servers*: a route that was admitted far more
  seldom than the others is judged like the most urgent one, so that no kind
  of request starves;
- *the refused return*: they come late in the time for which callers wait, and
  spread over it, so that they meet neither each other nor the same overload;
  what only this VM or one server refused may return by another way at once;
- *a thin link gets more than it can carry*: requests are refused while what
  was written waits at the VM's own link, and readiness fails;
- *one organisation surges*: while all servers are full, an organisation
  that holds far more than its usual share of what this router has in flight
  is refused first, so that others find room; a large one that only keeps
  its share of a surge of all isn't.
"""

import dataclasses

# The most urgent requests may spend this share of their objective waiting;
# the rest is left to the prompt's reading and to counts that are stale.
MAX_WAIT_SHARE = 0.5
# Each less urgent priority may wait for this share of the one before it.
PRIORITY_WAIT_FACTOR = 0.7
# An organisation may hold this many times its usual share.
FAIR_SHARE_FACTOR = 2.0
# Below this many in flight no organisation is refused for its share.
FAIR_SHARE_MIN_IN_FLIGHT = 4
# A request that has less time than it usually takes may still be quicker.
DEADLINE_TOLERANCE = 1.5
# A new connection by another VM takes some milliseconds; this spreads them.
MIN_RETRY_AFTER_S = 0.1
# Callers honour a Retry-After up to a third of the time that they have left.
RETRY_AFTER_SHARE = 0.33
# A caller that waits for its request to be read leaves after a second, and
# each request crosses the link at least twice.
MAX_LINK_WAIT_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad:
    """Hold the estimated requests and the slots of a pool's servers.

    Placement keeps the queues of full servers equally long, so the pool is
    judged as a whole.
    """

    requests: float
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Describe a request that asks for a place; times are in seconds.

    ``target_s`` is the time to an answer, or to its first event, that the
    route aims at.  ``service_s`` is the usual time that a request of the
    route holds a slot, ``pool_service_s`` that of all requests of the pool;
    0 when not known.  ``rank`` counts the priorities in use that are more
    urgent.  ``held`` counts what its organisation has in flight here,
    ``fair_held`` is its usual share of all that is.  ``deprived`` tells that
    its route was admitted far more seldom than others.
    """

    time_left_s: float
    latency_target_s: float
    service_time_s: float
    pool_service_time_s: float
    priority_rank: int
    organisation_in_flight: int
    organisation_fair_share: float
    starved: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Let a request go to a server."""

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Refuse a request; ``retry_after_s`` is when there may be room."""

    cause: str
    wait_s: float
    retry_after_s: float


def check_link(wait_s: float, jitter: float) -> Rejected | None:
    """Turn a request away that would wait too long at this VM's link."""
    if wait_s <= MAX_LINK_WAIT_S:
        return None
    return Rejected('link', wait_s, alternate_retry_after_s(jitter))


def decide_admission(
    load: PoolLoad, request: AdmissionRequest, jitter: float
) -> Admitted | Rejected:
    """Admit a request or turn it away; ``spread`` is between 0 and 1."""
    if not load.slots:
        return Admitted(0.0)
    wait_s = _expected_wait_s(load, request.pool_service_time_s)
    if wait_s <= 0 or request.service_time_s <= 0:
        return Admitted(max(0.0, wait_s))
    if (
        request.organisation_in_flight >= FAIR_SHARE_MIN_IN_FLIGHT
        and request.organisation_in_flight
        > FAIR_SHARE_FACTOR * request.organisation_fair_share
    ):
        cause = 'share'
    elif wait_s > max_wait_s(request):
        cause = 'overload'
    elif (
        wait_s + request.service_time_s
        > request.time_left_s * DEADLINE_TOLERANCE
    ):
        cause = 'deadline'
    else:
        return Admitted(wait_s)
    retry_after_s = pool_retry_after_s(request.time_left_s, jitter)
    return Rejected(cause, wait_s, retry_after_s)


def max_wait_s(request: AdmissionRequest) -> float:
    """Return for how long a request may be expected to wait, in seconds."""
    priority_rank = 0 if request.starved else request.priority_rank
    return (
        request.latency_target_s
        * MAX_WAIT_SHARE
        * PRIORITY_WAIT_FACTOR**priority_rank
    )


def _expected_wait_s(load: PoolLoad, service_time_s: float) -> float:
    """Return how long a new request probably waits for a slot."""
    return (load.requests + 1 - load.slots) / load.slots * service_time_s


def pool_retry_after_s(time_left_s: float, jitter: float) -> float:
    """Return when to come back to a pool that is full, in seconds.

    Callers return once; the later they do, the likelier the surge is over.
    """
    max_delay_s = max(MIN_RETRY_AFTER_S, time_left_s * RETRY_AFTER_SHARE)
    return max_delay_s * (1 + jitter) / 2


def alternate_retry_after_s(jitter: float) -> float:
    """Return when to come back by another VM or to another server."""
    return MIN_RETRY_AFTER_S * (1 + 2 * jitter)
