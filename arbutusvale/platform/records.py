"""Decoders of the platform's records: configuration and backend servers."""

from collections.abc import Callable
import functools
import json
import socket
import typing

from arbutusvale import errors
from arbutusvale.protocol import numeric
from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing

CONFIG_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'
CONFIG_KEY = 'config'
# A topic of the system's own; its partitions hold the same.
COPIES_TOPIC = 'keyed.arbutusvale-config'
COPY_PARTITIONS = (1, 2)
_EVACUATION_PREFIX = 'evacuate/'

ROUTE_KINDS = {
    'idempotent': routing.RouteKind.IDEMPOTENT,
    'non_idempotent': routing.RouteKind.NON_IDEMPOTENT,
    'streaming': routing.RouteKind.STREAM,
}
_SERVER_STATES = {
    'ready': proxying.ServerState.READY,
    'draining': proxying.ServerState.DRAINING,
}
DEFAULT_MAX_CONNECTIONS = 100
# Defaults of fields that a route omits.
DEFAULT_TARGET_MS = 1000
DEFAULT_GAP_MS = 300
DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_PRIORITY = 5
# A server that claims to be cold for longer is held to be in error.
MAX_COLD_S = 60.0
# A server that claims to take more at once is held to be in error.
MAX_SLOTS = 65_536
# The longest text in an entry of a server, in characters.
MAX_ENTRY_TEXT = 255
_MAX_PORT = 65_535


_Decoded = typing.TypeVar('_Decoded')


def _wrap_decode_errors(
    decode: Callable[..., _Decoded],
) -> Callable[..., _Decoded]:
    """Raise RecordError for any error of a decoder.

    Any other error would end its reader, which begins again at that record.
    """

    @functools.wraps(decode)
    def decode_or_raise(*arguments: typing.Any) -> _Decoded:
        try:
            return decode(*arguments)
        except errors.RecordError:
            raise
        except Exception as error:
            raise errors.RecordError(
                'the record', f'Write what can be decoded: {error!r}.'
            ) from error

    return decode_or_raise


@_wrap_decode_errors
def read_configuration(data: bytes) -> routing.Configuration:
    """Decode a configuration; raise RecordError naming a bad field."""
    document = _parse_object(data)
    return routing.Configuration(
        version=_get_integer(document, 'Version'),
        routes=tuple(
            _decode_route(row)
            for row in _get_list(document, 'Routes', required=True)
        ),
        pools={
            pool.name: pool
            for pool in map(_decode_pool, _get_list(document, 'Services'))
        },
        limits=_decode_limits(document.get('Limits')),
        organisations=_decode_organisations(document.get('Tenants')),
    )


def read_evacuated_data_centre(key: str) -> str | None:
    """Return the data centre that a record evacuates, by the record's key.

    None for records of other kinds.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return key.removeprefix(_EVACUATION_PREFIX) or None


@_wrap_decode_errors
def read_server(server_id: str, data: bytes) -> proxying.BackendServer:
    """Decode a server's entry; raise RecordError naming a bad field."""
    document = _parse_object(data)
    state = _SERVER_STATES.get(_get_text(document, 'State'))
    if state is None:
        raise errors.RecordError('State', 'Write ready or draining.')
    # The id stands in a header of each request.
    if not _is_token(server_id):
        raise errors.RecordError('the key', 'Write printable ASCII only.')
    address = _get_entry_text(document, 'Address')
    if not _is_address(address):
        raise errors.RecordError('Address', 'Write IP:PORT.')
    slots = _get_integer(document, 'Slots')
    if slots > MAX_SLOTS:
        raise errors.RecordError('Slots', f'Write {MAX_SLOTS} or less.')
    started_at_ms = _get_integer(document, 'born', 0)
    if started_at_ms < 0:
        raise errors.RecordError('born', 'Write a number from 0 on.')
    return proxying.BackendServer(
        id=server_id,
        pool=_get_entry_text(document, 'Service'),
        address=address,
        data_centre=_get_entry_text(document, 'Zone'),
        slots=max(1, slots),
        state=state,
        started_at_ms=started_at_ms,
        software_version=_get_entry_text(document, 'Version'),
        cold_for_s=min(
            MAX_COLD_S, _get_positive(document, 'WarmupLeftMs') / 1000
        ),
    )


def _parse_object(data: bytes) -> dict:
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


def _is_token(text: str) -> bool:
    """Return whether a text can stand in a header by itself."""
    return (
        0 < len(text) <= MAX_ENTRY_TEXT
        and text.isascii()
        and text.isprintable()
        and ' ' not in text
    )


def _is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port."""
    host, _, port = text.rpartition(':')
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    number = numeric.parse_count(port.encode('ascii', 'replace'))
    return number is not None and 0 < number <= _MAX_PORT


def _decode_route(row: object) -> routing.Route:
    """Decode one route."""
    if not isinstance(row, dict):
        raise errors.RecordError('Routes', 'Write an object for each route.')
    kind = ROUTE_KINDS.get(str(row.get('RouteType')))
    return routing.Route(
        name=_get_text(row, 'Name'),
        host=_get_text(row, 'Host').lower(),
        path_prefix=_get_text(row, 'PathPrefix'),
        # A request of an unknown kind must not run twice.
        kind=kind or routing.RouteKind.NON_IDEMPOTENT,
        timeout_s=_get_integer(row, 'TimeoutMs') / 1000,
        target_latency_s=_get_integer(
            row, 'TargetLatencyMs', DEFAULT_TARGET_MS
        )
        / 1000,
        priority=_get_integer(row, 'Priority', DEFAULT_PRIORITY),
        splits=_decode_splits(row),
        max_attempts=max(
            1, _get_integer(row, 'MaxAttempts', DEFAULT_MAX_ATTEMPTS)
        ),
        anonymous=row.get('Anonymous') is True,
        resumable=row.get('StreamResume') is True,
        target_gap_s=_get_integer(row, 'GapAimMs', DEFAULT_GAP_MS) / 1000,
    )


def _decode_splits(row: dict) -> tuple[routing.Split, ...]:
    """Decode the traffic split of a route, or its single service."""
    splits = row.get('TrafficSplit')
    if not splits:
        return (routing.Split(_get_text(row, 'Service'), 1.0),)
    if not isinstance(splits, list):
        raise errors.RecordError('TrafficSplit', 'Write a list.')
    weighted = tuple(
        routing.Split(
            _get_text(split, 'Service'), _get_integer(split, 'Weight')
        )
        for split in splits
        if isinstance(split, dict)
    )
    return tuple(split for split in weighted if split.weight > 0)


def _decode_pool(row: object) -> routing.Pool:
    """Decode one service, which is a pool here."""
    if not isinstance(row, dict):
        raise errors.RecordError('Services', 'Write an object for each.')
    return routing.Pool(
        name=_get_text(row, 'Name'),
        max_connections=_get_integer(
            row, 'MaxConnections', DEFAULT_MAX_CONNECTIONS
        ),
        warmup_s=min(MAX_COLD_S, _get_positive(row, 'WarmupS')),
        warmup_rate=_get_positive(row, 'WarmupPerS'),
        memory_tokens=_decode_memory_tokens(row.get('EngineId')),
    )


def _decode_memory_tokens(row: object) -> int:
    """Decode what an engine holds; 0 if that isn't a positive number.

    The store accepts no invalid configuration, so a value of another type
    comes from a later build and must not make the rest unreadable.
    """
    value = row.get('KvCapacityTokens') if isinstance(row, dict) else None
    return int(value) if numeric.is_finite(value) and value > 0 else 0


def _decode_limits(row: object) -> routing.CallerLimits:
    """Decode the limits of callers; absent ones have their default."""
    if not isinstance(row, dict):
        return routing.CallerLimits()
    defaults = routing.CallerLimits()
    return routing.CallerLimits(
        max_header_bytes=_get_integer(
            row, 'MaxHeaderBytes', defaults.max_header_bytes
        ),
        max_body_bytes=_get_integer(
            row, 'MaxBodyBytes', defaults.max_body_bytes
        ),
        header_timeout_s=_get_integer(
            row, 'HeaderTimeoutMs', int(defaults.header_timeout_s * 1000)
        )
        / 1000,
        idle_timeout_s=_get_integer(
            row, 'IdleTimeoutMs', int(defaults.idle_timeout_s * 1000)
        )
        / 1000,
    )


def _decode_organisations(
    rows: object,
) -> dict[str, routing.Organisation] | None:
    """Map API keys to organisations; None if none are configured."""
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
            _get_text(row, 'Name'),
            priority if isinstance(priority, int) else None,
        )
        for key in _get_list(row, 'ApiKeys'):
            owners[str(key)] = owner
    return owners


def _get_text(row: dict, name: str) -> str:
    """Return a non-empty string; raise RecordError for other values."""
    value = row.get(name)
    if not isinstance(value, str) or not value:
        raise errors.RecordError(name, 'Write a text.')
    return value


def _get_entry_text(row: dict, name: str) -> str:
    """Return a text of an entry of a server, which is a short one."""
    value = _get_text(row, name)
    if len(value) > MAX_ENTRY_TEXT or not value.isprintable():
        raise errors.RecordError(
            name, f'Write at most {MAX_ENTRY_TEXT} printable characters.'
        )
    return value


def _get_integer(row: dict, name: str, default: int | None = None) -> int:
    """Return an integer, a fraction truncated; else raise RecordError."""
    value = row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise errors.RecordError(name, 'Write a number.')
    if not -numeric.COUNT_LIMIT < value < numeric.COUNT_LIMIT:
        raise errors.RecordError(name, 'Write a number below 2^53.')
    return int(value)


def _get_positive(row: dict, name: str) -> float:
    """Return a positive number, 0 for any other value."""
    value = row.get(name)
    return float(value) if numeric.is_finite(value) and value > 0 else 0.0


def _get_list(row: dict, name: str, required: bool = False) -> list:
    """Return a list, empty if it is absent and not required."""
    value = row.get(name)
    if value is None and not required:
        return []
    if not isinstance(value, list):
        raise errors.RecordError(name, 'Write a list.')
    return value
