"""Placement of a request on a backend server of its pool."""

from collections.abc import Sequence
import dataclasses
import typing

from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_placement_policy
from arbutusvale.protocol import proxying
from arbutusvale.state import server_list


class PlaceableRequest(typing.Protocol):
    """The attributes of a request that placement uses."""

    metadata: proxying.RequestMetadata
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The server chosen for a request.

    ``cache_source`` is the address of an engine to copy cached parts from,
    or empty.  ``shared_parts`` are the ids of the prompt parts that the
    server will have cached after the request.
    """

    server: proxying.BackendServer
    reason: str
    load: float
    bound: float
    cache_source: str
    shared_parts: tuple[str, ...]


def place_request(
    context: edge_context.EdgeContext,
    request: PlaceableRequest,
    tried_servers: Sequence[str],
    software_version: str | None = None,
) -> Placement | None:
    """Choose a server that wasn't tried yet; return None if there is none.

    Only servers of ``software_version`` are chosen, unless it is None, and
    none that asked for a pause.
    """
    ready = context.servers.list_ready_servers(request.pool, software_version)
    candidates = [
        _make_candidate(context, listed)
        for listed in ready
        if listed.server.id not in tried_servers
        and not context.pauses.time_left_s(listed.server)
    ]
    servers = {listed.server.id: listed.server for listed in ready}
    shared_parts = list_shared_parts(request.metadata)
    if not shared_parts:
        choice = edge_placement_policy.choose_weighted(
            candidates, context.generator.random()
        )
        source = ''
    else:
        holders_by_part = [
            context.prompts.find_engines(part) for part in shared_parts
        ]
        ranking = context.ranking(
            request.pool, list(servers), software_version
        ).rank(shared_parts[0], len(servers))
        choice = edge_placement_policy.choose_engine(
            candidates,
            ranking,
            holders_by_part[0],
            context.settings.bounds.load_factor,
        )
        source = ''
        if choice is not None:
            source = edge_placement_policy.find_cache_source(
                ranking, holders_by_part, choice.id
            )
    if choice is None:
        return None
    return Placement(
        server=servers[choice.id],
        reason=choice.reason,
        load=context.loads.estimate(choice.id),
        bound=choice.bound,
        cache_source=_find_source_address(context, source),
        shared_parts=shared_parts,
    )


def find_shortest_pause_s(
    context: edge_context.EdgeContext,
    request: PlaceableRequest,
    tried_servers: Sequence[str],
    software_version: str | None = None,
) -> float | None:
    """Return the seconds until a pause ends; None if no server pauses."""
    pauses = [
        context.pauses.time_left_s(listed.server)
        for listed in context.servers.list_ready_servers(
            request.pool, software_version
        )
        if listed.server.id not in tried_servers
    ]
    return min((pause_s for pause_s in pauses if pause_s), default=None)


def list_shared_parts(metadata: proxying.RequestMetadata) -> tuple[str, ...]:
    """Return the ids of the prompt parts that may be shared, deepest first.

    The last part is specific to one request or session; it is included only
    if it is the only one.  Ids contain the model, as caches aren't shared
    between models.
    """
    shared = metadata.prompt[:-1] or metadata.prompt
    return tuple(f'{metadata.model}/{part.id}' for part in reversed(shared))


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
    )


def _find_source_address(
    context: edge_context.EdgeContext, server_id: str
) -> str:
    """Return the address of a cache source, or empty.

    An ejected server isn't used: the copy would hang if it hangs.
    """
    source = context.servers.by_id.get(server_id)
    if source is None or context.outlier_detector.is_ejected(server_id):
        return ''
    return source.server.address
