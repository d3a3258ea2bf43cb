"""The whole path through a real edge router process."""

import http.client
import threading
import time

import pytest

from tests import edgefleet
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
def path(fleet):
    """A router between a store and two engines."""
    fleet.configure(routes=[PLAIN, STREAM, ONCE])
    fleet.add_engine('e1')
    fleet.add_engine('e2')
    fleet.router = fleet.add_router()
    return fleet


def set_fault(fleet, *faults):
    """Have every engine meet its next requests with faults."""
    for engine in fleet.engines.values():
        engine.faults = list(faults)


def test_a_request_reaches_an_engine_and_its_answer_the_caller(path):
    status, headers, body = path.router.ask(
        '/chat/x?q=1',
        'POST',
        b'hello',
        X_Arbutusvale_Tenant='forged',
        X_Arbutusvale_Kv_Reservation='forged',
        X_Custom='kept',
    )
    assert status == 200
    [run] = path.runs()
    assert body == f'{run.attempt_id} POST /chat/x acme hello'.encode()
    assert headers['X-Arbutusvale-Engine-Signature'.lower()]
    sent = run.request.headers
    assert run.request.query == {'q': '1'}
    assert sent['x-custom'] == 'kept'
    assert sent['x-arbutusvale-expected-instance'] in path.engines
    assert 'authorization' not in sent
    assert 'x-arbutusvale-kv-reservation' not in sent
    assert 0 < int(sent['x-arbutusvale-deadline-ms']) <= 2000


def test_an_unknown_key_is_refused_and_reaches_no_engine(path):
    status, _, _ = path.router.ask(Authorization='Bearer nobody')
    assert status == 401
    status, _, _ = path.router.ask(Authorization=None)
    assert status == 401
    assert path.runs() == []


def test_an_unknown_route_is_not_found(path):
    assert path.router.ask('/elsewhere/x')[0] == 404
    assert path.router.ask(Host='other.example')[0] == 404


def test_an_idempotent_request_is_sent_again_after_a_failure(path):
    for fault in ('error', 'reset', 'truncate', 'unsigned', 'garbage'):
        path.engines['e1'].faults = [fault]
        path.engines['e2'].faults = []
        for _ in range(8):
            assert path.router.ask()[0] == 200
            if not path.engines['e1'].faults:
                break


def test_a_request_that_must_not_repeat_is_sent_once(path):
    for fault in ('reset', 'truncate', 'unsigned'):
        set_fault(path, fault)
        status, _, _ = path.router.ask('/once/x', 'POST', b'b')
        assert status == 502
        set_fault(path)
    runs = path.runs()
    assert len(runs) == 3
    assert len({run.attempt_id for run in runs}) == 3


def test_a_request_that_did_not_run_goes_to_another_engine(path):
    set_fault(path, 'shed')
    path.engines['e2'].faults = []
    for _ in range(6):
        status, _, _ = path.router.ask('/once/x', 'POST', b'b')
        assert status == 200


def test_a_pool_that_sheds_is_told_as_not_run_with_a_time_to_return(path):
    set_fault(path, *['shed'] * 4)
    status, headers, _ = path.router.ask('/once/x', 'POST', b'b')
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert path.runs() == []


def test_an_engine_failure_is_passed_on_whole(path):
    set_fault(path, 'error')
    status, headers, body = path.router.ask('/once/x', 'POST', b'b')
    assert (status, body) == (500, b'broken')
    assert 'x-arbutusvale-engine-signature' in headers


def test_an_answer_of_another_request_is_never_passed_on(path):
    set_fault(path, 'foreign')
    status, _, body = path.router.ask('/once/x', 'POST', b'b')
    assert status == 200
    assert body.startswith(b'attempt-')
    assert b'foreign' not in body


def test_a_second_answer_spoils_the_connection_only(path):
    set_fault(path, 'extra', 'extra', 'extra')
    for _ in range(6):
        status, _, body = path.router.ask()
        assert status == 200
        assert b'once more' not in body


def test_an_answer_that_ends_with_its_connection_is_whole(path):
    set_fault(path, 'unframed')
    status, _, body = path.router.ask()
    assert status == 200
    assert body.endswith(b'acme ')


def test_a_reused_address_is_noticed_by_the_expected_instance(path):
    path.engines['e1'].name = 'somebody-new'
    for _ in range(6):
        assert path.router.ask('/once/x', 'POST', b'b')[0] == 200
    assert all(run.executed is False for run in path.engines['e1'].received)


def test_a_stream_is_passed_on_whole(path):
    for engine in path.engines.values():
        engine.stream_prefix = '/stream/'
    status, headers, body = path.router.ask('/stream/x', 'POST', b'p')
    assert (status, body) == (200, EVENTS)


@pytest.mark.parametrize('fault', ['stream-cut', 'stream-hang'])
def test_a_broken_stream_goes_on_at_another_engine(path, fault):
    for engine in path.engines.values():
        engine.stream_prefix = '/stream/'
        engine.faults = []
    path.engines['e1'].faults = [fault]
    bodies = [
        path.router.ask('/stream/x', 'POST', b'p', timeout=15)[2]
        for _ in range(6)
    ]
    assert bodies == [EVENTS] * 6
    assert path.engines['e1'].faults == []
    resumed = [
        run for run in path.runs() if 'last-event-id' in run.request.headers
    ]
    assert resumed[0].request.headers['last-event-id'] == '2'


def test_a_stream_that_can_not_go_on_never_looks_complete(path):
    for engine in path.engines.values():
        engine.stream_prefix = '/stream/'
        engine.faults = ['stream-cut'] * 4
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        path.router.ask('/stream/x', 'POST', b'p')


def test_a_request_ends_at_its_routes_timeout(path):
    set_fault(path, 'hang', 'hang')
    began = time.monotonic()
    status, _, _ = path.router.ask('/once/x', 'POST', b'b')
    assert status == 504
    assert 1.9 < time.monotonic() - began < 2.5


def test_a_caller_that_leaves_ends_the_run(path):
    set_fault(path, 'hang')
    connection = path.router.connect()
    connection.sendall(
        b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
        b'X-Arbutusvale-Attempt-Id: leaver\r\n'
        b'Authorization: Bearer key-1\r\n\r\n'
    )
    edgefleet.wait_for(lambda: path.runs('leaver'), 'the run')
    connection.close()
    edgefleet.wait_for(
        lambda: all(
            engine.active_requests == 0 for engine in path.engines.values()
        ),
        'the end of the run',
        timeout_s=0.5,
    )
    path.router.wait_log('event=caller-gone id=leaver')


def test_a_configuration_is_in_force_within_its_time(path):
    route = helpers_edge.make_route('new', '/new/')
    path.configure(routes=[PLAIN, STREAM, ONCE, route])
    edgefleet.wait_for(
        lambda: path.router.ask('/new/x')[0] == 200, 'the new route', 2.0
    )
    path.configure(routes=[PLAIN], Tenants=[])
    edgefleet.wait_for(
        lambda: path.router.ask('/chat/x')[0] == 401, 'the key is gone', 2.0
    )


def test_a_malformed_configuration_or_entry_changes_nothing(path):
    path.append(edgefleet.CONFIG_TOPIC, 'config', b'{"Version": 99}')
    path.append(edgefleet.CONFIG_TOPIC, 'config', b'no json')
    path.append(edgefleet.SERVERS_TOPIC, 'e3', b'{"State": "odd"}')
    path.append(edgefleet.SERVERS_TOPIC, 'e3', b'\xff\xfe')
    path.router.wait_log('event=server-malformed server=e3')
    path.router.wait_log('event=config-malformed')
    assert path.router.ask()[0] == 200


def test_a_leaving_engine_gets_no_new_work(path):
    path.list_engine('e1', State='draining')
    path.router.wait_log('server=e1 pool=chat')
    path.router.wait_log('state=draining')
    path.engines['e1'].received.clear()
    for _ in range(10):
        assert path.router.ask()[0] == 200
    assert path.engines['e1'].received == []


def test_a_store_that_is_away_leaves_what_is_known(path):
    for fault in ('busy', 'silent', 'reset'):
        path.store.fault = fault
        time.sleep(0.3)
        assert path.router.ask()[0] == 200
    path.store.fault = None
    version = path.configure(routes=[PLAIN])
    path.router.wait_log(f'event=config-applied version={version}')


def test_a_store_that_forgets_its_history_is_read_anew(path):
    path.thread.run(path.store.compact(edgefleet.SERVERS_TOPIC))
    path.thread.run(path.store.compact(edgefleet.CONFIG_TOPIC))
    version = path.configure(routes=[PLAIN])
    path.add_engine('e9')
    path.router.wait_log(f'event=config-applied version={version}')
    path.router.wait_log('event=server-listed server=e9')


def test_a_crash_request_is_kept_from_a_third_engine(path):
    path.add_engine('e3')
    path.add_engine('e4')
    path.router.wait_log('server=e4')

    def crash(engine):
        path.thread.run(engine.server.close())

    for engine in path.engines.values():
        engine.faults = ['hang'] * 8
    threading.Thread(
        target=lambda: crash_running(path, crash), daemon=True
    ).start()
    seen = []
    for _ in range(6):
        try:
            seen.append(path.router.ask('/once/poison', 'POST', b'p')[0])
        except OSError:
            seen.append(0)
        if 'quarantined=True' in path.router.read_log():
            break
        path.router.wait_log('event=server-crashed')
    path.router.wait_log('quarantined=True')
    status, headers, body = path.router.ask('/once/poison', 'POST', b'p')
    assert status == 503
    assert b'quarantined' in body


def crash_running(path, crash):
    """Crash each engine that runs the request, two in all."""
    crashed = []
    end = time.monotonic() + 15
    while len(crashed) < 2 and time.monotonic() < end:
        for engine in path.engines.values():
            if engine.active_requests and engine not in crashed:
                crashed.append(engine)
                crash(engine)
        time.sleep(0.02)


def test_metrics_tell_what_was_served(path):
    path.router.ask()
    text = path.router.fetch_metrics()
    assert 'arbutusvale_requests_total{kind="answered"} 1' in text
    assert 'arbutusvale_first_byte_seconds_count{pool="chat"} 1' in text


def test_a_failed_request_can_be_traced_by_its_id(path):
    set_fault(path, 'reset')
    path.router.ask('/once/x', 'POST', b'b')
    attempt = path.runs()[0].attempt_id
    path.router.wait_log(f'event=end id={attempt}')
    lines = [
        line for line in path.router.read_log().split('\n')
        if f'id={attempt}' in line
    ]  # fmt: skip
    events = [line.split('event=')[1].split()[0] for line in lines]
    assert events == ['place', 'sending-failed', 'end']
    assert 'cause=' in lines[1]
    assert 'status=502' in lines[2]
