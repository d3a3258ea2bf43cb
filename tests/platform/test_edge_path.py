"""The whole path through a real edge router process."""

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
ONCE = helpers_edge.make_route(
    'once', '/once/', RouteType='non_idempotent', MaxAttempts=2
)
PLAIN = helpers_edge.make_route()
EVENTS = b''.join(b'id: %d\ndata: piece %d\n\n' % (n, n) for n in range(1, 6))


@pytest.fixture
def edge(fleet):
    """A router between a store and two engines."""
    fleet.publish_config(routes=[PLAIN, STREAM, ONCE])
    fleet.add_engine('e1')
    fleet.add_engine('e2')
    fleet.router = fleet.add_router()
    return fleet


def set_fault(fleet, *faults):
    """Have every engine meet its next requests with faults."""
    for engine in fleet.engines.values():
        engine.faults = list(faults)


def test_a_request_reaches_an_engine_and_its_answer_the_caller(edge):
    status, headers, body = edge.router.send_request(
        '/chat/x?q=1',
        'POST',
        b'hello',
        X_Arbutusvale_Tenant='forged',
        X_Arbutusvale_Kv_Reservation='forged',
        X_Custom='kept',
    )
    assert status == 200
    [run] = edge.executed_requests()
    assert body == f'{run.attempt_id} POST /chat/x acme hello'.encode()
    assert headers['X-Arbutusvale-Engine-Signature'.lower()]
    sent = run.request.headers
    assert run.request.query == {'q': '1'}
    assert sent['x-custom'] == 'kept'
    assert sent['x-arbutusvale-expected-instance'] in edge.engines
    assert 'authorization' not in sent
    assert 'x-arbutusvale-kv-reservation' not in sent
    assert 0 < int(sent['x-arbutusvale-deadline-ms']) <= 2000


def test_an_unknown_key_is_refused_and_reaches_no_engine(edge):
    status, _, _ = edge.router.send_request(Authorization='Bearer nobody')
    assert status == 401
    status, _, _ = edge.router.send_request(Authorization=None)
    assert status == 401
    assert edge.executed_requests() == []


def test_an_unknown_route_is_not_found(edge):
    assert edge.router.send_request('/elsewhere/x')[0] == 404
    assert edge.router.send_request(Host='other.example')[0] == 404


def test_an_idempotent_request_is_sent_again_after_a_failure(edge):
    for fault in ('error', 'reset', 'truncate', 'unsigned', 'garbage'):
        edge.engines['e1'].faults = [fault]
        edge.engines['e2'].faults = []
        for _ in range(8):
            assert edge.router.send_request()[0] == 200
            if not edge.engines['e1'].faults:
                break


def test_a_request_that_must_not_repeat_is_sent_once(edge):
    for fault in ('reset', 'truncate', 'unsigned'):
        set_fault(edge, fault)
        status, _, _ = edge.router.send_request('/once/x', 'POST', b'b')
        assert status == 502
        set_fault(edge)
    runs = edge.executed_requests()
    assert len(runs) == 3
    assert len({run.attempt_id for run in runs}) == 3


def test_a_request_that_did_not_run_goes_to_another_engine(edge):
    set_fault(edge, 'shed')
    edge.engines['e2'].faults = []
    for _ in range(6):
        status, _, _ = edge.router.send_request('/once/x', 'POST', b'b')
        assert status == 200


def test_a_pool_that_sheds_is_told_as_not_run_with_a_time_to_return(edge):
    set_fault(edge, *['shed'] * 4)
    status, headers, _ = edge.router.send_request('/once/x', 'POST', b'b')
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert edge.executed_requests() == []


def test_an_engine_failure_is_passed_on_whole(edge):
    set_fault(edge, 'error')
    status, headers, body = edge.router.send_request('/once/x', 'POST', b'b')
    assert (status, body) == (500, b'broken')
    assert 'x-arbutusvale-engine-signature' in headers


def test_an_answer_of_another_request_is_never_passed_on(edge):
    set_fault(edge, 'foreign')
    status, _, body = edge.router.send_request('/once/x', 'POST', b'b')
    assert status == 200
    assert body.startswith(b'attempt-')
    assert b'foreign' not in body


def test_a_second_answer_spoils_the_connection_only(edge):
    set_fault(edge, 'extra', 'extra', 'extra')
    for _ in range(6):
        status, _, body = edge.router.send_request()
        assert status == 200
        assert b'once more' not in body


def test_an_answer_that_ends_with_its_connection_is_whole(edge):
    set_fault(edge, 'unframed')
    status, _, body = edge.router.send_request()
    assert status == 200
    assert body.endswith(b'acme ')


def test_a_reused_address_is_noticed_by_the_expected_instance(edge):
    edge.engines['e1'].name = 'somebody-new'
    for _ in range(6):
        assert edge.router.send_request('/once/x', 'POST', b'b')[0] == 200
    assert all(run.executed is False for run in edge.engines['e1'].received)


def test_a_stream_is_passed_on_whole(edge):
    for engine in edge.engines.values():
        engine.stream_prefix = '/stream/'
    status, headers, body = edge.router.send_request('/stream/x', 'POST', b'p')
    assert (status, body) == (200, EVENTS)


@pytest.mark.parametrize('fault', ['stream-cut', 'stream-hang'])
def test_a_broken_stream_goes_on_at_another_engine(edge, fault):
    for engine in edge.engines.values():
        engine.stream_prefix = '/stream/'
        engine.faults = []
    edge.engines['e1'].faults = [fault]
    bodies = [
        edge.router.send_request('/stream/x', 'POST', b'p', timeout=15)[2]
        for _ in range(6)
    ]
    assert bodies == [EVENTS] * 6
    assert edge.engines['e1'].faults == []
    resumed = [
        run
        for run in edge.executed_requests()
        if 'last-event-id' in run.request.headers
    ]
    assert resumed[0].request.headers['last-event-id'] == '2'


def test_a_stream_that_can_not_go_on_never_looks_complete(edge):
    for engine in edge.engines.values():
        engine.stream_prefix = '/stream/'
        engine.faults = ['stream-cut'] * 4
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        edge.router.send_request('/stream/x', 'POST', b'p')


def test_a_request_ends_at_its_routes_timeout(edge):
    set_fault(edge, 'hang', 'hang')
    began = time.monotonic()
    status, _, _ = edge.router.send_request('/once/x', 'POST', b'b')
    assert status == 504
    assert 1.9 < time.monotonic() - began < 2.5


def test_a_caller_that_leaves_ends_the_run(edge):
    set_fault(edge, 'hang')
    connection = edge.router.connect()
    connection.sendall(
        b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
        b'X-Arbutusvale-Attempt-Id: leaver\r\n'
        b'Authorization: Bearer key-1\r\n\r\n'
    )
    edge_fleet.wait_for(lambda: edge.executed_requests('leaver'), 'the run')
    connection.close()
    edge_fleet.wait_for(
        lambda: all(
            engine.active_requests == 0 for engine in edge.engines.values()
        ),
        'the end of the run',
        timeout_s=0.5,
    )
    edge.router.wait_for_log('event=caller-gone id=leaver')


def test_a_configuration_is_in_force_within_its_time(edge):
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
        'the key is gone',
        2.0,
    )


def test_a_malformed_configuration_or_entry_changes_nothing(edge):
    edge.append(edge_fleet.CONFIG_TOPIC, 'config', b'{"Version": 99}')
    edge.append(edge_fleet.CONFIG_TOPIC, 'config', b'no json')
    edge.append(edge_fleet.SERVERS_TOPIC, 'e3', b'{"State": "odd"}')
    edge.append(edge_fleet.SERVERS_TOPIC, 'e3', b'\xff\xfe')
    edge.router.wait_for_log('event=server-malformed server=e3')
    edge.router.wait_for_log('event=config-malformed')
    assert edge.router.send_request()[0] == 200


def test_a_leaving_engine_gets_no_new_work(edge):
    edge.register_engine('e1', State='draining')
    edge.router.wait_for_log('server=e1 pool=chat')
    edge.router.wait_for_log('state=draining')
    edge.engines['e1'].received.clear()
    for _ in range(10):
        assert edge.router.send_request()[0] == 200
    assert edge.engines['e1'].received == []


def test_a_store_that_is_away_leaves_what_is_known(edge):
    for fault in ('busy', 'silent', 'reset'):
        edge.store.fault = fault
        time.sleep(0.3)
        assert edge.router.send_request()[0] == 200
    edge.store.fault = None
    version = edge.publish_config(routes=[PLAIN])
    edge.router.wait_for_log(f'event=config-applied version={version}')


def test_a_store_that_forgets_its_history_is_read_anew(edge):
    edge.event_loop.run(edge.store.compact(edge_fleet.SERVERS_TOPIC))
    edge.event_loop.run(edge.store.compact(edge_fleet.CONFIG_TOPIC))
    version = edge.publish_config(routes=[PLAIN])
    edge.add_engine('e9')
    edge.router.wait_for_log(f'event=config-applied version={version}')
    edge.router.wait_for_log('event=server-listed server=e9')


def test_a_crash_request_is_kept_from_a_third_engine(edge):
    edge.add_engine('e3')
    edge.add_engine('e4')
    edge.router.wait_for_log('server=e4')

    def crash(engine):
        edge.event_loop.run(engine.server.close())

    for engine in edge.engines.values():
        engine.faults = ['hang'] * 8
    threading.Thread(
        target=lambda: crash_running(edge, crash), daemon=True
    ).start()
    seen = []
    for _ in range(6):
        try:
            seen.append(
                edge.router.send_request('/once/poison', 'POST', b'p')[0]
            )
        except OSError:
            seen.append(0)
        if 'quarantined=True' in edge.router.read_log():
            break
        edge.router.wait_for_log('event=server-crashed')
    edge.router.wait_for_log('quarantined=True')
    status, headers, body = edge.router.send_request(
        '/once/poison', 'POST', b'p'
    )
    assert status == 503
    assert b'quarantined' in body


def crash_running(edge, crash):
    """Crash each engine that runs the request, two in all."""
    crashed = []
    end = time.monotonic() + 15
    while len(crashed) < 2 and time.monotonic() < end:
        for engine in edge.engines.values():
            if engine.active_requests and engine not in crashed:
                crashed.append(engine)
                crash(engine)
        time.sleep(0.02)


def test_metrics_tell_what_was_served(edge):
    edge.router.send_request()
    text = edge.router.fetch_metrics()
    assert 'arbutusvale_requests_total{kind="answered"} 1' in text
    assert 'arbutusvale_first_byte_seconds_count{pool="chat"} 1' in text


def test_a_failed_request_can_be_traced_by_its_id(edge):
    set_fault(edge, 'reset')
    edge.router.send_request('/once/x', 'POST', b'b')
    attempt = edge.executed_requests()[0].attempt_id
    edge.router.wait_for_log(f'event=end id={attempt}')
    lines = [
        line for line in edge.router.read_log().split('\n')
        if f'id={attempt}' in line
    ]  # fmt: skip
    events = [line.split('event=')[1].split()[0] for line in lines]
    assert events == ['place', 'sending-failed', 'end']
    assert 'cause=' in lines[1]
    assert 'status=502' in lines[2]
