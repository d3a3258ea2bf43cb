"""What callers may send, and what must not be smuggled behind it."""

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


def talk(router, data, half=False):
    """Send raw bytes and return all that comes back until the close."""
    connection = router.connect()
    connection.settimeout(8)
    connection.sendall(data)
    received = b''
    while True:
        try:
            piece = connection.recv(65536)
        except (TimeoutError, ConnectionError):
            return received
        if not piece:
            return received
        received += piece
        if half and received.count(b'HTTP/1.1 ') >= half:
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
def test_what_leaves_a_request_in_doubt_is_refused_and_closed(edge, lines):
    data = b'POST /chat/x HTTP/1.1\r\n' + HEAD + lines + b'\r\n'
    smuggled = b'GET /chat/smuggled HTTP/1.1\r\n' + HEAD + b'\r\n'
    answer = talk(edge.router, data + b'0\r\n\r\n' + smuggled)
    assert answer.startswith(b'HTTP/1.1 400')
    assert answer.count(b'HTTP/1.1 ') == 1
    assert edge.executed_requests() == []


@pytest.mark.parametrize(
    'chunks', [b'5 \r\nhello\r\n', b'zz\r\n', b'-1\r\n', b'5\nhello\n0\n\n']
)
def test_a_bad_chunk_is_refused_and_closed(edge, chunks):
    data = b'POST /chat/x HTTP/1.1\r\n' + HEAD
    data += b'Transfer-Encoding: chunked\r\n\r\n' + chunks + b'0\r\n\r\n'
    answer = talk(edge.router, data)
    assert answer.startswith(b'HTTP/1.1 400')
    assert edge.executed_requests() == []


def test_chunks_and_trailers_arrive_as_one_body(edge):
    data = b'POST /chat/x HTTP/1.1\r\n' + HEAD + b'Connection: close\r\n'
    data += b'Transfer-Encoding: chunked\r\n\r\n'
    data += b'3\r\nabc\r\n2\r\nde\r\n0\r\nX-Arbutusvale-Tenant: forged\r\n\r\n'
    answer = talk(edge.router, data)
    assert answer.startswith(b'HTTP/1.1 200')
    [run] = edge.executed_requests()
    assert run.request.body == b'abcde'
    assert run.request.headers['x-arbutusvale-tenant'] == 'acme'


def test_requests_sent_ahead_are_answered_in_order(edge):
    one = b'GET /chat/%d HTTP/1.1\r\n'
    data = b''.join(one % n + HEAD + b'\r\n' for n in range(3))
    answer = talk(edge.router, data, half=3)
    places = [answer.index(b'GET /chat/%d ' % n) for n in range(3)]
    assert places == sorted(places)


def test_a_long_head_is_refused(edge):
    data = b'GET /chat/x HTTP/1.1\r\n' + HEAD + b'X-Long: ' + b'x' * 9000
    assert talk(edge.router, data).startswith(b'HTTP/1.1 431')


def test_a_large_body_is_refused(edge):
    data = b'POST /chat/x HTTP/1.1\r\n' + HEAD
    declared = data + b'Content-Length: 70000\r\n\r\n'
    assert talk(edge.router, declared).startswith(b'HTTP/1.1 413')
    chunked = data + b'Transfer-Encoding: chunked\r\n\r\n'
    chunked += b'11170\r\n' + b'x' * 70000
    assert talk(edge.router, chunked).startswith(b'HTTP/1.1 413')


def test_a_slow_head_is_refused_in_time(edge):
    began = time.monotonic()
    answer = talk(edge.router, b'GET /chat/x HTTP/1.1\r\nHost: f')
    assert answer.startswith(b'HTTP/1.1 408')
    assert 0.9 < time.monotonic() - began < 3.5


def test_an_idle_connection_is_closed_after_its_limit_only(edge):
    began = time.monotonic()
    connection = edge.router.connect()
    connection.settimeout(8)
    assert connection.recv(10) == b''
    assert 2.9 < time.monotonic() - began < 5.5


def test_a_request_without_an_id_is_refused(edge):
    data = b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
    data += b'Connection: close\r\n\r\n'
    assert talk(edge.router, data).startswith(b'HTTP/1.1 400')


def test_a_caller_can_not_strip_headers_by_naming_them(edge):
    data = b'GET /chat/x HTTP/1.1\r\n' + HEAD
    data += b'Connection: close, X-Arbutusvale-Attempt-Id, X-Own\r\n'
    data += b'X-Own: 1\r\n\r\n'
    assert talk(edge.router, data).startswith(b'HTTP/1.1 200')
    [run] = edge.executed_requests()
    assert run.attempt == 'raw'
    assert 'x-own' not in run.request.headers


def test_an_old_caller_gets_an_answer_without_chunks(edge):
    data = b'GET /chat/x HTTP/1.0\r\n' + HEAD + b'\r\n'
    answer = talk(edge.router, data)
    assert answer.startswith(b'HTTP/1.1 200')
    assert b'chunked' not in answer
