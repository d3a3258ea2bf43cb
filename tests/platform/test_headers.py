"""Decoding of callers' and servers' headers; encoding of requests."""

import pytest

from arbutusvale.platform import headers
from arbutusvale.protocol import proxying
from tests import helpers_edge

VALID_HEADERS = {
    b'host': b'Fleet.Example:80',
    b'x-arbutusvale-attempt-id': b'a1',
    b'x-arbutusvale-deadline-ms': b'1500',
    b'x-arbutusvale-model-id': b'm',
    b'x-arbutusvale-token-count': b'1460,80',
    b'x-arbutusvale-prompt-prefix': b'5c:800,91:410,e4:250',
    b'last-event-id': b'12',
    b'authorization': b'Bearer key',
}


def parse_changed_headers(**changes):
    fields = VALID_HEADERS | {
        name.replace('_', '-').encode(): value
        for name, value in changes.items()
    }
    return headers.parse_request(
        [item for item in fields.items() if item[1] is not None]
    )


def test_a_request_is_decoded():
    traits = parse_changed_headers()
    assert traits.validation_error == ''
    assert traits.host == 'fleet.example'
    assert traits.attempt_id == 'a1'
    assert traits.time_left_s == 1.5
    assert traits.prompt[1] == proxying.PromptPart('91', 410)
    assert traits.total_tokens == 1540
    assert traits.last_event_id == 12
    assert traits.api_key == 'key'


@pytest.mark.parametrize(
    'changes',
    [
        {'x_arbutusvale_deadline_ms': b'soon'},
        {'x_arbutusvale_prompt_prefix': b'no,tokens'},
        {'last_event_id': b'-3'},
        {'authorization': b'Basic key'},
    ],
)
def test_a_malformed_optional_header_counts_as_absent(changes):
    assert parse_changed_headers(**changes).validation_error == ''


def test_a_request_without_attempt_id_or_host_is_invalid():
    assert (
        'Attempt-Id'
        in parse_changed_headers(
            x_arbutusvale_attempt_id=None
        ).validation_error
    )
    assert 'Host' in parse_changed_headers(host=None).validation_error
    twice = [*VALID_HEADERS.items(), (b'x-arbutusvale-attempt-id', b'a2')]
    assert 'twice' in headers.parse_request(twice).validation_error


def encode_changed_request(body=b'', has_body=False, overrides=None, extra=()):
    request = proxying.CallerRequest(
        b'POST',
        b'/a?b=c',
        [*VALID_HEADERS.items(), *extra],
        body,
        0.0,
        has_body,
    )
    fields = {
        'server': helpers_edge.make_server('i-1'),
        'time_left_s': 1.2345,
        'organisation': 'acme',
        'priority': 12,
        'last_event_id': 12,
        'cache_source': '',
    }
    parameters = proxying.AttemptParameters(**(fields | (overrides or {})))
    data = headers.encode_request(
        request, parameters, headers.format_forwarded_headers(request)
    )
    head, _, remainder = data.partition(b'\r\n\r\n')
    request_line, *lines = head.split(b'\r\n')
    return (
        request_line,
        dict(line.split(b': ', 1) for line in lines),
        remainder,
    )


def test_an_encoded_request_has_the_headers_set_by_the_router():
    request_line, encoded_headers, body = encode_changed_request(
        b'hello', True, {'cache_source': '1.1.1.1:2'}
    )
    assert request_line == b'POST /a?b=c HTTP/1.1'
    assert body == b'hello'
    assert encoded_headers[b'Content-Length'] == b'5'
    assert encoded_headers[b'X-Arbutusvale-Deadline-Ms'] == b'1234'
    assert encoded_headers[b'X-Arbutusvale-Expected-Instance'] == b'i-1'
    assert encoded_headers[b'X-Arbutusvale-Tenant'] == b'acme'
    assert encoded_headers[b'X-Arbutusvale-Request-Priority'] == b'9'
    assert encoded_headers[b'Kv-Fetch'] == b'1.1.1.1:2'
    assert (
        encoded_headers[b'x-arbutusvale-prompt-prefix']
        == b'5c:800,91:410,e4:250'
    )
    assert b'authorization' not in encoded_headers


def test_reserved_headers_of_a_caller_are_not_forwarded():
    reserved = [
        (b'x-arbutusvale-tenant', b'other'),
        (b'x-arbutusvale-kv-reservation', b'1'),
        (b'x-arbutusvale-pin-ms', b'1'),
        (b'x-arbutusvale-kv-backup', b'1'),
        (b'kv-from', b'1'),
        (b'kv-fetch', b'1'),
        (b'transfer-encoding', b'chunked'),
    ]
    _, encoded_headers, _ = encode_changed_request(
        overrides={'organisation': None}, extra=reserved
    )
    lower = {name.lower() for name in encoded_headers}
    assert lower.isdisjoint(name for name, _ in reserved)


def test_a_request_without_body_has_no_content_length():
    _, encoded_headers, _ = encode_changed_request()
    assert b'Content-Length' not in encoded_headers
    _, encoded_headers, _ = encode_changed_request(has_body=True)
    assert encoded_headers[b'Content-Length'] == b'0'


def test_a_response_head_is_decoded():
    head = headers.parse_response_head(
        200,
        b'OK',
        [
            (b'x-arbutusvale-attempt-id', b'a1'),
            (b'x-arbutusvale-engine-signature', b's'),
            (b'x-arbutusvale-engine-load', b'3, 1,8'),
            (b'keep-alive', b'max=4, timeout=2'),
            (b'connection', b'x-private'),
            (b'x-private', b'1'),
            (b'content-length', b'4'),
        ],
    )
    assert head.signed
    assert not head.not_run
    assert head.load == proxying.ReportedLoad(3, 1, 8)
    assert head.keep_alive_s == 2.0
    names = {name for name, _ in head.headers}
    assert b'x-private' not in names
    assert b'content-length' not in names
    assert b'x-arbutusvale-engine-signature' in names


@pytest.mark.parametrize('value', [b'', b'a,b,c', b'1,2', b'-1,2,3'])
def test_a_malformed_load_counts_as_absent(value):
    response_headers = [(b'x-arbutusvale-engine-load', value)]
    assert headers.parse_response_head(200, b'', response_headers).load is None


@pytest.mark.parametrize(
    ('value', 'seconds'),
    [(b'1500', 1.5), (b'-1', 0.0), (b'x', 0.0), (b'9' * 20, 60.0)],
)
def test_time_that_a_server_stays_cold_is_decoded(value, seconds):
    head = headers.parse_response_head(
        200, b'OK', [(b'x-arbutusvale-warmup-ms', value)]
    )
    assert head.cold_for_s == seconds


def parse_load(value):
    response_headers = [(b'x-arbutusvale-engine-load', value)]
    return headers.parse_response_head(200, b'', response_headers)


def test_slowdown_is_the_fourth_figure_of_a_load():
    assert parse_load(b'3,1,8,250').load == proxying.ReportedLoad(3, 1, 8, 2.5)
    head = parse_load(b'3,1,8, 100 ,x')
    assert head.load == proxying.ReportedLoad(3, 1, 8, 1.0)
    assert not head.malformed_slowdown


@pytest.mark.parametrize(
    'value', [b'0', b'-5', b'x', b'', b'nan', b'inf', b'1e9', b'9' * 400]
)
def test_nonsense_in_place_of_a_slowdown_leaves_the_counts(value):
    head = parse_load(b'3,1,8,' + value)
    assert head.load == proxying.ReportedLoad(3, 1, 8)
    assert head.malformed_slowdown == (value.decode() or '-')
