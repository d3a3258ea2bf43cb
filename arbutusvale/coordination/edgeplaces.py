"""Gather what is known of a pool and place one request in it."""

from collections.abc import Sequence
import dataclasses
import typing

from arbutusvale.coordination import edgeparts
from arbutusvale.coordination import engineplacement
from arbutusvale.protocol import proxying
from arbutusvale.state import server_list


class Placeable(typing.Protocol):
    """Name what placement needs to know of a request."""

    traits: proxying.RequestMetadata
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Hold a chosen server; ``cache_source`` is an address or empty.

    ``parts_read`` are the shared parts that the server will then hold.
    """

    server: proxying.BackendServer
    reason: str
    load: float
    bound: float
    cache_source: str
    parts_read: tuple[str, ...]


def place(
    parts: edgeparts.EdgeParts, order: Placeable, tried: Sequence[str]
) -> Place | None:
    """Choose a server that wasn't tried yet; None when there is none."""
    ready = parts.servers.list_ready_servers(order.pool)
    candidates = [
        _describe(parts, one) for one in ready if one.server.id not in tried
    ]
    servers = {one.server.id: one.server for one in ready}
    parts_read = list_shared_parts(order.traits)
    if not parts_read:
        choice = engineplacement.choose_plain(
            candidates, parts.generator.random()
        )
        source = ''
    else:
        levels = [parts.prompts.find_engines(one) for one in parts_read]
        ranking = parts.ranking(order.pool, list(servers)).rank(
            parts_read[0], len(servers)
        )
        choice = engineplacement.choose_engine(
            candidates, ranking, levels[0], parts.settings.bounds.load_factor
        )
        source = ''
        if choice is not None:
            source = engineplacement.find_source(ranking, levels, choice.id)
    if choice is None:
        return None
    return Place(
        server=servers[choice.id],
        reason=choice.reason,
        load=parts.loads.estimate(choice.id),
        bound=choice.bound,
        cache_source=_find_address(parts, source),
        parts_read=parts_read,
    )


def list_shared_parts(traits: proxying.RequestMetadata) -> tuple[str, ...]:
    """Return the ids of the parts that requests share, the deepest first.

    The last part belongs to one request or session; it counts only when it
    is the only one.  A part is the same only under the same model.
    """
    shared = traits.prompt[:-1] or traits.prompt
    return tuple(f'{traits.model}/{part.id}' for part in reversed(shared))


def _describe(
    parts: edgeparts.EdgeParts, one: server_list.ListedServer
) -> engineplacement.Candidate:
    """Describe a listed server as a candidate."""
    server = one.server
    return engineplacement.Candidate(
        id=server.id,
        load=parts.loads.estimate(server.id),
        slots=server.slots,
        avoided=parts.avoidance.is_avoided(server.id),
    )


def _find_address(parts: edgeparts.EdgeParts, server_id: str) -> str:
    """Return the address of a listed server, or empty.

    A server that fails is no source: the copy would hang with it.
    """
    one = parts.servers.by_id.get(server_id)
    if one is None or parts.avoidance.is_avoided(server_id):
        return ''
    return one.server.address
