"""Encoding and decoding of the platform's request and response headers."""

from collections.abc import Iterable

from arbutusvale.protocol import numeric
from arbutusvale.protocol import proxying

ATTEMPT_ID = b'x-arbutusvale-attempt-id'
DEADLINE_MS = b'x-arbutusvale-deadline-ms'
LAST_EVENT_ID = b'last-event-id'
RESUMES = b'resumes'
SERVER_LEAVING = b'server-leaving'
SERVER_LIMIT = b'server-limit'
MODEL_ID = b'x-arbutusvale-model-id'
TOKEN_COUNT = b'x-arbutusvale-token-count'
PROMPT_PREFIX = b'x-arbutusvale-prompt-prefix'
ENGINE_SIGNATURE = b'x-arbutusvale-engine-signature'
ENGINE_LOAD = b'x-arbutusvale-engine-load'
WARMUP_MS = b'x-arbutusvale-warmup-ms'
NOT_EXECUTED = b'x-arbutusvale-not-executed'
EXPECTED_INSTANCE = b'x-arbutusvale-expected-instance'
TENANT = b'x-arbutusvale-tenant'
MISDIRECTED = 421

# Not forwarded from callers: a router uses them itself or sets its own.
_ROUTER_HEADERS = frozenset(
    (
        b'x-arbutusvale-deadline-ms',
        TENANT,
        EXPECTED_INSTANCE,
        b'x-arbutusvale-expected-version',
        b'x-arbutusvale-request-priority',
        b'x-arbutusvale-kv-reservation',
        b'x-arbutusvale-kv-backup',
        b'x-arbutusvale-pin-ms',
        b'kv-from',
        b'kv-fetch',
        b'last-event-id',
        b'authorization',
        SERVER_LEAVING,
        SERVER_LIMIT,
    )
)
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authorization',
        b'proxy-authenticate',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
# Forwarded even if a Connection header names them.
_END_TO_END_HEADERS = frozenset(
    (
        b'host',
        ATTEMPT_ID,
        MODEL_ID,
        TOKEN_COUNT,
        PROMPT_PREFIX,
        b'content-type',
    )
)
_MAX_PRIORITY = 9
_SERVICE_UNAVAILABLE = 503
_RETRY_AFTER = b'retry-after'
# A server that asks for a longer pause is held to be in error.
_MAX_PAUSE_S = 3600.0
_MAX_RATE = 1e6
# Work as usual; a figure beyond a hundredth or a hundred times of that is
# held to be an error.
_USUAL_PERCENT = 100.0
_MIN_PERCENT = 1.0
_MAX_PERCENT = 10_000.0
_MAX_PROMPT_PARTS = 64
# A server that claims to be cold for longer is held to be in error.
_MAX_COLD_MS = 60_000


def parse_request(
    headers: Iterable[tuple[bytes, bytes]],
) -> proxying.RequestMetadata:
    """Decode the headers of a caller's request.

    Names are lower-case.  A request is invalid if its attempt id or host is
    missing, or one of these or Authorization is duplicate; other malformed
    headers count as absent.
    """
    values: dict[bytes, bytes] = {}
    fault = ''
    for name, value in headers:
        if name in values:
            if name in (ATTEMPT_ID, b'host', b'authorization'):
                fault = f'header {name.decode()} stands twice'
            continue
        values[name] = value
    attempt_id = values.get(ATTEMPT_ID, b'').decode('latin-1')
    if not attempt_id:
        fault = 'header X-Arbutusvale-Attempt-Id is missing'
    if b'host' not in values:
        fault = 'header Host is missing'
    deadline = _parse_integer(values.get(DEADLINE_MS))
    return proxying.RequestMetadata(
        attempt_id=attempt_id,
        host=_parse_host(values.get(b'host', b'')),
        api_key=_parse_api_key(values.get(b'authorization', b'')),
        time_left_s=None if deadline is None else deadline / 1000,
        last_event_id=_parse_integer(
            values.get(LAST_EVENT_ID), numeric.EVENT_ID_LIMIT
        ),
        resumes=values.get(RESUMES, b'').strip().decode('latin-1'),
        model=values.get(MODEL_ID, b'').decode('latin-1'),
        prompt=_parse_prompt(values.get(PROMPT_PREFIX, b'')),
        validation_error=fault,
        max_output_tokens=_parse_output_tokens(values.get(TOKEN_COUNT)),
    )


def encode_request(
    request: proxying.CallerRequest,
    parameters: proxying.AttemptParameters,
    forwarded: bytes,
) -> bytes:
    """Encode a request, head and body, for a backend server.

    ``forwarded`` is the result of :func:`format_forwarded_headers`.
    """
    lines = [
        request.method,
        b' ',
        request.target,
        b' HTTP/1.1\r\n',
        forwarded,
        b'X-Arbutusvale-Deadline-Ms: %d\r\n'
        % max(1, int(parameters.time_left_s * 1000)),
        b'X-Arbutusvale-Expected-Instance: %s\r\n'
        % parameters.server.id.encode('latin-1'),
        b'X-Arbutusvale-Request-Priority: %d\r\n'
        % min(_MAX_PRIORITY, max(0, parameters.priority)),
    ]
    if parameters.organisation is not None:
        lines.append(
            b'X-Arbutusvale-Tenant: %s\r\n'
            % parameters.organisation.encode('latin-1')
        )
    if parameters.last_event_id is not None:
        lines.append(b'Last-Event-Id: %d\r\n' % parameters.last_event_id)
    if parameters.cache_source:
        lines.append(
            b'Kv-Fetch: %s\r\n' % parameters.cache_source.encode('latin-1')
        )
    if request.has_body:
        lines.append(b'Content-Length: %d\r\n' % len(request.body))
    lines.append(b'\r\n')
    lines.append(request.body)
    return b''.join(lines)


def format_forwarded_headers(request: proxying.CallerRequest) -> bytes:
    """Return the header lines of a request that are forwarded unchanged."""
    connection_headers = _list_connection_headers(request.headers)
    return b''.join(
        b'%s: %s\r\n' % (name, value)
        for name, value in request.headers
        if name not in _ROUTER_HEADERS
        and name not in _HOP_BY_HOP_HEADERS
        and name not in connection_headers
    )


def parse_response_head(
    status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
) -> proxying.ResponseHead:
    """Decode the head of a server's response; names are lower-case."""
    connection_headers = _list_connection_headers(headers)
    values = dict(headers)
    pause_s, malformed_pause = _parse_pause(status, values.get(_RETRY_AFTER))
    rate_limit, malformed_limit = _parse_limit(values.get(SERVER_LIMIT))
    load, malformed_slowdown = _parse_load(values.get(ENGINE_LOAD))
    return proxying.ResponseHead(
        status=status,
        reason=reason,
        headers=[
            (name, value)
            for name, value in headers
            if name not in _HOP_BY_HOP_HEADERS
            and name not in connection_headers
        ],
        attempt_id=values.get(ATTEMPT_ID, b'').decode('latin-1'),
        signed=ENGINE_SIGNATURE in values,
        not_run=NOT_EXECUTED in values,
        misdirected=status == MISDIRECTED,
        load=load,
        keep_alive_s=_parse_keep_alive(values.get(b'keep-alive')),
        encoded=b'content-encoding' in values,
        leaving=values.get(SERVER_LEAVING, b'').strip() == b'1',
        pause_s=pause_s,
        malformed_pause=malformed_pause,
        rate_limit=rate_limit,
        malformed_limit=malformed_limit,
        cold_for_s=_parse_cold_ms(values.get(WARMUP_MS, b'')) / 1000,
        malformed_slowdown=malformed_slowdown,
    )


def _list_connection_headers(
    headers: list[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    """List the headers that a Connection header marks as hop-by-hop."""
    tokens: set[bytes] = set()
    for name, value in headers:
        if name == b'connection':
            tokens.update(part.strip().lower() for part in value.split(b','))
    return frozenset(tokens - _END_TO_END_HEADERS)


def _parse_pause(status: int, value: bytes | None) -> tuple[float | None, str]:
    """Return a requested pause in seconds, or the value if it is malformed."""
    if status != _SERVICE_UNAVAILABLE or value is None:
        return None, ''
    text = value.strip().decode('latin-1')
    try:
        pause_s = float(text)
    except ValueError:
        return None, text or '-'
    # Not true of a value that is no number, either.
    if not 0 <= pause_s <= _MAX_PAUSE_S:
        return None, text
    return pause_s, ''


def _parse_limit(value: bytes | None) -> tuple[float | None, str]:
    """Return a limit in requests a second, or the value if malformed."""
    if value is None:
        return None, ''
    text = value.strip().decode('latin-1')
    try:
        rate = float(text)
    except ValueError:
        return None, text or '-'
    # Not true of a value that is no number, either.
    if not 0 <= rate <= _MAX_RATE:
        return None, text
    return rate, ''


def _parse_host(value: bytes) -> str:
    """Return the host in lower case, without the port."""
    host = value.decode('latin-1').strip().lower()
    return host.partition(':')[0]


def _parse_api_key(value: bytes) -> str:
    """Return the bearer token of an Authorization header, or empty."""
    scheme, _, key = value.strip().partition(b' ')
    if scheme.lower() != b'bearer':
        return ''
    return key.strip().decode('latin-1')


def _parse_integer(
    value: bytes | None, limit: int = numeric.COUNT_LIMIT
) -> int | None:
    """Return an integer from 0 on, or None if it is malformed."""
    return None if value is None else numeric.parse_count(value, limit)


def _parse_cold_ms(value: bytes) -> int:
    """Return for how long a server is cold, 0 if that is malformed."""
    if not value.strip().isdigit():
        return 0
    cold_ms = numeric.parse_count(value)
    return _MAX_COLD_MS if cold_ms is None else min(_MAX_COLD_MS, cold_ms)


def _parse_prompt(value: bytes) -> tuple[proxying.PromptPart, ...]:
    """Return the parts of a prompt; none if one is malformed."""
    if not value:
        return ()
    parts = []
    for entry in value.split(b',')[:_MAX_PROMPT_PARTS]:
        name, _, tokens = entry.strip().partition(b':')
        count = numeric.parse_count(tokens)
        if not name or count is None:
            return ()
        parts.append(proxying.PromptPart(name.decode('latin-1'), count))
    return tuple(parts)


def _parse_output_tokens(value: bytes | None) -> int:
    """Return the longest answer in tokens, 0 if absent or malformed."""
    if value is None:
        return 0
    return _parse_integer(value.partition(b',')[2]) or 0


def _parse_load(
    value: bytes | None,
) -> tuple[proxying.ReportedLoad | None, str]:
    """Return a reported load and its slowdown if that is malformed.

    The load is None if it is absent or its counts are malformed.
    """
    if value is None:
        return None, ''
    fields = value.split(b',')
    counts = [
        count
        for count in map(numeric.parse_count, fields[:3])
        if count is not None
    ]
    if len(counts) < 3:
        return None, ''
    slowdown, malformed_slowdown = None, ''
    if len(fields) > 3:
        slowdown, malformed_slowdown = _parse_slowdown(fields[3])
    load = proxying.ReportedLoad(*counts, slowdown)
    return load, malformed_slowdown


def _parse_slowdown(field: bytes) -> tuple[float | None, str]:
    """Return a slowdown, 1.0 for none, or the field if it is malformed."""
    text = field.strip().decode('latin-1')
    try:
        percent = float(text)
    except ValueError:
        return None, text or '-'
    # Not true of a value that is no number, either.
    if not _MIN_PERCENT <= percent <= _MAX_PERCENT:
        return None, text
    return percent / _USUAL_PERCENT, ''


def _parse_keep_alive(value: bytes | None) -> float | None:
    """Return the timeout in a Keep-Alive header in seconds, or None."""
    if value is None:
        return None
    for field in value.split(b','):
        name, _, number = field.strip().partition(b'=')
        timeout_s = numeric.parse_count(number)
        if name.lower() == b'timeout' and timeout_s is not None:
            return float(timeout_s)
    return None
