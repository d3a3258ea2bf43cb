"""Gather what is known of a pool's load and admit one request to it."""

from arbutusvale.coordination import edgeadmission
from arbutusvale.coordination import edgeoutcomes
from arbutusvale.coordination import edgeparts


def find_room(
    parts: edgeparts.EdgeParts, order: edgeoutcomes.Order
) -> edgeadmission.Admitted | edgeadmission.TurnedAway:
    """Admit a request, or turn it away at once with a line in the log."""
    ask = _describe(parts, order)
    spread = parts.generator.random()
    decision = edgeadmission.decide_link(
        parts.link.queueing_delay_s(), spread
    ) or edgeadmission.decide(_sum_loads(parts, order.pool), ask, spread)
    turned_away = isinstance(decision, edgeadmission.TurnedAway)
    parts.admitted_shares.record(order.pool, order.route.name, not turned_away)
    if turned_away:
        _report(parts, order, ask, decision)
    return decision


def _sum_loads(
    parts: edgeparts.EdgeParts, pool: str
) -> edgeadmission.PoolLoad:
    """Add up the loads of the servers that a request may go to."""
    servers = [
        one.server
        for one in parts.servers.list_ready_servers(pool)
        if not parts.avoidance.is_avoided(one.server.id)
    ]
    requests = sum(parts.loads.estimate(one.id) for one in servers)
    slots = sum(one.slots for one in servers)
    return edgeadmission.PoolLoad(requests, slots)


def _describe(
    parts: edgeparts.EdgeParts, order: edgeoutcomes.Order
) -> edgeadmission.Ask:
    """Gather what admission needs to know of a request."""
    pool = order.pool
    route = order.route
    organisation = order.organisation or ''
    parts.in_flight.record_arrival(pool, organisation)
    parts.demand.record(pool, order.priority, route.target_latency_s)
    return edgeadmission.Ask(
        time_left_s=order.deadline - parts.clock(),
        target_s=parts.demand.shortest_target_s(pool),
        service_s=parts.usual_times.average_s(route.name),
        pool_service_s=_find_pool_time(parts, pool),
        rank=parts.demand.count_more_urgent(pool, order.priority),
        held=parts.in_flight.count_in_flight(pool, organisation),
        fair_held=parts.in_flight.fair_share(pool, organisation),
        deprived=parts.admitted_shares.is_starved(pool, route.name),
    )


def _find_pool_time(parts: edgeparts.EdgeParts, pool: str) -> float:
    """Return how long requests to a pool take now, 0 if not known."""
    return parts.throughput.estimate(
        pool,
        parts.in_flight.total_in_flight(pool),
        parts.usual_times.average_s(pool),
    )


def _report(
    parts: edgeparts.EdgeParts,
    order: edgeoutcomes.Order,
    ask: edgeadmission.Ask,
    decision: edgeadmission.TurnedAway,
) -> None:
    """Write what decided a refusal."""
    parts.events.write(
        'turned-away',
        id=order.traits.attempt_id,
        pool=order.pool,
        cause=decision.cause,
        wait=decision.wait_s,
        limit=edgeadmission.find_wait_limit(ask),
        left=ask.time_left_s,
        usual=ask.service_s,
        pool_usual=ask.pool_service_s,
        rank=ask.rank,
        held=ask.held,
        fair_held=ask.fair_held,
    )
