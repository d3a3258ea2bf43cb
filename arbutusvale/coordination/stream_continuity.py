"""Decision at which software version a caller's stream may go on.

What two versions write doesn't fit together, and servers don't check it.
"""

import asyncio
import dataclasses

from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_placement
from arbutusvale.coordination import edge_requests
from arbutusvale.coordination import stream_search_policy
from arbutusvale.protocol import stream_origin
from arbutusvale.state import rendezvous
from arbutusvale.state import stream_origins

# A caller that waits longer for its next event gives up.
MAX_SEARCH_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Resumable:
    """The stream may go on at this version; ``source`` tells who knew it."""

    software_version: str
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotResumable:
    """No version is known to fit, and why."""

    cause: str


async def find_version(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> Resumable | NotResumable:
    """Find the version that began the stream that a request resumes.

    A stream of unknown origin goes on if its pool has had one version only
    while any stream of now may have begun, or if engines of one version only
    have the caller's prompt cached.
    """
    attempt_id = request.metadata.resumes
    if attempt_id:
        is_known = context.origins.origins.find(attempt_id) is not None
        origin = await context.origins.find(attempt_id)
        if origin is not None:
            if origin.pool != request.pool:
                return NotResumable('stream-of-another-pool')
            source = 'known' if is_known else 'peer'
            return Resumable(origin.software_version, source)
    only_version = await _find_only_version(context, request)
    if only_version is not None:
        return Resumable(only_version, 'only-version')
    result = await _search_caches(context, request)
    match result:
        case Resumable(software_version) if attempt_id:
            context.origins.record(
                stream_origin.StreamOrigin(
                    attempt_id, request.pool, software_version
                )
            )
    return result


async def _find_only_version(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> str | None:
    """Return the version that any stream of now began at, None if unsure.

    Servers of another version may have been listed that this router doesn't
    know yet, as it is cut off from the store, or was, or between two reads.
    """
    names_attempt = bool(request.metadata.resumes)
    is_current = True
    if names_attempt and stream_search_policy.find_only_version(
        _describe_history(context, request.pool, is_current), names_attempt
    ):
        is_current = await context.confirm_server_list()
    return stream_search_policy.find_only_version(
        _describe_history(context, request.pool, is_current), names_attempt
    )


def _describe_history(
    context: edge_context.EdgeContext, pool: str, is_current: bool
) -> stream_search_policy.PoolHistory:
    """Return what this router has seen of a pool's versions."""
    window_s = stream_origins.RETENTION_S
    return stream_search_policy.PoolHistory(
        recent_versions=frozenset(
            context.servers.list_recent_versions(pool, window_s)
        ),
        watched_s=context.servers.watched_s(),
        window_s=window_s,
        is_current=is_current,
    )


async def _search_caches(
    context: edge_context.EdgeContext, request: edge_requests.RoutedRequest
) -> Resumable | NotResumable:
    """Ask the pool's engines, in rounds, which one has read the prompt."""
    metadata = request.metadata
    servers = {
        listed.server.id: listed.server
        for listed in context.servers.by_pool.get(request.pool, ())
    }
    if not metadata.prompt or not servers:
        return NotResumable('unknown-stream')
    part = metadata.prompt[-1]
    # The ranking of placement: the engine that began the stream, if it is
    # left, probably ranks among the first.
    ranking = rendezvous.Ranking(servers, vectorise=False).rank(
        edge_placement.list_shared_parts(metadata)[0], len(servers)
    )
    try:
        async with asyncio.timeout(MAX_SEARCH_S):
            for names in stream_search_policy.divide_into_rounds(ranking):
                asked = [servers[name] for name in names]
                counts = await context.holders.count_tokens(
                    asked, metadata.model, part.id
                )
                holders = [
                    stream_search_policy.Holder(server.software_version, count)
                    for server, count in zip(asked, counts, strict=True)
                    if count
                ]
                match stream_search_policy.judge(holders, part.tokens):
                    case stream_search_policy.Found(software_version):
                        return Resumable(software_version, 'engine')
                    case stream_search_policy.Ambiguous():
                        return NotResumable('ambiguous-stream')
    except TimeoutError:
        pass
    return NotResumable('unknown-stream')
