"""Gather what is known of a pool and place one request in it."""

from collections.abc import Sequence
import dataclasses
import typing

from arbutusvale.coordination import edgeparts
from arbutusvale.coordination import engineplacement
from arbutusvale.protocol import directcall
from arbutusvale.state import serverlist


class Placeable(typing.Protocol):
    """Name what placement needs to know of a request."""

    traits: directcall.RequestTraits
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Hold a chosen server; ``cache_source`` is an address or empty.

    ``prompt`` is the id under which the choice is remembered.
    """

    server: directcall.BackendServer
    reason: str
    load: float
    bound: float
    cache_source: str
    prompt: str


def place(
    parts: edgeparts.EdgeParts, order: Placeable, tried: Sequence[str]
) -> Place | None:
    """Choose a server that wasn't tried yet; None when there is none."""
    ready = parts.servers.ready(order.pool)
    candidates = [
        _describe(parts, one) for one in ready if one.server.id not in tried
    ]
    servers = {one.server.id: one.server for one in ready}
    prompt = find_prompt(order.traits)
    if not prompt:
        choice = engineplacement.choose_plain(
            candidates, parts.generator.random()
        )
    else:
        ranking = parts.ranking(order.pool, list(servers))
        choice = engineplacement.choose_engine(
            candidates,
            ranking.rank(prompt, len(servers)),
            parts.prompts.holders(prompt),
            parts.settings.bounds.load_factor,
        )
    if choice is None:
        return None
    return Place(
        server=servers[choice.id],
        reason=choice.reason,
        load=parts.loads.estimate(choice.id),
        bound=choice.bound,
        cache_source=_find_address(parts, choice.cache_source),
        prompt=prompt,
    )


def find_prompt(traits: directcall.RequestTraits) -> str:
    """Return the id of the deepest part that requests share, or empty.

    The last part belongs to one request or session.
    """
    if len(traits.prompt) >= 2:
        return f'{traits.model}/{traits.prompt[-2].id}'
    if traits.prompt:
        return f'{traits.model}/{traits.prompt[0].id}'
    return ''


def _describe(
    parts: edgeparts.EdgeParts, one: serverlist.Listed
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
    one = parts.servers.listed.get(server_id)
    if one is None or parts.avoidance.is_avoided(server_id):
        return ''
    return one.server.address
