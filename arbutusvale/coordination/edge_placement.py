"""Placement of a request on a backend server of its pool."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import typing

from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_placement_policy
from arbutusvale.coordination import pace_policy
from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing
from arbutusvale.state import server_list

# While engines return, the mean load falls sooner than the loads of others, as
# streams last; counts say as little then as much older ones.
RETURN_LOAD_AGE_S = 1.0


class PlaceableRequest(typing.Protocol):
    """The attributes of a request that placement uses."""

    metadata: proxying.RequestMetadata
    pool: str
    route: routing.Route


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The server chosen for a request.

    ``cache_source`` is the address of an engine to copy cached parts from,
    or empty.  ``shared_parts`` are the ids of the prompt parts that the
    server will have cached after the request, ``unread_tokens`` the tokens of
    the prompt that it neither has cached nor copies.
    """

    server: proxying.BackendServer
    reason: str
    load: float
    slowdown: float
    bound: float
    cache_source: str
    shared_parts: tuple[str, ...]
    unread_tokens: int


def place_request(
    context: edge_context.EdgeContext,
    request: PlaceableRequest,
    tried_servers: Sequence[str],
    software_version: str | None = None,
    ticket: int | None = None,
) -> Placement | None:
    """Choose a server that wasn't tried yet; return None if there is none.

    Only servers of ``software_version`` are chosen, unless it is None, and
    none that asked for a pause or has had the requests that it takes.  Those
    with a limit are free for requests whose turn it is, by their ``ticket``.
    """
    ready = context.servers.list_ready_servers(request.pool, software_version)
    may_go = context.waiters.may_go(request.pool, ticket)
    candidates = [
        _make_candidate(context, listed)
        for listed in ready
        if listed.server.id not in tried_servers
        and not context.pauses.time_left_s(listed.server)
        and (may_go or not context.limits.is_limited(listed.server))
        and not context.limits.time_until_free_s(listed.server)
    ]
    servers = {listed.server.id: listed.server for listed in ready}
    shared_parts = list_shared_parts(request.metadata)
    if not shared_parts:
        choice = edge_placement_policy.choose_weighted(
            candidates, context.generator.random()
        )
        source = ''
    else:
        caching = [context.prompts.find_engines(part) for part in shared_parts]
        holders_by_part = [
            engines or context.prompts.find_readers(part)
            for part, engines in zip(shared_parts, caching, strict=True)
        ]
        ranking = context.ranking(
            request.pool, list(servers), software_version
        ).rank(shared_parts[0], len(servers))
        choice = edge_placement_policy.choose_engine(
            candidates,
            ranking,
            holders_by_part[0],
            _load_factor(context, request.pool, candidates),
            context.load_age_s()
            + (RETURN_LOAD_AGE_S if context.limits.has_warmups() else 0.0),
            # A prompt that is still being read can't be copied.
            context.prompt_loads.read(shared_parts[0]) if caching[0] else 0.0,
            context.generator.random(),
            edge_placement_policy.compute_tolerated_slowdown(
                request.route.target_latency_s,
                context.first_event_times.average_s(request.route.name),
            ),
        )
        source = ''
        returning = context.limits.warmups.list_limited_ids()
        if choice is not None and returning:
            choice = pace_policy.restore_ranking(
                choice, ranking, candidates, holders_by_part[0], returning
            )
        if choice is not None:
            source = edge_placement_policy.find_cache_source(
                ranking,
                [
                    {
                        server_id: holders[server_id]
                        for server_id in _select_usable(context, holders)
                    }
                    for holders in holders_by_part
                ],
                choice.id,
            )
    if choice is None or _should_wait_for_room(context, request, choice):
        return None
    return Placement(
        server=servers[choice.id],
        reason=choice.reason,
        load=context.loads.estimate(choice.id),
        slowdown=context.speeds.estimate(servers[choice.id]),
        bound=choice.bound,
        cache_source=(
            context.servers.by_id[source].server.address if source else ''
        ),
        shared_parts=shared_parts,
        unread_tokens=_count_unread_tokens(
            context, request.metadata, (choice.id, source)
        ),
    )


def _should_wait_for_room(
    context: edge_context.EdgeContext,
    request: PlaceableRequest,
    choice: edge_placement_policy.Choice,
) -> bool:
    """Return whether to wait for a cold server in place of a loaded one.

    All engines that may be chosen are above the bound, and others have room
    but have had the requests that they take for now.
    """
    if choice.reason != 'least-loaded':
        return False
    if not context.limits.has_warmups():
        return False
    if context.loads.estimate(choice.id) < choice.bound:
        return False
    return any(
        context.loads.estimate(listed.server.id) < choice.bound
        and context.limits.time_until_free_s(listed.server)
        for listed in context.servers.list_ready_servers(request.pool)
    )


def record_prompt(
    context: edge_context.EdgeContext,
    request: PlaceableRequest,
    service_time_s: float,
) -> None:
    """Count a request that usually takes so long in its prompt's load."""
    if len(request.metadata.prompt) > 1:
        part = request.metadata.prompt[-2]
        context.prompt_loads.record(
            _make_part_key(request.metadata, part), service_time_s
        )


def _count_unread_tokens(
    context: edge_context.EdgeContext,
    metadata: proxying.RequestMetadata,
    engine_ids: Sequence[str],
) -> int:
    """Return the tokens of a prompt that none of the engines has cached.

    A cached part is of no use behind one that isn't.
    """
    for index, part in enumerate(metadata.prompt):
        holders = context.prompts.find_engines(_make_part_key(metadata, part))
        if not any(engine_id in holders for engine_id in engine_ids):
            return sum(unread.tokens for unread in metadata.prompt[index:])
    return 0


def is_being_read(
    context: edge_context.EdgeContext, request: PlaceableRequest
) -> bool:
    """Return whether an engine is reading what a request would read anew.

    That is of no use while no server of the pool is ready.
    """
    if not context.servers.list_ready_servers(request.pool):
        return False
    parts = []
    for part in request.metadata.prompt[:-1]:
        key = _make_part_key(request.metadata, part)
        if _select_usable(context, context.prompts.find_engines(key)):
            state = edge_placement_policy.PartState.CACHED
        elif _select_usable(context, context.prompts.find_readers(key)):
            state = edge_placement_policy.PartState.BEING_READ
        else:
            state = edge_placement_policy.PartState.UNKNOWN
        parts.append((state, part.tokens))
    return edge_placement_policy.is_worth_awaiting(parts)


def find_shortest_wait_s(
    context: edge_context.EdgeContext,
    request: PlaceableRequest,
    tried_servers: Sequence[str],
    software_version: str | None = None,
    ticket: int | None = None,
) -> float | None:
    """Return the expected time until a server takes a request, in seconds.

    None if no server pauses or has a limit.
    """
    waits = []
    limited_waits = []
    total_share = 0.0
    all_end_in_s = 0.0
    for listed in context.servers.list_ready_servers(
        request.pool, software_version
    ):
        server = listed.server
        if server.id in tried_servers:
            continue
        pause_s = context.pauses.time_left_s(server)
        if context.limits.is_limited(server):
            free_s = context.limits.time_until_free_s(server)
            limited_waits.append(max(pause_s, free_s))
            total_share += context.limits.share(server)
            all_end_in_s = max(
                all_end_in_s, pause_s, context.limits.ends_in_s(server)
            )
        elif pause_s:
            waits.append(pause_s)
    if limited_waits:
        ahead = context.waiters.count_ahead(request.pool, ticket)
        waits.append(
            min(
                all_end_in_s,
                min(limited_waits) + ahead / max(total_share, 1e-9),
            )
        )
    return min(waits, default=None)


def list_shared_parts(metadata: proxying.RequestMetadata) -> tuple[str, ...]:
    """Return the ids of the prompt parts that may be shared, deepest first.

    The last part is specific to one request or session; it is included only
    if it is the only one.  Ids contain the model, as caches aren't shared
    between models.
    """
    shared = metadata.prompt[:-1] or metadata.prompt
    return tuple(_make_part_key(metadata, part) for part in reversed(shared))


def _make_part_key(
    metadata: proxying.RequestMetadata, part: proxying.PromptPart
) -> str:
    """Return the key of a prompt part in the index of caches."""
    return f'{metadata.model}/{part.id}'


def _make_candidate(
    context: edge_context.EdgeContext, listed: server_list.ListedServer
) -> edge_placement_policy.Candidate:
    """Return a listed server as a candidate of the policy."""
    server = listed.server
    return edge_placement_policy.Candidate(
        id=server.id,
        load=context.loads.estimate(server.id),
        slots=server.slots,
        ejected=context.outlier_detector.is_ejected(server.id),
        slowdown=context.speeds.estimate(server),
    )


def _load_factor(
    context: edge_context.EdgeContext,
    pool: str,
    candidates: Sequence[edge_placement_policy.Candidate],
) -> float:
    """Return the load factor, lower where engines can't be chosen.

    The users' bound refers to the mean of all engines, also of those that are
    evacuated, of another version or have had the requests that they take.
    """
    load_factor = context.settings.bounds.load_factor
    chosen_from = {candidate.id for candidate in candidates}
    left_out = [
        listed.server.id
        for listed in context.servers.list_all_ready(pool)
        if listed.server.id not in chosen_from
        and not context.outlier_detector.is_ejected(listed.server.id)
    ]
    if not left_out:
        return load_factor
    return edge_placement_policy.scale_load_factor(
        load_factor,
        [candidate.load for candidate in candidates],
        [context.loads.estimate(server_id) for server_id in left_out],
    )


def _select_usable(
    context: edge_context.EdgeContext, server_ids: Iterable[str]
) -> list[str]:
    """Return the engines that a cached part can be copied from.

    An ejected one isn't used: the copy would hang if it hangs.
    """
    return [
        server_id
        for server_id in server_ids
        if server_id in context.servers.by_id
        and not context.outlier_detector.is_ejected(server_id)
    ]
