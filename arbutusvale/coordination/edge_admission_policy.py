"""Admission control policy of the edge router.

Requests queue at the backend servers and not in routers: a server sees all
that wait for it and serves the most urgent first, while each of many routers
would only order its own fraction.  Admission control keeps these queues so
short that admitted requests are answered in time: a late response uses as
much capacity as one in time, so a long queue only makes all late.

Load patterns covered:

- *sustained overload*: when the expected queueing delay exceeds a share of
  the target latency, requests are rejected at once; less urgent priorities
  have a smaller share and are rejected first;
- *urgent requests alone fill the servers*: a route with a far lower admission
  rate than the others is treated like the most urgent priority, so that no
  route starves;
- *rejected callers retry*: their Retry-After lies late in the time that they
  have left and is jittered, so that retries neither form a burst nor meet the
  same overload; if only this VM or one server is the reason, another one may
  be tried at once;
- *saturated uplink of the VM*: requests are rejected while data queue at the
  VM's own network link, and the readiness check fails;
- *one organisation surges*: while all servers are full, an organisation with
  far more requests in flight than its usual share is rejected first, which
  leaves capacity to the others; one that only keeps its share while all
  surge isn't.
"""

import dataclasses

# Share of the target latency that the most urgent requests may spend in a
# queue; the rest is left for processing the prompt and for stale load counts.
MAX_WAIT_SHARE = 0.5
# Each less urgent priority may wait this fraction of the next more urgent one.
PRIORITY_WAIT_FACTOR = 0.7
# An organisation may have this many times its usual share in flight.
FAIR_SHARE_FACTOR = 2.0
# With fewer requests in flight no organisation is rejected for its share.
FAIR_SHARE_MIN_IN_FLIGHT = 4
# A request with less time left than requests usually take may still finish.
DEADLINE_TOLERANCE = 1.5
# A new connection through another VM takes some milliseconds; this delay
# spreads them.
MIN_RETRY_AFTER_S = 0.1
# Callers honour a Retry-After of up to a third of the time they have left.
RETRY_AFTER_SHARE = 0.33
EARLIEST_RETURN_SHARE = 0.25
PAUSE_SPREAD_SHARE = 0.5
# Callers give up if their request isn't read within a second, and each request
# crosses the link at least twice.
MAX_LINK_WAIT_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad:
    """Estimated requests and slots of all servers of a pool.

    Placement keeps the queues of full servers equally long, so the pool is
    treated as one queue.
    """

    requests: float
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Inputs of the admission decision on one request; times in seconds.

    ``latency_target_s`` is the shortest target of the pool's requests, for a
    whole response or the first event of a stream.  ``service_time_s`` is how
    long a request of the route usually holds a slot, ``pool_service_time_s``
    the same for all requests of the pool; 0 if not known.  ``priority_rank``
    counts the more urgent priorities in use.  ``organisation_in_flight``
    counts the requests that the organisation has in flight at this router,
    ``organisation_fair_share`` is its usual share of all of them, as a count.
    ``starved`` means that the route has a far lower admission rate than
    others.
    """

    time_left_s: float
    latency_target_s: float
    service_time_s: float
    pool_service_time_s: float
    priority_rank: int
    organisation_in_flight: float
    organisation_fair_share: float
    starved: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RoomCheck:
    """Whether this router's part of a pool has room for a request.

    ``obstacle`` is why not, empty if it has.  While the pool ``is_short`` of
    room, an organisation is held to its share.  ``in_flight``, ``slots``,
    ``wanted_before`` and ``tokens`` are inputs of the check, for the log.
    """

    obstacle: str
    is_short: bool
    in_flight: int
    slots: float
    wanted_before: float
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Decision to forward a request, with the expected wait in a queue."""

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Decision to reject a request; it may be retried after a delay."""

    cause: str
    wait_s: float
    retry_after_s: float
    room: RoomCheck | None = None


def check_link(wait_s: float, jitter: float) -> Rejected | None:
    """Reject a request that would wait too long at this VM's network link."""
    if wait_s <= MAX_LINK_WAIT_S:
        return None
    return Rejected('link', wait_s, alternate_retry_after_s(jitter))


def decide_admission(
    load: PoolLoad,
    request: AdmissionRequest,
    jitter: float,
    room: RoomCheck | None = None,
) -> Admitted | Rejected:
    """Admit or reject a request; ``jitter`` is between 0 and 1.

    With a check of the ``room`` that replaces the bound on the wait.
    """
    if not load.slots:
        return Admitted(0.0)
    wait_s = _expected_wait_s(load, request.pool_service_time_s)
    if room is not None and room.obstacle:
        retry_after_s = room_retry_after_s(request.time_left_s, jitter)
        return Rejected(room.obstacle, max(0.0, wait_s), retry_after_s, room)
    is_full = wait_s > 0 or (room is not None and room.is_short)
    if not is_full or request.service_time_s <= 0:
        return Admitted(max(0.0, wait_s))
    wait_s = max(0.0, wait_s)
    if (
        request.organisation_in_flight >= FAIR_SHARE_MIN_IN_FLIGHT
        and request.organisation_in_flight
        > FAIR_SHARE_FACTOR * request.organisation_fair_share
    ):
        cause = 'share'
    elif room is None and wait_s > max_wait_s(request):
        cause = 'overload'
    elif (
        wait_s + request.service_time_s
        > request.time_left_s * DEADLINE_TOLERANCE
    ):
        cause = 'deadline'
    else:
        return Admitted(wait_s)
    retry_after_s = pool_retry_after_s(request.time_left_s, jitter)
    return Rejected(cause, wait_s, retry_after_s, room)


def relative_work(service_time_s: float, pool_service_time_s: float) -> float:
    """Return how much more work a request is than one of its pool.

    It is its time in a slot over theirs, 1 while either isn't known.
    """
    if service_time_s <= 0 or pool_service_time_s <= 0:
        return 1.0
    return service_time_s / pool_service_time_s


def max_wait_s(request: AdmissionRequest) -> float:
    """Return the longest acceptable expected wait, in seconds."""
    priority_rank = 0 if request.starved else request.priority_rank
    return (
        request.latency_target_s
        * MAX_WAIT_SHARE
        * PRIORITY_WAIT_FACTOR**priority_rank
    )


def _expected_wait_s(load: PoolLoad, service_time_s: float) -> float:
    """Return how long a new request probably waits for a slot, in seconds."""
    return (load.requests + 1 - load.slots) / load.slots * service_time_s


def pool_retry_after_s(time_left_s: float, jitter: float) -> float:
    """Return the Retry-After for a pool that is full, in seconds.

    Callers retry once; the later they do, the likelier the surge is over.
    """
    max_delay_s = max(MIN_RETRY_AFTER_S, time_left_s * RETRY_AFTER_SHARE)
    return max_delay_s * (1 + jitter) / 2


def room_retry_after_s(time_left_s: float, jitter: float) -> float:
    """Return the Retry-After for a pool that is short of room, in seconds.

    Callers come back so late that their deadlines tell them from new ones.
    """
    share = EARLIEST_RETURN_SHARE + jitter * (
        RETRY_AFTER_SHARE - EARLIEST_RETURN_SHARE
    )
    return max(MIN_RETRY_AFTER_S, share * time_left_s)


def alternate_retry_after_s(jitter: float) -> float:
    """Return the Retry-After for another VM or server, in seconds."""
    return MIN_RETRY_AFTER_S * (1 + 2 * jitter)


def pause_retry_after_s(pause_s: float, jitter: float) -> float:
    """Return the Retry-After, in seconds, if all servers ask for a pause.

    Callers return within half as long again after the first pause ends.
    """
    spread_s = max(MIN_RETRY_AFTER_S, PAUSE_SPREAD_SHARE * pause_s)
    return pause_s + jitter * spread_s
