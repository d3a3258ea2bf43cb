"""Starting, stopping and standing still."""

import http.client
import signal
import socket
import threading
import time

import pytest

from tests import edgefleet
from tests import helpers_edge

pytestmark = pytest.mark.process


@pytest.fixture
def path(fleet):
    fleet.configure()
    fleet.add_engine('e1')
    fleet.router = fleet.add_router()
    return fleet


def test_a_stop_finishes_what_runs_and_serves_what_comes_soon(path):
    path.engines['e1'].service_time_s = 1.5
    results = []

    def ask():
        results.append(path.router.ask()[0])

    running = threading.Thread(target=ask)
    running.start()
    edgefleet.wait_for(path.runs, 'the first run')
    path.router.send(signal.SIGTERM)
    edgefleet.wait_for(
        lambda: path.router.ask_ready() != 200, 'failing readiness', 1.0
    )
    status, headers, _ = path.router.ask()
    assert status == 200
    assert headers['connection'] == 'close'
    running.join()
    assert results == [200]
    path.router.process.wait(10)
    assert path.router.process.returncode == 0
    assert 'event=stop cut=0' in path.router.read_log()


def test_late_requests_of_a_stopping_router_are_told_as_not_run(path):
    path.engines['e1'].faults = ['hang']
    holder = path.router.connect()
    holder.sendall(
        b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
        b'X-Arbutusvale-Attempt-Id: holder\r\n'
        b'Authorization: Bearer key-1\r\n\r\n'
    )
    edgefleet.wait_for(path.runs, 'the held run')
    path.configure(routes=[helpers_edge.make_route(TimeoutMs=9000)])
    path.router.wait_log('event=config-applied version=2')
    holder2 = path.router.connect()
    path.engines['e1'].faults = ['hang']
    holder2.sendall(
        b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
        b'X-Arbutusvale-Attempt-Id: holder2\r\n'
        b'Authorization: Bearer key-1\r\n\r\n'
    )
    edgefleet.wait_for(lambda: path.runs('holder2'), 'the second held run')
    path.router.send(signal.SIGTERM)
    time.sleep(3.2)
    status, headers, _ = path.router.ask()
    assert status == 503
    assert 'retry-after' in headers
    assert headers['connection'] == 'close'


def test_a_kept_connection_is_closed_with_an_answer_on_a_stop(path):
    connection = http.client.HTTPConnection(
        path.router.host, path.caller_port, timeout=5
    )
    headers = {
        'Host': 'fleet.example',
        'Authorization': 'Bearer key-1',
    }
    connection.request(
        'GET', '/chat/1', headers=headers | {'X-Arbutusvale-Attempt-Id': 'a'}
    )
    assert connection.getresponse().read()
    path.router.send(signal.SIGTERM)
    time.sleep(0.5)
    connection.request(
        'GET', '/chat/2', headers=headers | {'X-Arbutusvale-Attempt-Id': 'b'}
    )
    answer = connection.getresponse()
    assert answer.status == 200
    assert answer.headers['connection'] == 'close'


def test_a_stop_waits_for_a_caller_that_reads_slowly(path):
    """Seen once on trouble-3 of lembrete-sul-grown as LOST.

    The answer stood in the router's buffer, on a link of 5 Mbit/s, when the
    last request counted as done and the process ended.
    """
    path.engines['e1'].padding_bytes = 250_000
    route = helpers_edge.make_route(TimeoutMs=20000)
    version = path.configure(routes=[route])
    path.router.wait_log(f'event=config-applied version={version}')
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.settimeout(10)
    caller.connect((path.router.host, path.caller_port))
    caller.sendall(
        b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
        b'X-Arbutusvale-Attempt-Id: slow\r\n'
        b'Authorization: Bearer key-1\r\nConnection: close\r\n\r\n'
    )
    path.router.wait_log('event=end id=slow')
    path.router.send(signal.SIGTERM)
    # A router that counts the request as done would be gone after this time.
    time.sleep(3.5)
    received = b''
    while piece := caller.recv(65536):
        received += piece
    assert received.count(b'p') >= 250_000


def test_a_request_at_the_last_moment_of_a_stop_has_an_answer(path):
    """Callers on kept connections ask without rest until they are told."""
    results = []

    def ask():
        connection = http.client.HTTPConnection(
            path.router.host, path.caller_port, timeout=5
        )
        number, me = 0, threading.get_ident()
        while True:
            number += 1
            sent = False
            try:
                connection.request(
                    'GET',
                    '/chat/x',
                    headers={
                        'Host': 'fleet.example',
                        'X-Arbutusvale-Attempt-Id': f'{number}-{me}',
                        'Authorization': 'Bearer key-1',
                    },
                )
                sent = True
                answer = connection.getresponse()
                answer.read()
            except OSError as error:
                results.append((sent, error))
                return
            except http.client.RemoteDisconnected as error:
                results.append((sent, error))
                return
            results.append((True, answer.status))
            if answer.headers.get('Connection') == 'close':
                connection.close()

    threads = [threading.Thread(target=ask) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    path.router.send(signal.SIGTERM)
    path.router.process.wait(10)
    for thread in threads:
        thread.join(10)
    ran = {run.attempt_id for run in path.runs()}
    answered = sum(isinstance(one[1], int) for one in results)
    served = sum(one[1] == 200 for one in results)
    # Each run of an engine was answered.
    assert len(ran) == served
    assert answered > 20


def test_a_reload_takes_changed_bounds_and_keeps_the_old_on_a_fault(path):
    path.router.send(signal.SIGHUP)
    path.router.wait_log('event=reload vm=')
    path.router.settings.write_text('NodeName = 5')
    path.router.send(signal.SIGHUP)
    path.router.wait_log('event=reload-failed')
    assert 'Platform.Address' in path.router.read_log()
    assert path.router.ask()[0] == 200


def test_a_router_without_configuration_is_not_ready(fleet):
    fleet.store.fault = 'busy'
    router = fleet.add_router(wait=False)
    edgefleet.wait_for(
        lambda: router.log.exists() and 'store-lost' in router.read_log(),
        'the store is found away',
    )
    assert router.ask_ready() == 503
    assert router.ask()[0] == 503
    fleet.configure()
    fleet.add_engine('e1')
    fleet.store.fault = None
    router.wait_ready()
    assert router.ask()[0] == 200


def test_a_router_that_starts_while_the_store_is_away_asks_a_peer(path):
    path.store.fault = 'busy'
    second = path.add_router(2)
    second.wait_log('event=peer-copy-taken')
    assert second.ask()[0] == 200
    # An unknown key can't be denied by a list that may be old.
    assert second.ask(Authorization='Bearer nobody')[0] == 503


def test_routers_share_loads_and_cache_places(path):
    second = path.add_router(2)
    path.router.wait_log('event=peer-heard')
    second.wait_log('event=peer-heard')


def test_a_router_that_stood_still_looks_at_the_store_first(path):
    path.router.send(signal.SIGSTOP)
    time.sleep(2.0)
    version = path.configure(routes=[helpers_edge.make_route('n', '/new/')])
    path.router.send(signal.SIGCONT)
    assert path.router.ask('/new/x')[0] == 200
    path.router.wait_log('event=clock-gap')
    path.router.wait_log(f'event=config-applied version={version}')


def test_settings_with_faults_name_the_fields(fleet, tmp_path):
    fleet.format_settings = lambda host: 'NodeName = "x"\n'
    router = fleet.add_router(wait=False)
    assert router.process.wait(10) == 2
    text = router.read_log()
    for field in ('Platform.Address', 'Listen.Frontend', 'Bounds.GraceS'):
        assert field in text
