"""Decode the platform's records of configuration and backend servers."""

import json
import math

from arbutusvale import errors
from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing

CONFIG_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'
CONFIG_KEY = 'config'

_KINDS = {
    'idempotent': routing.RouteKind.IDEMPOTENT,
    'non_idempotent': routing.RouteKind.NON_IDEMPOTENT,
    'streaming': routing.RouteKind.STREAM,
}
_STATES = {
    'ready': proxying.ServerState.READY,
    'draining': proxying.ServerState.DRAINING,
}
_DEFAULT_CONNECTIONS = 100
# Stand in for fields that a route leaves out.
_DEFAULT_TARGET_MS = 1000
_DEFAULT_GAP_MS = 300
_DEFAULT_ATTEMPTS = 1
_DEFAULT_PRIORITY = 5


def read_configuration(data: bytes) -> routing.Configuration:
    """Decode a configuration; raise RecordError naming the field."""
    document = _load(data)
    return routing.Configuration(
        version=_whole(document, 'Version'),
        routes=tuple(
            _read_route(row)
            for row in _list(document, 'Routes', required=True)
        ),
        pools={
            pool.name: pool
            for pool in map(_read_pool, _list(document, 'Services'))
        },
        limits=_read_limits(document.get('Limits')),
        organisations=_read_organisations(document.get('Tenants')),
    )


def read_server(server_id: str, data: bytes) -> proxying.BackendServer:
    """Decode the entry of one backend server; raise RecordError."""
    document = _load(data)
    state = _STATES.get(_text(document, 'State'))
    if state is None:
        raise errors.RecordError('State', 'Write ready or draining.')
    address = _text(document, 'Address')
    if not address.rpartition(':')[2].isdigit():
        raise errors.RecordError('Address', 'Write IP:PORT.')
    return proxying.BackendServer(
        id=server_id,
        pool=_text(document, 'Service'),
        address=address,
        data_centre=_text(document, 'Zone'),
        slots=max(1, _whole(document, 'Slots')),
        state=state,
        started_at_ms=_whole(document, 'born', 0),
    )


def _load(data: bytes) -> dict:
    """Parse a JSON object."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise errors.RecordError(
            'the record', f'Write JSON: {error}.'
        ) from error
    if not isinstance(document, dict):
        raise errors.RecordError('the record', 'Write a JSON object.')
    return document


def _read_route(row: object) -> routing.Route:
    """Decode one route."""
    if not isinstance(row, dict):
        raise errors.RecordError('Routes', 'Write an object for each route.')
    kind = _KINDS.get(str(row.get('RouteType')))
    return routing.Route(
        name=_text(row, 'Name'),
        host=_text(row, 'Host').lower(),
        path_prefix=_text(row, 'PathPrefix'),
        # What isn't known may not be repeated.
        kind=kind or routing.RouteKind.NON_IDEMPOTENT,
        timeout_s=_whole(row, 'TimeoutMs') / 1000,
        target_latency_s=_whole(row, 'TargetLatencyMs', _DEFAULT_TARGET_MS)
        / 1000,
        priority=_whole(row, 'Priority', _DEFAULT_PRIORITY),
        splits=_read_splits(row),
        max_attempts=max(1, _whole(row, 'MaxAttempts', _DEFAULT_ATTEMPTS)),
        anonymous=row.get('Anonymous') is True,
        resumable=row.get('StreamResume') is True,
        target_gap_s=_whole(row, 'GapAimMs', _DEFAULT_GAP_MS) / 1000,
    )


def _read_splits(row: dict) -> tuple[routing.Split, ...]:
    """Decode the pools of a route; one name stands for a whole split."""
    splits = row.get('TrafficSplit')
    if not splits:
        return (routing.Split(_text(row, 'Service'), 1.0),)
    if not isinstance(splits, list):
        raise errors.RecordError('TrafficSplit', 'Write a list.')
    read = tuple(
        routing.Split(_text(split, 'Service'), _whole(split, 'Weight'))
        for split in splits
        if isinstance(split, dict)
    )
    return tuple(split for split in read if split.weight > 0)


def _read_pool(row: object) -> routing.Pool:
    """Decode one service."""
    if not isinstance(row, dict):
        raise errors.RecordError('Services', 'Write an object for each.')
    return routing.Pool(
        name=_text(row, 'Name'),
        max_connections=_whole(row, 'MaxConnections', _DEFAULT_CONNECTIONS),
    )


def _read_limits(row: object) -> routing.CallerLimits:
    """Decode the limits of callers; absent ones keep their default."""
    if not isinstance(row, dict):
        return routing.CallerLimits()
    usual = routing.CallerLimits()
    return routing.CallerLimits(
        max_header_bytes=_whole(row, 'MaxHeaderBytes', usual.max_header_bytes),
        max_body_bytes=_whole(row, 'MaxBodyBytes', usual.max_body_bytes),
        header_timeout_s=_whole(
            row, 'HeaderTimeoutMs', int(usual.header_timeout_s * 1000)
        )
        / 1000,
        idle_timeout_s=_whole(
            row, 'IdleTimeoutMs', int(usual.idle_timeout_s * 1000)
        )
        / 1000,
    )


def _read_organisations(
    rows: object,
) -> dict[str, routing.Organisation] | None:
    """Decode the keys of organisations; None when none are configured."""
    if rows is None:
        return None
    if not isinstance(rows, list):
        raise errors.RecordError('Tenants', 'Write a list.')
    owners: dict[str, routing.Organisation] = {}
    for row in rows:
        if not isinstance(row, dict):
            raise errors.RecordError('Tenants', 'Write an object for each.')
        priority = row.get('Priority')
        owner = routing.Organisation(
            _text(row, 'Name'), priority if isinstance(priority, int) else None
        )
        for key in _list(row, 'ApiKeys'):
            owners[str(key)] = owner
    return owners


def _text(row: dict, name: str) -> str:
    """Return a text that is not empty."""
    value = row.get(name)
    if not isinstance(value, str) or not value:
        raise errors.RecordError(name, 'Write a text.')
    return value


def _whole(row: dict, name: str, default: int | None = None) -> int:
    """Return a whole number; a fraction is rounded down."""
    value = row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise errors.RecordError(name, 'Write a number.')
    if not math.isfinite(value):
        raise errors.RecordError(name, 'Write a finite number.')
    return int(value)


def _list(row: dict, name: str, required: bool = False) -> list:
    """Return a list, an empty one when it may be absent."""
    value = row.get(name)
    if value is None and not required:
        return []
    if not isinstance(value, list):
        raise errors.RecordError(name, 'Write a list.')
    return value
