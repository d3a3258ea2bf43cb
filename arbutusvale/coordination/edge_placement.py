"""Gather what is known of a pool and place one request in it."""

from collections.abc import Sequence
import dataclasses
import typing

from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_placement_policy
from arbutusvale.protocol import proxying
from arbutusvale.state import server_list


class PlaceableRequest(typing.Protocol):
    """Name what placement needs to know of a request."""

    metadata: proxying.RequestMetadata
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Hold a chosen server; ``cache_source`` is an address or empty.

    ``parts_read`` are the shared parts that the server will then hold.
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
) -> Placement | None:
    """Choose a server that wasn't tried yet; None when there is none."""
    ready = context.servers.list_ready_servers(request.pool)
    candidates = [
        _make_candidate(context, listed)
        for listed in ready
        if listed.server.id not in tried_servers
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
        ranking = context.ranking(request.pool, list(servers)).rank(
            shared_parts[0], len(servers)
        )
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


def list_shared_parts(metadata: proxying.RequestMetadata) -> tuple[str, ...]:
    """Return the ids of the parts that requests share, the deepest first.

    The last part belongs to one request or session; it counts only when it
    is the only one.  A part is the same only under the same model.
    """
    shared = metadata.prompt[:-1] or metadata.prompt
    return tuple(f'{metadata.model}/{part.id}' for part in reversed(shared))


def _make_candidate(
    context: edge_context.EdgeContext, listed: server_list.ListedServer
) -> edge_placement_policy.Candidate:
    """Describe a listed server as a candidate."""
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
    """Return the address of a listed server, or empty.

    A server that fails is no source: the copy would hang with it.
    """
    source = context.servers.by_id.get(server_id)
    if source is None or context.outlier_detector.is_ejected(server_id):
        return ''
    return source.server.address
