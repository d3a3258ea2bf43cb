"""Requests that wait, run or arrive while an edge router is stopped."""

import concurrent.futures
import contextlib
import http.client
import signal
import socket
import time

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

GRACE_S = 8.0
# The grace time, and a process that ends.
END_S = GRACE_S + 1.0
# The router looks at waiting requests ten times a second.
AT_ONCE_S = 0.5
# More than may be sent again, and longer than a router waits for an event.
SILENT_STREAMS = 60
SILENCE_S = 2.0
LIMITS = {'TimeoutMs': 30_000, 'TargetLatencyMs': 1000, 'MaxAttempts': 2}
ROUTES = [
    helpers_edge.make_route(**LIMITS),
    helpers_edge.make_route(
        'once', '/once/', RouteType='non_idempotent', **LIMITS
    ),
    helpers_edge.make_route('talk', '/talk/', RouteType='streaming', **LIMITS),
    helpers_edge.make_route(
        'long',
        '/long/',
        RouteType='non_idempotent',
        **(LIMITS | {'TargetLatencyMs': 9000}),
    ),
]


@pytest.fixture
def edge(fleet):
    """A configured fleet of one router and two engines."""
    fleet.publish_config(
        routes=ROUTES,
        Limits={
            'MaxHeaderBytes': 4096,
            'MaxBodyBytes': 65536,
            'HeaderTimeoutMs': 15_000,
            'IdleTimeoutMs': 15_000,
        },
    )
    for name in ('e1', 'e2'):
        fleet.add_engine(name).stream_prefix = '/talk/'
    fleet.router = fleet.add_router()
    for name in fleet.engines:
        fleet.router.wait_for_log(f'event=server-listed server={name} ')
    return fleet


def send_timed(fleet, path):
    """Send a request; return status, headers and body, and when it ended."""
    try:
        answer = fleet.router.send_request(
            path,
            'POST',
            b'b',
            timeout=20,
            X_Arbutusvale_Deadline_Ms='20000',
        )
    except (OSError, http.client.HTTPException) as error:
        answer = (0, {}, repr(error).encode())
    return *answer, time.monotonic()


def pause_engines(fleet, seconds):
    """Let each engine ask the router for a pause."""
    for engine in fleet.engines.values():
        engine.faults = [f'pause={seconds}']
    fleet.router.send_request('/chat/x')
    assert not any(engine.faults for engine in fleet.engines.values())
    for engine in fleet.engines.values():
        engine.received.clear()


# They were sent late in the grace time, or never, and cut without an answer.
@pytest.mark.parametrize('pause_s', [5.0, 7.0, 12.0])
def test_request_that_waits_too_long_is_refused_at_once(edge, pause_s):
    pause_engines(edge, pause_s)
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        sent = [
            pool.submit(send_timed, edge, path)
            for path in ('/chat/x', '/once/x', '/talk/x') * 2
        ]
        edge_fleet.wait_for(
            lambda: edge.router.read_log().count('event=pause-wait') == 6,
            'six requests that wait',
        )
        stopped_at = time.monotonic()
        edge.router.send_signal(signal.SIGTERM)
        answers = [future.result() for future in sent]
    for status, headers, body, ended_at in answers:
        assert (status, body) == (503, b'{"error":"stopping"}\n')
        assert 0 < float(headers['retry-after']) < 1
        assert ended_at - stopped_at < AT_ONCE_S
    assert not any(engine.received for engine in edge.engines.values())


# Their turn at a server with a limit came late in the grace time, or never.
def test_request_without_a_turn_is_refused_in_time(edge):
    for engine in edge.engines.values():
        engine.limit = '0.4'
    edge.router.send_request('/chat/x')
    edge.router.send_request('/chat/x')
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        sent = [
            pool.submit(send_timed, edge, path)
            for path in ('/chat/x', '/once/x') * 8
        ]
        edge.router.wait_for_log('event=pause-wait')
        stopped_at = time.monotonic()
        edge.router.send_signal(signal.SIGTERM)
        answers = [future.result() for future in sent]
    statuses = {answer[0] for answer in answers}
    assert statuses == {200, 503}
    assert max(answer[-1] for answer in answers) - stopped_at < GRACE_S / 2
    refused = sum(answer[0] == 503 for answer in answers)
    assert len(edge.executed_requests()) == 2 + len(answers) - refused


def test_request_whose_turn_comes_in_time_is_served(edge):
    pause_engines(edge, 1.5)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(send_timed, edge, '/once/x')
        edge.router.wait_for_log('event=pause-wait')
        edge.router.send_signal(signal.SIGTERM)
        assert sent.result()[0] == 200


# Its connection was closed at the end of the grace time, without an answer.
def test_request_that_runs_at_the_end_is_told_what_is_known(edge):
    edge.engines['e1'].default_fault = 'hang'
    edge.engines['e2'].default_fault = 'stream-hang'
    edge.deregister_engine('e2')
    edge.router.wait_for_log('event=server-gone server=e2')
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        waiting = [
            pool.submit(send_timed, edge, path)
            for path in ('/chat/x', '/once/x')
        ]
        edge_fleet.wait_for(
            lambda: len(edge.executed_requests()) == 2, 'two that hang'
        )
        edge.deregister_engine('e1')
        edge.register_engine('e2')
        edge.router.wait_for_log('event=server-gone server=e1')
        begun = pool.submit(send_timed, edge, '/talk/x')
        edge_fleet.wait_for(
            lambda: len(edge.executed_requests()) == 3, 'a stream'
        )
        stopped_at = time.monotonic()
        edge.router.send_signal(signal.SIGTERM)
        for future in waiting:
            status, _, body, ended_at = future.result()
            assert (status, body) == (502, b'{"error":"stopping"}\n')
            assert GRACE_S - 1 < ended_at - stopped_at < GRACE_S
        status, _, error, _ = begun.result()
        assert (status, error[:14]) == (0, b'IncompleteRead')
    edge.router.process.wait(END_S)
    assert edge.router.process.returncode == 0
    assert 'event=stop cut=3' in edge.router.read_log()


# It was sent to an engine, and cut at the end of the grace time.
def test_request_that_can_not_end_in_time_is_not_begun(edge):
    edge.router.send_signal(signal.SIGTERM)
    edge.router.wait_for_log('event=stopping')
    status, headers, body, _ = send_timed(edge, '/long/x')
    assert (status, body) == (503, b'{"error":"stopping"}\n')
    assert 'retry-after' in headers
    assert edge.executed_requests() == []
    assert send_timed(edge, '/once/x')[0] == 200


# It was read until the end of the grace time, and closed without an answer.
@pytest.mark.parametrize('head_end', ['', 'Content-Length: 9\r\n\r\nbody'])
def test_request_that_arrives_slowly_is_refused(edge, head_end):
    with edge.router.connect() as connection:
        edge.router.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        time.sleep(GRACE_S / 4)
        connection.sendall(
            b'POST /once/x HTTP/1.1\r\nHost: fleet.example\r\n'
            b'X-Arbutusvale-Attempt-Id: slow\r\n' + head_end.encode()
        )
        answer = connection.recv(4096)
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert b'retry-after: ' in answer
    edge.router.process.wait(END_S)
    assert time.monotonic() - stopped_at < GRACE_S / 2, edge.router.read_log()


def encode_request(path, attempt_id, *headers):
    """Return a request without a body."""
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: fleet.example',
        f'X-Arbutusvale-Attempt-Id: {attempt_id}',
        'X-Arbutusvale-Deadline-Ms: 20000',
        'Authorization: Bearer key-1',
        'Content-Length: 0',
        *headers,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def read_responses(connection):
    """Return the responses until the end of a connection, without it."""
    connection.settimeout(END_S)
    received = b''
    while data := connection.recv(65536):
        received += data
    return [b'HTTP/1.1 ' + each for each in received.split(b'HTTP/1.1 ')[1:]]


# It was read whole and dropped when the stream had ended.
@pytest.mark.parametrize('stop_first', [False, True])
@pytest.mark.parametrize('count', [1, 3])
def test_requests_behind_a_stream_are_answered_at_a_stop(
    edge, count, stop_first
):
    for engine in edge.engines.values():
        engine.event_count = 40
    with edge.router.connect() as connection:
        connection.sendall(encode_request('/talk/x', 'stream'))
        edge.router.wait_for_log('event=place id=stream')
        behind = b''.join(
            encode_request('/once/x', f'behind-{number}')
            for number in range(count)
        )
        if stop_first:
            edge.router.send_signal(signal.SIGTERM)
            edge.router.wait_for_log('event=stopping')
        connection.sendall(behind)
        if not stop_first:
            time.sleep(0.1)
            edge.router.send_signal(signal.SIGTERM)
        stream, *answers = read_responses(connection)
    assert stream.count(b'piece') == 40
    assert stream.endswith(b'\r\n0\r\n\r\n')
    assert [answer[:12] for answer in answers] == [b'HTTP/1.1 200'] * count
    assert b'connection: close' in answers[-1].lower()
    executed = [one.attempt_id for one in edge.executed_requests()]
    assert sorted(executed)[:-1] == [f'behind-{n}' for n in range(count)]


# The first answer ended the connection, as the last request asked.
def test_only_the_last_pipelined_request_closes_its_connection(edge):
    with edge.router.connect() as connection:
        connection.sendall(
            encode_request('/once/x', 'first')
            + encode_request('/once/x', 'last', 'Connection: close')
        )
        answers = read_responses(connection)
    assert [answer[:12] for answer in answers] == [b'HTTP/1.1 200'] * 2
    assert b'connection: close' not in answers[0].lower()
    assert b'connection: close' in answers[1].lower()


# The time in which new requests are refused passed unnoticed.
def test_stop_that_was_suspended_takes_no_new_requests(edge):
    with edge.router.connect() as connection:
        connection.sendall(encode_request('/once/x', 'before'))
        assert connection.recv(4096).startswith(b'HTTP/1.1 200 ')
        edge.router.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        edge.router.wait_for_log('event=stopping')
        time.sleep(GRACE_S / 4)
        edge.router.send_signal(signal.SIGSTOP)
        time.sleep(max(0.0, stopped_at + 3.1 - time.monotonic()))
        connection.sendall(encode_request('/once/x', 'after'))
        edge.router.send_signal(signal.SIGCONT)
        answers = read_responses(connection)
    assert len(answers) == 1, edge.router.read_log()
    (answer,) = answers
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert [one.attempt_id for one in edge.executed_requests()] == ['before']


# The head of the response before it announced that the connection closes.
def test_request_half_read_behind_a_stream_is_answered_at_a_stop(edge):
    for engine in edge.engines.values():
        engine.event_count = 40
    behind = encode_request('/once/x', 'behind')
    with edge.router.connect() as connection:
        edge.router.send_signal(signal.SIGTERM)
        edge.router.wait_for_log('event=stopping')
        connection.sendall(encode_request('/talk/x', 'stream') + behind[:40])
        edge.router.wait_for_log('event=place id=stream')
        time.sleep(0.1)
        connection.sendall(behind[40:])
        stream, *answers = read_responses(connection)
    assert stream.endswith(b'\r\n0\r\n\r\n')
    assert len(answers) == 1, edge.router.read_log()
    assert answers[0][:12] in (b'HTTP/1.1 200', b'HTTP/1.1 503')


# The end of the process closed its connection like a whole body's.
def test_body_without_length_cut_by_the_end_does_not_look_whole(edge):
    for engine in edge.engines.values():
        engine.default_fault = 'unread-cut'
        engine.padding_bytes = 20_000
    request = encode_request('/talk/x', 'stream')
    request = request.replace(b'HTTP/1.1', b'HTTP/1.0')
    # Some fill what the system buffers, and a little remains in the router.
    counts = range(180, 220)
    connections = []
    for count in counts:
        for engine in edge.engines.values():
            engine.event_count = count
        placed = edge.router.read_log().count('event=place')
        connections.append(edge.router.connect())
        connections[-1].sendall(request)
        edge_fleet.wait_for(
            lambda placed=placed: len(edge.executed_requests()) > placed,
            'a stream',
        )
        time.sleep(0.05)
    time.sleep(1)
    edge.router.send_signal(signal.SIGTERM)
    edge.router.process.wait(END_S)
    truncated = []
    for count, connection in zip(counts, connections, strict=True):
        received = b''
        with connection:
            try:
                while data := connection.recv(65536):
                    received += data
            except ConnectionResetError:
                continue
        events = received.count(b'data: piece')
        whole = received.endswith(b'\n\n') and events == count
        if not whole:
            truncated.append((count, len(received)))
    assert truncated == [], edge.router.read_log()


# After a stall, the idle timeout ran before the socket was read.
def test_request_in_the_socket_of_a_suspended_router_is_answered(edge):
    edge.publish_config(
        routes=ROUTES,
        Limits={
            'MaxHeaderBytes': 4096,
            'MaxBodyBytes': 65536,
            'HeaderTimeoutMs': 2000,
            'IdleTimeoutMs': 2000,
        },
    )
    edge.router.wait_for_log('event=config-applied version=2')
    with edge.router.connect() as connection:
        connection.sendall(encode_request('/once/x', 'before'))
        assert connection.recv(4096).startswith(b'HTTP/1.1 200 ')
        time.sleep(0.7)
        edge.router.send_signal(signal.SIGSTOP)
        time.sleep(0.3)
        connection.sendall(encode_request('/once/x', 'after'))
        time.sleep(1.4)
        edge.router.send_signal(signal.SIGCONT)
        connection.settimeout(END_S)
        answer = connection.recv(4096)
    assert answer.startswith(b'HTTP/1.1 '), edge.router.read_log()


# The time in which requests are refused passed unnoticed, up to the end.
def test_request_read_at_the_very_end_of_a_stop_is_refused(edge):
    with edge.router.connect() as connection:
        connection.sendall(encode_request('/once/x', 'before'))
        assert connection.recv(4096).startswith(b'HTTP/1.1 200 ')
        edge.router.send_signal(signal.SIGTERM)
        edge.router.wait_for_log('event=stopping')
        edge.router.send_signal(signal.SIGSTOP)
        time.sleep(GRACE_S)
        connection.sendall(encode_request('/once/x', 'after'))
        edge.router.send_signal(signal.SIGCONT)
        answers = read_responses(connection)
    assert [answer[:12] for answer in answers] == [b'HTTP/1.1 503']
    assert [one.attempt_id for one in edge.executed_requests()] == ['before']


# They were given up for a retry that the budget didn't allow.
@pytest.mark.parametrize('stops', [False, True])
def test_streams_of_a_silent_engine_are_not_cut(fleet, stops):
    route = helpers_edge.make_route(
        'talk', '/talk/', RouteType='streaming', StreamResume=True, **LIMITS
    )
    service = {
        'Name': 'chat',
        'HealthCheckPath': '/h',
        'MaxConnections': 2 * SILENT_STREAMS,
    }
    fleet.publish_config(routes=[route], Services=[service])
    silent = fleet.add_engine('e1', Slots=SILENT_STREAMS)
    router = fleet.router = fleet.add_router()
    router.wait_for_log('event=server-listed server=e1 ')
    silent.stream_prefix = '/talk/'
    silent.event_count = 100
    with concurrent.futures.ThreadPoolExecutor(SILENT_STREAMS) as pool:
        sent = [
            pool.submit(send_timed, fleet, '/talk/x')
            for _ in range(SILENT_STREAMS)
        ]
        edge_fleet.wait_for(
            lambda: len(fleet.executed_requests()) == SILENT_STREAMS, 'streams'
        )
        other = fleet.add_engine('e2', Slots=SILENT_STREAMS)
        other.stream_prefix = '/talk/'
        other.event_count = 100
        router.wait_for_log('event=server-listed server=e2 ')
        if stops:
            router.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        silent.silent_until = time.monotonic() + SILENCE_S
        answers = [future.result() for future in sent]
    log = router.read_log()
    assert 'cause=silent' in log
    statuses = [answer[0] for answer in answers]
    assert statuses == [200] * SILENT_STREAMS, log
    for answer in answers:
        assert answer[2].count(b'data: piece') == 100


# The rest of its answer was discarded when it sent more behind it.
def test_slow_reader_that_sends_more_gets_its_whole_answer(edge):
    for engine in edge.engines.values():
        engine.padding_bytes = 60_000
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with connection:
        connection.connect((edge.router.host, edge.caller_port))
        edge.router.send_signal(signal.SIGTERM)
        edge.router.wait_for_log('event=stopping')
        connection.sendall(encode_request('/chat/x', 'slow'))
        edge.router.wait_for_log('event=end id=slow ')
        time.sleep(1.5)
        connection.sendall(encode_request('/chat/x', 'behind'))
        time.sleep(0.2)
        connection.settimeout(END_S)
        received = b''
        try:
            while data := connection.recv(65536):
                received += data
        except ConnectionResetError:
            pass
    head, _, body = received.partition(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    assert len(body) == length


# The connection of a stream that breaks off was closed at once.
@pytest.mark.parametrize('version', [b'1.1', b'1.0'])
def test_answer_before_a_broken_stream_is_sent_to_a_slow_reader(edge, version):
    edge.deregister_engine('e2')
    edge.router.wait_for_log('event=server-gone server=e2')
    edge.engines['e1'].padding_bytes = 60_000
    edge.engines['e1'].faults = ['', 'stream-cut']
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with connection:
        connection.connect((edge.router.host, edge.caller_port))
        connection.sendall(encode_request('/chat/x', 'slow'))
        edge.router.wait_for_log('event=end id=slow ')
        broken = encode_request('/talk/x', 'broken')
        connection.sendall(broken.replace(b'HTTP/1.1', b'HTTP/' + version))
        edge.router.wait_for_log('event=end id=broken ')
        time.sleep(0.1)
        with contextlib.suppress(OSError):
            connection.sendall(encode_request('/chat/x', 'behind'))
        time.sleep(0.2)
        connection.settimeout(END_S)
        received = b''
        was_reset = True
        with contextlib.suppress(ConnectionResetError):
            while data := connection.recv(65536):
                received += data
            was_reset = False
    head, _, rest = received.partition(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    assert len(rest) > length
    assert not received.endswith(b'0\r\n\r\n')
    # Without chunks, a whole body would end like this one.
    assert was_reset or version == b'1.1'
