"""Admission control: apply the policies to one request."""

from arbutusvale.coordination import edge_admission_policy
from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_requests
from arbutusvale.coordination import room_policy
from arbutusvale.state import pool_demand
from arbutusvale.state import pool_room


def admit(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> edge_admission_policy.Admitted | edge_admission_policy.Rejected:
    """Admit a request, or reject it and log the reason."""
    pool_state = describe_pool(context, request.pool)
    if pool_state.memory_tokens:
        request.late = _has_come_back(context, request)
        context.rooms.get(request.pool).record_arrival(
            request.urgency, request.metadata
        )
        request.work = _estimate_work(context, request)
    admission_request = _describe_request(context, request)
    jitter = context.generator.random()
    room_check = _check_room(context, request, pool_state)
    decision = edge_admission_policy.check_link(
        context.link_queue.queueing_delay_s(), jitter
    ) or edge_admission_policy.decide_admission(
        edge_admission_policy.PoolLoad(pool_state.requests, pool_state.slots),
        admission_request,
        jitter,
        room_check,
    )
    rejected = isinstance(decision, edge_admission_policy.Rejected)
    if not request.late:
        context.admission_rates.record(
            request.pool, request.route.name, not rejected
        )
    if rejected:
        _log_rejection(context, request, admission_request, decision)
    return decision


def record_start(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> None:
    """Count an admitted request as in flight."""
    context.in_flight.record_start(
        request.pool, request.organisation or '', request.work
    )
    take_room(context, request)


def record_end(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> None:
    """Count the end of a request."""
    context.in_flight.record_end(
        request.pool, request.organisation or '', request.work
    )
    release_room(context, request)
    context.latency_estimator.record_completion(request.pool)


def record_service_time(
    context: edge_context.EdgeContext,
    request: edge_requests.RoutedRequest,
    elapsed_s: float,
) -> None:
    """Record how long a request took that ran to its end."""
    for key in (request.route.name, request.pool):
        context.typical_service_times.record(key, elapsed_s)
    if request.holds_room:
        context.rooms.get(request.pool).record_service_time(
            request.urgency, elapsed_s
        )


def may_run(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> bool:
    """Return whether a request that is sent now ends before this router."""
    limits = context.work_limits
    return limits is None or limits.permits_run(
        context.clock(), _expected_run_time_s(context, request)
    )


def may_wait(
    context: edge_context.EdgeContext,
    request: edge_requests.RoutedRequest,
    wait_s: float,
) -> bool:
    """Return whether a request may wait for a server at this router."""
    limits = context.work_limits
    return limits is None or limits.permits_wait(
        context.clock(), wait_s, _expected_run_time_s(context, request)
    )


def _expected_run_time_s(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> float:
    """Return how long a request may take at a server, in seconds.

    It is an upper bound for one that must not run twice: the caller could do
    nothing with an unknown outcome.
    """
    route = request.route
    times = context.run_times
    run_time_s = (
        times.average_s(route.name)
        if route.retryable
        else times.upper_bound_s(route.name)
    )
    return route.target_latency_s if run_time_s is None else run_time_s


def take_room(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> None:
    """Count a request's slot and memory, if its pool has known memory."""
    if not request.holds_room and _memory_tokens(context, request.pool):
        request.holds_room = True
        context.rooms.get(request.pool).take(request.metadata)


def release_room(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> None:
    """Give a request's slot and memory to others."""
    if request.holds_room:
        request.holds_room = False
        context.rooms.get(request.pool).release(request.metadata)


def has_room(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> bool:
    """Return whether a request that lost its server has room at another."""
    state = describe_pool(context, request.pool)
    check = _check_room(context, request, state)
    return check is None or not check.obstacle


def engine_priority(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> int:
    """Return the priority at which an engine queues a request, 0 first."""
    if not request.holds_room:
        return request.priority
    return context.rooms.get(request.pool).count_kinds_before(request.urgency)


def is_short_of_room(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> bool:
    """Return whether all servers of a request's pool were busy just now."""
    return request.holds_room and context.rooms.get(request.pool).is_short()


def describe_pool(
    context: edge_context.EdgeContext, pool: str
) -> room_policy.PoolState:
    """Sum the load and slots of a pool's ready servers that aren't ejected.

    Slots of a server that has had the requests that it takes are of no use.
    A pool with known memory has no room at servers that were ejected and
    haven't answered since: most are dead, but listed for some seconds.
    """
    memory_tokens = _memory_tokens(context, pool)
    detector = context.outlier_detector
    servers = [
        listed.server
        for listed in context.servers.list_ready_servers(pool)
        if not detector.is_ejected(listed.server.id)
        and not (memory_tokens and detector.is_on_probation(listed.server.id))
        and not context.limits.time_until_free_s(listed.server)
    ]
    return room_policy.PoolState(
        requests=sum(
            room_policy.plausible_load(
                context.loads.estimate(candidate.id),
                candidate.slots,
                memory_tokens,
            )
            for candidate in servers
        ),
        slots=sum(candidate.slots for candidate in servers),
        engines=len(servers),
        memory_tokens=memory_tokens,
        service_time_s=context.typical_service_times.average_s(pool),
        shortest_target_s=context.demand.shortest_target_s(pool),
    )


def _memory_tokens(context: edge_context.EdgeContext, pool: str) -> int:
    """Return the memory of each engine of a pool; 0 if it isn't known."""
    table = context.config.route_table
    if table is None:
        return 0
    settings = table.configuration.pools.get(pool)
    return 0 if settings is None else settings.memory_tokens


def _check_room(
    context: edge_context.EdgeContext,
    request: edge_requests.RoutedRequest,
    pool: room_policy.PoolState,
) -> edge_admission_policy.RoomCheck | None:
    """Check a request against this router's part of its pool's room."""
    if not pool.memory_tokens:
        return None
    room = context.rooms.get(request.pool)
    share = room_policy.Share(
        part=room.own_part(context.peers.list_live()),
        requests=room.in_flight,
        tokens=room.tokens,
    )
    used = room_policy.utilisation(pool, share)
    if used >= room_policy.BUSY_UTILISATION:
        room.busy_until = context.clock() + pool_room.BUSY_RETENTION_S
    if used >= room_policy.SHORT_UTILISATION:
        room.short_until = context.clock() + pool_room.SHORT_RETENTION_S
    room_request = room_policy.RoomRequest(
        tokens=request.metadata.total_tokens,
        new_tokens=room.count_new_tokens(request.metadata),
        wanted_before=room.sum_wanted_before(request.urgency),
        work=max(1.0, request.work) if request.late else request.work,
        starved=not request.late
        and context.admission_rates.is_starved(
            request.pool,
            request.route.name,
            pool_demand.STARVED_RATIO_BY_URGENCY,
        ),
    )
    return edge_admission_policy.RoomCheck(
        obstacle=room_policy.find_obstacle(pool, share, room_request),
        is_short=used >= room_policy.SHORT_UTILISATION,
        in_flight=room.in_flight,
        slots=room_policy.slot_limit(pool, share) if pool.slots else 0.0,
        wanted_before=room_request.wanted_before.slots,
        tokens=room.tokens,
    )


def _has_come_back(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> bool:
    """Return whether a caller has been refused, or lost its stream."""
    time_left_s = request.metadata.time_left_s
    returned = time_left_s is not None and context.usual_deadlines.record(
        request.route.name, time_left_s
    )
    return returned or request.resumes_stream


def _estimate_work(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> float:
    """Return a request's time in a slot over that of all of its pool."""
    times = context.typical_service_times
    return edge_admission_policy.relative_work(
        times.average_s(request.route.name), times.average_s(request.pool)
    )


def _describe_request(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> edge_admission_policy.AdmissionRequest:
    """Collect the inputs of the decision, and count the request's arrival."""
    pool = request.pool
    route = request.route
    organisation = request.organisation or ''
    context.in_flight.record_arrival(pool, organisation, request.work)
    context.demand.record(pool, request.priority, route.target_latency_s)
    return edge_admission_policy.AdmissionRequest(
        time_left_s=request.deadline - context.clock(),
        latency_target_s=context.demand.shortest_target_s(pool),
        service_time_s=context.typical_service_times.average_s(route.name),
        pool_service_time_s=_pool_service_time_s(context, pool),
        priority_rank=context.demand.count_more_urgent(pool, request.priority),
        organisation_in_flight=context.in_flight.count_in_flight(
            pool, organisation
        ),
        organisation_fair_share=context.in_flight.fair_share(
            pool, organisation
        ),
        starved=context.admission_rates.is_starved(pool, route.name),
    )


def _pool_service_time_s(
    context: edge_context.EdgeContext, pool: str
) -> float:
    """Return how long requests to a pool take now; 0 if not known."""
    return context.latency_estimator.estimate(
        pool,
        context.in_flight.total_in_flight(pool),
        context.typical_service_times.average_s(pool),
    )


def _log_rejection(
    context: edge_context.EdgeContext,
    request: edge_requests.RoutedRequest,
    admission_request: edge_admission_policy.AdmissionRequest,
    decision: edge_admission_policy.Rejected,
) -> None:
    """Log a rejection with the inputs of the decision."""
    room = decision.room
    room_fields = (
        {}
        if room is None
        else {
            'urgency': f'{request.priority}.{request.route.priority}',
            'late': int(request.late),
            'own': room.in_flight,
            'slots': room.slots,
            'wanted': room.wanted_before,
            'tokens': room.tokens,
        }
    )
    context.events.write(
        'turned-away',
        id=request.metadata.attempt_id,
        pool=request.pool,
        cause=decision.cause,
        wait=decision.wait_s,
        limit=edge_admission_policy.max_wait_s(admission_request),
        left=admission_request.time_left_s,
        usual=admission_request.service_time_s,
        pool_usual=admission_request.pool_service_time_s,
        rank=admission_request.priority_rank,
        held=admission_request.organisation_in_flight,
        fair_held=admission_request.organisation_fair_share,
        **room_fields,
    )
