"""Headers are decoded once and encoded as the platform writes them."""

import pytest

from arbutusvale.platform import headers
from arbutusvale.protocol import proxying
from tests import helpers_edge

GOOD = {
    b'host': b'Fleet.Example:80',
    b'x-arbutusvale-attempt-id': b'a1',
    b'x-arbutusvale-deadline-ms': b'1500',
    b'x-arbutusvale-model-id': b'm',
    b'x-arbutusvale-token-count': b'1460,80',
    b'x-arbutusvale-prompt-prefix': b'5c:800,91:410,e4:250',
    b'last-event-id': b'12',
    b'authorization': b'Bearer key',
}


def read(**changes):
    fields = GOOD | {
        name.replace('_', '-').encode(): value
        for name, value in changes.items()
    }
    return headers.parse_request(
        [item for item in fields.items() if item[1] is not None]
    )


def test_a_request_is_decoded():
    traits = read()
    assert traits.validation_error == ''
    assert traits.host == 'fleet.example'
    assert traits.attempt_id == 'a1'
    assert traits.time_left_s == 1.5
    assert traits.prompt[1] == proxying.PromptPart('91', 410)
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
def test_what_can_not_be_read_counts_as_absent(changes):
    assert read(**changes).validation_error == ''


def test_a_request_without_id_or_host_is_improper():
    assert 'Attempt-Id' in read(x_arbutusvale_attempt_id=None).validation_error
    assert 'Host' in read(host=None).validation_error
    twice = [*GOOD.items(), (b'x-arbutusvale-attempt-id', b'a2')]
    assert 'twice' in headers.parse_request(twice).validation_error


def write(body=b'', has_body=False, sending=None, extra=()):
    request = proxying.CallerRequest(
        b'POST', b'/a?b=c', [*GOOD.items(), *extra], body, 0.0, has_body
    )
    fields = {
        'server': helpers_edge.make_server('i-1'),
        'time_left_s': 1.2345,
        'organisation': 'acme',
        'priority': 12,
        'last_event_id': 12,
        'cache_source': '',
    }
    made = proxying.AttemptParameters(**(fields | (sending or {})))
    data = headers.encode_request(
        request, made, headers.format_forwarded_headers(request)
    )
    head, _, rest = data.partition(b'\r\n\r\n')
    first, *lines = head.split(b'\r\n')
    return first, dict(line.split(b': ', 1) for line in lines), rest


def test_a_request_is_encoded_with_what_the_system_sets():
    first, named, body = write(b'hello', True, {'cache_source': '1.1.1.1:2'})
    assert first == b'POST /a?b=c HTTP/1.1'
    assert body == b'hello'
    assert named[b'Content-Length'] == b'5'
    assert named[b'X-Arbutusvale-Deadline-Ms'] == b'1234'
    assert named[b'X-Arbutusvale-Expected-Instance'] == b'i-1'
    assert named[b'X-Arbutusvale-Tenant'] == b'acme'
    assert named[b'X-Arbutusvale-Request-Priority'] == b'9'
    assert named[b'Kv-Fetch'] == b'1.1.1.1:2'
    assert named[b'x-arbutusvale-prompt-prefix'] == b'5c:800,91:410,e4:250'
    assert b'authorization' not in named


def test_what_the_system_sets_is_not_taken_from_a_caller():
    forged = [
        (b'x-arbutusvale-tenant', b'other'),
        (b'x-arbutusvale-kv-reservation', b'1'),
        (b'x-arbutusvale-pin-ms', b'1'),
        (b'x-arbutusvale-kv-backup', b'1'),
        (b'kv-from', b'1'),
        (b'kv-fetch', b'1'),
        (b'transfer-encoding', b'chunked'),
    ]
    _, named, _ = write(sending={'organisation': None}, extra=forged)
    lower = {name.lower() for name in named}
    assert lower.isdisjoint(name for name, _ in forged)


def test_a_request_without_body_has_no_length():
    _, named, _ = write()
    assert b'Content-Length' not in named
    _, named, _ = write(has_body=True)
    assert named[b'Content-Length'] == b'0'


def test_an_answer_is_decoded():
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
def test_an_odd_load_counts_as_none(value):
    named = [(b'x-arbutusvale-engine-load', value)]
    assert headers.parse_response_head(200, b'', named).load is None
