"""Decision at which software version a caller's stream may go on.

What two versions write doesn't fit together, and servers don't check it.
"""

import dataclasses

from arbutusvale.coordination import edge_context
from arbutusvale.coordination import edge_requests
from arbutusvale.state import stream_origins

# With an older server list, a version may serve that this router doesn't know.
MAX_LIST_AGE_S = 2.0


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
    while any stream of now may have begun.  A caller that names no attempt
    doesn't expect several versions, so its list needn't be fresh.
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
        if context.server_list_age_s() > MAX_LIST_AGE_S:
            return NotResumable('unknown-stream')
    versions = context.servers.list_recent_versions(
        request.pool, stream_origins.RETENTION_S
    )
    if len(versions) != 1:
        return NotResumable('unknown-stream')
    return Resumable(versions.pop(), 'only-version')
