"""Limits on caller requests, and protection from request smuggling."""

import time

import pytest

pytestmark = pytest.mark.process

HEAD = (
    b'Host: fleet.example\r\nAuthorization: Bearer key-1\r\n'
    b'X-Arbutusvale-Attempt-Id: raw\r\n'
)


@pytest.fixture
def edge(fleet):
    fleet.publish_config()
    fleet.add_engine('e1')
    fleet.router = fleet.add_router()
    return fleet


def exchange_raw(router, data, response_count=False):
    """Send raw bytes and return what is received until the close.

    Given ``response_count``, stop after that many responses.
    """
    connection = router.connect()
    connection.settimeout(8)
    connection.sendall(data)
    received = b''
    while True:
        try:
            chunk = connection.recv(65536)
        except (TimeoutError, ConnectionError):
            return received
        if not chunk:
            return received
        received += chunk
        if response_count and received.count(b'HTTP/1.1 ') >= response_count:
            return received


@pytest.mark.parametrize(
    'lines',
    [
        b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',
        b'Content-Length: 5\r\nContent-Length: 6\r\n',
        b'Content-Length: 5, 5\r\n',
        b'Content-Length: +5\r\n',
        b'Transfer-Encoding: gzip, chunked\r\n',
        b'Transfer-Encoding: xchunked\r\n',
        b'X-A: b\r\n folded\r\n',
        b'X-A : b\r\n',
        b'X-A: b\nX-B: c\r\n',
        b'Host: other.example\r\n',
    ],
)
def test_ambiguous_request_framing_gets_400_and_a_close(edge, lines):
    data = b'POST /chat/x HTTP/1.1\r\n' + HEAD + lines + b'\r\n'
    smuggled = b'GET /chat/smuggled HTTP/1.1\r\n' + HEAD + b'\r\n'
    answer = exchange_raw(edge.router, data + b'0\r\n\r\n' + smuggled)
    assert answer.startswith(b'HTTP/1.1 400')
    assert answer.count(b'HTTP/1.1 ') == 1
    assert edge.executed_requests() == []


@pytest.mark.parametrize(
    'chunks', [b'5 \r\nhello\r\n', b'zz\r\n', b'-1\r\n', b'5\nhello\n0\n\n']
)
def test_malformed_chunk_gets_400_and_a_close(edge, chunks):
    data = b'POST /chat/x HTTP/1.1\r\n' + HEAD
    data += b'Transfer-Encoding: chunked\r\n\r\n' + chunks + b'0\r\n\r\n'
    answer = exchange_raw(edge.router, data)
    assert answer.startswith(b'HTTP/1.1 400')
    assert edge.executed_requests() == []


def test_chunked_body_is_forwarded_whole_without_its_trailers(edge):
    data = b'POST /chat/x HTTP/1.1\r\n' + HEAD + b'Connection: close\r\n'
    data += b'Transfer-Encoding: chunked\r\n\r\n'
    data += b'3\r\nabc\r\n2\r\nde\r\n0\r\nX-Arbutusvale-Tenant: forged\r\n\r\n'
    answer = exchange_raw(edge.router, data)
    assert answer.startswith(b'HTTP/1.1 200')
    [received] = edge.executed_requests()
    assert received.request.body == b'abcde'
    assert received.request.headers['x-arbutusvale-tenant'] == 'acme'


def test_pipelined_requests_are_answered_in_order(edge):
    request_line = b'GET /chat/%d HTTP/1.1\r\n'
    data = b''.join(request_line % n + HEAD + b'\r\n' for n in range(3))
    answer = exchange_raw(edge.router, data, response_count=3)
    positions = [answer.index(b'GET /chat/%d ' % n) for n in range(3)]
    assert positions == sorted(positions)


def test_too_long_request_head_gets_431(edge):
    data = b'GET /chat/x HTTP/1.1\r\n' + HEAD + b'X-Long: ' + b'x' * 9000
    assert exchange_raw(edge.router, data).startswith(b'HTTP/1.1 431')


def test_too_large_body_gets_413(edge):
    data = b'POST /chat/x HTTP/1.1\r\n' + HEAD
    declared = data + b'Content-Length: 70000\r\n\r\n'
    assert exchange_raw(edge.router, declared).startswith(b'HTTP/1.1 413')
    chunked = data + b'Transfer-Encoding: chunked\r\n\r\n'
    chunked += b'11170\r\n' + b'x' * 70000
    assert exchange_raw(edge.router, chunked).startswith(b'HTTP/1.1 413')


def test_slow_request_head_gets_408_in_time(edge):
    started_at = time.monotonic()
    answer = exchange_raw(edge.router, b'GET /chat/x HTTP/1.1\r\nHost: f')
    assert answer.startswith(b'HTTP/1.1 408')
    assert 0.9 < time.monotonic() - started_at < 3.5


def test_idle_connection_is_closed_after_its_timeout_only(edge):
    started_at = time.monotonic()
    connection = edge.router.connect()
    connection.settimeout(8)
    assert connection.recv(10) == b''
    assert 2.9 < time.monotonic() - started_at < 5.5


def test_request_without_attempt_id_gets_400(edge):
    data = b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
    data += b'Connection: close\r\n\r\n'
    assert exchange_raw(edge.router, data).startswith(b'HTTP/1.1 400')


def test_connection_header_can_not_remove_required_headers(edge):
    data = b'GET /chat/x HTTP/1.1\r\n' + HEAD
    data += b'Connection: close, X-Arbutusvale-Attempt-Id, X-Own\r\n'
    data += b'X-Own: 1\r\n\r\n'
    assert exchange_raw(edge.router, data).startswith(b'HTTP/1.1 200')
    [received] = edge.executed_requests()
    assert received.attempt_id == 'raw'
    assert 'x-own' not in received.request.headers


def test_http_1_0_caller_gets_a_response_without_chunks(edge):
    data = b'GET /chat/x HTTP/1.0\r\n' + HEAD + b'\r\n'
    answer = exchange_raw(edge.router, data)
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'chunked' not in answer
