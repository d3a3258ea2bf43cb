"""Requests from callers through an edge router process to engines."""

import http.client
import threading
import time

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

STREAM = helpers_edge.make_route(
    'stream',
    '/stream/',
    RouteType='streaming',
    StreamResume=True,
    TimeoutMs=8000,
    TargetLatencyMs=800,
)
TALK = helpers_edge.make_route(
    'talk', '/talk/', RouteType='streaming', MaxAttempts=1, TimeoutMs=8000
)
ONCE = helpers_edge.make_route(
    'once', '/once/', RouteType='non_idempotent', MaxAttempts=2
)
PLAIN = helpers_edge.make_route()
EVENTS = b''.join(b'id: %d\ndata: piece %d\n\n' % (n, n) for n in range(1, 6))


@pytest.fixture
def edge(fleet):
    """A configured fleet of one router, two engines and a store."""
    fleet.publish_config(routes=[PLAIN, STREAM, TALK, ONCE])
    fleet.add_engine('e1')
    fleet.add_engine('e2')
    fleet.router = fleet.add_router()
    return fleet


def set_engine_faults(fleet, *faults):
    """Set the faults that every engine applies to its next requests."""
    for engine in fleet.engines.values():
        engine.faults = list(faults)


def test_request_is_forwarded_and_its_response_returned(edge):
    status, headers, body = edge.router.send_request(
        '/chat/x?q=1',
        'POST',
        b'hello',
        X_Arbutusvale_Tenant='forged',
        X_Arbutusvale_Kv_Reservation='forged',
        X_Custom='kept',
    )
    assert status == 200
    [received] = edge.executed_requests()
    assert body == f'{received.attempt_id} POST /chat/x acme hello'.encode()
    assert headers['X-Arbutusvale-Engine-Signature'.lower()]
    sent = received.request.headers
    assert received.request.query == {'q': '1'}
    assert sent['x-custom'] == 'kept'
    assert sent['x-arbutusvale-expected-instance'] in edge.engines
    assert 'authorization' not in sent
    assert 'x-arbutusvale-kv-reservation' not in sent
    assert 0 < int(sent['x-arbutusvale-deadline-ms']) <= 2000


def test_unknown_key_gets_401_and_reaches_no_engine(edge):
    status, _, _ = edge.router.send_request(Authorization='Bearer nobody')
    assert status == 401
    status, _, _ = edge.router.send_request(Authorization=None)
    assert status == 401
    assert edge.executed_requests() == []


def test_unknown_route_gets_404(edge):
    assert edge.router.send_request('/elsewhere/x')[0] == 404
    assert edge.router.send_request(Host='other.example')[0] == 404


def test_idempotent_request_is_retried_after_a_failure(edge):
    for fault in ('error', 'reset', 'truncate', 'unsigned', 'garbage'):
        edge.engines['e1'].faults = [fault]
        edge.engines['e2'].faults = []
        for _ in range(8):
            assert edge.router.send_request()[0] == 200
            if not edge.engines['e1'].faults:
                break


def test_non_idempotent_request_is_not_retried_after_a_failure(edge):
    for fault in ('reset', 'truncate', 'unsigned'):
        set_engine_faults(edge, fault)
        status, _, _ = edge.router.send_request('/once/x', 'POST', b'b')
        assert status == 502
        set_engine_faults(edge)
    executed = edge.executed_requests()
    assert len(executed) == 3
    assert len({received.attempt_id for received in executed}) == 3


def test_shed_non_idempotent_request_is_retried_on_another_engine(edge):
    set_engine_faults(edge, 'shed')
    edge.engines['e2'].faults = []
    for _ in range(6):
        status, _, _ = edge.router.send_request('/once/x', 'POST', b'b')
        assert status == 200


def test_request_shed_by_the_whole_pool_gets_503_with_retry_after(edge):
    set_engine_faults(edge, *['shed'] * 4)
    status, headers, _ = edge.router.send_request('/once/x', 'POST', b'b')
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert edge.executed_requests() == []


def test_engine_error_response_is_forwarded_unchanged(edge):
    set_engine_faults(edge, 'error')
    status, headers, body = edge.router.send_request('/once/x', 'POST', b'b')
    assert (status, body) == (500, b'broken')
    assert 'x-arbutusvale-engine-signature' in headers


def test_response_to_another_request_is_never_forwarded(edge):
    set_engine_faults(edge, 'foreign')
    status, _, body = edge.router.send_request('/once/x', 'POST', b'b')
    assert status == 200
    assert body.startswith(b'attempt-')
    assert b'foreign' not in body


def test_surplus_response_on_a_connection_is_never_forwarded(edge):
    set_engine_faults(edge, 'extra', 'extra', 'extra')
    for _ in range(6):
        status, _, body = edge.router.send_request()
        assert status == 200
        assert b'once more' not in body


def test_response_delimited_by_connection_close_is_forwarded_whole(edge):
    set_engine_faults(edge, 'unframed')
    status, _, body = edge.router.send_request()
    assert status == 200
    assert body.endswith(b'acme ')


def test_request_is_not_executed_by_another_engine_at_its_address(edge):
    edge.engines['e1'].name = 'somebody-new'
    for _ in range(6):
        assert edge.router.send_request('/once/x', 'POST', b'b')[0] == 200
    assert all(
        request.executed is False for request in edge.engines['e1'].received
    )


def test_stream_is_forwarded_whole(edge):
    for engine in edge.engines.values():
        engine.stream_prefix = '/stream/'
    status, headers, body = edge.router.send_request('/stream/x', 'POST', b'p')
    assert (status, body) == (200, EVENTS)


@pytest.mark.parametrize(
    'fault',
    [
        'stream-cut',
        'stream-hang',
        'stream-end-early',
        'unframed-cut',
        'unframed-reset',
    ],
)
def test_broken_stream_is_resumed_on_another_engine(edge, fault):
    for engine in edge.engines.values():
        engine.stream_prefix = '/stream/'
        engine.faults = []
    edge.engines['e1'].faults = [fault]
    bodies = []
    # Requests without a prompt go to a server drawn at random.
    while edge.engines['e1'].faults and len(bodies) < 40 or len(bodies) < 6:
        bodies.append(
            edge.router.send_request('/stream/x', 'POST', b'p', timeout=15)[2]
        )
    assert bodies == [EVENTS] * len(bodies)
    assert edge.engines['e1'].faults == []
    resumed = [
        received
        for received in edge.executed_requests()
        if 'last-event-id' in received.request.headers
    ]
    assert resumed[0].request.headers['last-event-id'] == '2'


def test_stream_that_can_not_be_resumed_never_looks_complete(edge):
    for engine in edge.engines.values():
        engine.stream_prefix = '/stream/'
        engine.faults = ['stream-cut'] * 4
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        edge.router.send_request('/stream/x', 'POST', b'p')


# An error larger than the buffers came in the middle of the stream.
@pytest.mark.parametrize('fault', ['error', 'not-found'])
@pytest.mark.parametrize('padding_bytes', [0, 300_000])
def test_stream_never_holds_the_error_of_a_resumption(
    edge, fault, padding_bytes
):
    first_fault = ['stream-cut']
    for engine in edge.engines.values():
        engine.stream_prefix = '/stream/'
        engine.padding_bytes = padding_bytes
        engine.faults = first_fault
        engine.default_fault = fault
    with edge.router.connect() as connection:
        connection.sendall(
            b'POST /stream/x HTTP/1.1\r\nHost: fleet.example\r\n'
            b'X-Arbutusvale-Attempt-Id: a\r\nContent-Length: 0\r\n'
            b'Authorization: Bearer key-1\r\n\r\n'
        )
        received = b''
        while data := connection.recv(1 << 20):
            received += data
    assert received.count(b'HTTP/1.1 ') == 1
    assert received.endswith(b'piece 2\n\n\r\n')
    edge.router.wait_for_log(
        f'cause=status-{500 if fault == "error" else 404}'
    )


# The end of its connection was taken for the end of the stream.
def test_unframed_stream_that_ends_inside_an_event_never_looks_complete(edge):
    for engine in edge.engines.values():
        engine.stream_prefix = '/talk/'
        engine.faults = ['unframed-cut']
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        edge.router.send_request('/talk/x', 'POST', b'p')


@pytest.mark.parametrize('fault', ['stream-end-early', 'unframed-reset'])
def test_stream_broken_off_inside_an_event_never_looks_complete(edge, fault):
    for engine in edge.engines.values():
        engine.stream_prefix = '/talk/'
        engine.faults = [fault]
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        edge.router.send_request('/talk/x', 'POST', b'p')


# The end of the connection is all that marks an answer to HTTP/1.0.
def test_broken_stream_to_http_1_0_is_reset(edge):
    for engine in edge.engines.values():
        engine.stream_prefix = '/talk/'
        engine.faults = ['unframed-cut']
    with edge.router.connect() as connection:
        connection.sendall(
            b'POST /talk/x HTTP/1.0\r\nHost: fleet.example\r\n'
            b'X-Arbutusvale-Attempt-Id: old\r\n'
            b'Authorization: Bearer key-1\r\n\r\n'
        )
        with pytest.raises(ConnectionResetError):
            while connection.recv(4096):
                pass


def test_unframed_stream_without_an_event_is_not_answered(edge):
    for engine in edge.engines.values():
        engine.stream_prefix = '/talk/'
        engine.faults = ['unframed-empty']
    assert edge.router.send_request('/talk/x', 'POST', b'p')[0] == 502


# It was taken for the answer of an engine with no event left.
def test_empty_unframed_answer_to_a_resumption_never_ends_the_stream(edge):
    for engine in edge.engines.values():
        engine.stream_prefix = '/stream/'
    edge.engines['e1'].default_fault = 'unframed-empty'
    bodies = [
        edge.router.send_request('/stream/x', 'POST', b'p', Last_Event_Id='3')[
            2
        ]
        for _ in range(20)
    ]
    assert bodies == [EVENTS[EVENTS.index(b'id: 4') :]] * 20
    assert edge.engines['e1'].received


# A second engine was asked whether it had an event left, and ran it again.
def test_stream_that_must_not_repeat_runs_once_without_an_event(edge):
    edge.publish_config(routes=[TALK | {'MaxAttempts': 2}])
    edge.router.wait_for_log('event=config-applied version=2')
    for engine in edge.engines.values():
        engine.stream_prefix = '/talk/'
        engine.default_fault = 'unframed-empty'
    status, _, _ = edge.router.send_request(
        '/talk/x', 'POST', b'p', Last_Event_Id='3'
    )
    assert status == 502
    assert len(edge.executed_requests()) == 1


@pytest.mark.parametrize('path', ['/stream/x', '/talk/x'])
def test_unframed_stream_is_forwarded_whole(edge, path):
    for engine in edge.engines.values():
        engine.stream_prefix = path
        engine.faults = ['unframed']
    status, _, body = edge.router.send_request(path, 'POST', b'p')
    assert (status, body) == (200, EVENTS)


def test_unframed_stream_resumed_after_its_last_event_is_complete(edge):
    for engine in edge.engines.values():
        engine.stream_prefix = '/stream/'
        engine.faults = ['unframed']
    status, _, body = edge.router.send_request(
        '/stream/x', 'POST', b'p', Last_Event_Id='5'
    )
    assert (status, body) == (200, b'')


def test_head_of_an_unframed_stream_is_answered(edge):
    for engine in edge.engines.values():
        engine.stream_prefix = '/talk/'
        engine.faults = ['unframed-empty']
    status, _, body = edge.router.send_request('/talk/x', 'HEAD')
    assert (status, body) == (200, b'')


# What followed the head was read as the next response.
@pytest.mark.parametrize('path', ['/talk/x', '/chat/x'])
def test_connection_is_of_use_after_a_head_request(edge, path):
    for engine in edge.engines.values():
        engine.stream_prefix = '/talk/'
    connection = http.client.HTTPConnection(
        edge.router.host, edge.caller_port, timeout=5
    )
    for number, method in enumerate(('HEAD', 'POST')):
        connection.request(
            method,
            path,
            headers={
                'Host': 'fleet.example',
                'X-Arbutusvale-Attempt-Id': f'a{number}',
                'Authorization': 'Bearer key-1',
            },
        )
        answer = connection.getresponse()
        assert answer.status == 200
        assert bool(answer.read()) == (method == 'POST')


def test_reset_within_an_unframed_body_is_not_answered(edge):
    set_engine_faults(edge, 'unframed-reset')
    assert edge.router.send_request('/once/x', 'POST', b'b')[0] == 502


def test_request_gets_504_at_the_timeout_of_its_route(edge):
    set_engine_faults(edge, 'hang', 'hang')
    started_at = time.monotonic()
    status, _, _ = edge.router.send_request('/once/x', 'POST', b'b')
    assert status == 504
    assert 1.9 < time.monotonic() - started_at < 2.5


def test_caller_disconnect_cancels_the_request_at_the_engine(edge):
    set_engine_faults(edge, 'hang')
    connection = edge.router.connect()
    connection.sendall(
        b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
        b'X-Arbutusvale-Attempt-Id: leaver\r\n'
        b'Authorization: Bearer key-1\r\n\r\n'
    )
    edge_fleet.wait_for(
        lambda: edge.executed_requests('leaver'), 'the request at an engine'
    )
    connection.close()
    edge_fleet.wait_for(
        lambda: all(
            engine.active_requests == 0 for engine in edge.engines.values()
        ),
        'the cancellation at the engine',
        timeout_s=0.5,
    )
    edge.router.wait_for_log('event=caller-gone id=leaver')


def test_configuration_is_applied_within_its_time_bound(edge):
    route = helpers_edge.make_route('new', '/new/')
    edge.publish_config(routes=[PLAIN, STREAM, ONCE, route])
    edge_fleet.wait_for(
        lambda: edge.router.send_request('/new/x')[0] == 200,
        'the new route',
        2.0,
    )
    edge.publish_config(routes=[PLAIN], Tenants=[])
    edge_fleet.wait_for(
        lambda: edge.router.send_request('/chat/x')[0] == 401,
        'the removal of the key',
        2.0,
    )


def test_malformed_configuration_or_server_record_is_ignored(edge):
    edge.append(edge_fleet.CONFIG_TOPIC, 'config', b'{"Version": 99}')
    edge.append(edge_fleet.CONFIG_TOPIC, 'config', b'no json')
    edge.append(edge_fleet.SERVERS_TOPIC, 'e3', b'{"State": "odd"}')
    edge.append(edge_fleet.SERVERS_TOPIC, 'e3', b'\xff\xfe')
    edge.router.wait_for_log('event=server-malformed server=e3')
    edge.router.wait_for_log('event=config-malformed')
    assert edge.router.send_request()[0] == 200


def test_draining_engine_gets_no_new_requests(edge):
    edge.register_engine('e1', State='draining')
    edge.router.wait_for_log('server=e1 pool=chat')
    edge.router.wait_for_log('state=draining')
    edge.engines['e1'].received.clear()
    for _ in range(10):
        assert edge.router.send_request()[0] == 200
    assert edge.engines['e1'].received == []


def test_router_keeps_serving_during_a_store_outage(edge):
    for fault in ('busy', 'silent', 'reset'):
        edge.store.fault = fault
        time.sleep(0.3)
        assert edge.router.send_request()[0] == 200
    edge.store.fault = None
    version = edge.publish_config(routes=[PLAIN])
    edge.router.wait_for_log(f'event=config-applied version={version}')


def test_router_rereads_the_store_after_its_compaction(edge):
    edge.event_loop.run(edge.store.compact(edge_fleet.SERVERS_TOPIC))
    edge.event_loop.run(edge.store.compact(edge_fleet.CONFIG_TOPIC))
    version = edge.publish_config(routes=[PLAIN])
    edge.add_engine('e9')
    edge.router.wait_for_log(f'event=config-applied version={version}')
    edge.router.wait_for_log('event=server-listed server=e9')


def test_request_that_crashed_two_engines_is_quarantined(edge):
    edge.add_engine('e3')
    edge.add_engine('e4')
    edge.router.wait_for_log('server=e4')

    def close_engine(engine):
        edge.event_loop.run(engine.server.close())

    for engine in edge.engines.values():
        engine.faults = ['hang'] * 8
    threading.Thread(
        target=lambda: crash_busy_engines(edge, close_engine), daemon=True
    ).start()
    statuses = []
    for _ in range(6):
        try:
            statuses.append(
                edge.router.send_request('/once/poison', 'POST', b'p')[0]
            )
        except OSError:
            statuses.append(0)
        if 'quarantined=True' in edge.router.read_log():
            break
        edge.router.wait_for_log('event=server-crashed')
    edge.router.wait_for_log('quarantined=True')
    status, headers, body = edge.router.send_request(
        '/once/poison', 'POST', b'p'
    )
    assert status == 503
    assert b'quarantined' in body


def crash_busy_engines(edge, close_engine):
    """Close each engine while it runs the request, two in all."""
    crashed = []
    deadline = time.monotonic() + 15
    while len(crashed) < 2 and time.monotonic() < deadline:
        for engine in edge.engines.values():
            if engine.active_requests and engine not in crashed:
                crashed.append(engine)
                close_engine(engine)
        time.sleep(0.02)


def test_metrics_count_answered_requests(edge):
    edge.router.send_request()
    text = edge.router.fetch_metrics()
    assert 'arbutusvale_requests_total{kind="answered"} 1' in text
    assert 'arbutusvale_first_byte_seconds_count{pool="chat"} 1' in text


def test_failed_request_is_logged_with_its_attempt_id(edge):
    set_engine_faults(edge, 'reset')
    edge.router.send_request('/once/x', 'POST', b'b')
    attempt_id = edge.executed_requests()[0].attempt_id
    edge.router.wait_for_log(f'event=end id={attempt_id}')
    lines = [
        line for line in edge.router.read_log().split('\n')
        if f'id={attempt_id}' in line
    ]  # fmt: skip
    events = [line.split('event=')[1].split()[0] for line in lines]
    assert events == ['place', 'sending-failed', 'end']
    assert 'cause=' in lines[1]
    assert 'status=502' in lines[2]
