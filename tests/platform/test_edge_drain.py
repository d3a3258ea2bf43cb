"""Starting, stopping and standing still."""

import http.client
import signal
import socket
import threading
import time

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process


@pytest.fixture
def edge(fleet):
    fleet.publish_config()
    fleet.add_engine('e1')
    fleet.router = fleet.add_router()
    return fleet


def test_a_stop_finishes_what_runs_and_serves_what_comes_soon(edge):
    edge.engines['e1'].service_time_s = 1.5
    results = []

    def ask():
        results.append(edge.router.send_request()[0])

    running = threading.Thread(target=ask)
    running.start()
    edge_fleet.wait_for(edge.executed_requests, 'the first run')
    edge.router.send_signal(signal.SIGTERM)
    edge_fleet.wait_for(
        lambda: edge.router.fetch_readiness() != 200,
        'failing readiness',
        1.0,
    )
    status, headers, _ = edge.router.send_request()
    assert status == 200
    assert headers['connection'] == 'close'
    running.join()
    assert results == [200]
    edge.router.process.wait(10)
    assert edge.router.process.returncode == 0
    assert 'event=stop cut=0' in edge.router.read_log()


def test_late_requests_of_a_stopping_router_are_told_as_not_run(edge):
    edge.engines['e1'].faults = ['hang']
    holder = edge.router.connect()
    holder.sendall(
        b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
        b'X-Arbutusvale-Attempt-Id: holder\r\n'
        b'Authorization: Bearer key-1\r\n\r\n'
    )
    edge_fleet.wait_for(edge.executed_requests, 'the held run')
    edge.publish_config(routes=[helpers_edge.make_route(TimeoutMs=9000)])
    edge.router.wait_for_log('event=config-applied version=2')
    holder2 = edge.router.connect()
    edge.engines['e1'].faults = ['hang']
    holder2.sendall(
        b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
        b'X-Arbutusvale-Attempt-Id: holder2\r\n'
        b'Authorization: Bearer key-1\r\n\r\n'
    )
    edge_fleet.wait_for(
        lambda: edge.executed_requests('holder2'),
        'the second held run',
    )
    edge.router.send_signal(signal.SIGTERM)
    time.sleep(3.2)
    status, headers, _ = edge.router.send_request()
    assert status == 503
    assert 'retry-after' in headers
    assert headers['connection'] == 'close'


def test_a_kept_connection_is_closed_with_an_answer_on_a_stop(edge):
    connection = http.client.HTTPConnection(
        edge.router.host, edge.caller_port, timeout=5
    )
    headers = {
        'Host': 'fleet.example',
        'Authorization': 'Bearer key-1',
    }
    connection.request(
        'GET', '/chat/1', headers=headers | {'X-Arbutusvale-Attempt-Id': 'a'}
    )
    assert connection.getresponse().read()
    edge.router.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    connection.request(
        'GET', '/chat/2', headers=headers | {'X-Arbutusvale-Attempt-Id': 'b'}
    )
    answer = connection.getresponse()
    assert answer.status == 200
    assert answer.headers['connection'] == 'close'


def test_a_stop_waits_for_a_caller_that_reads_slowly(edge):
    """Seen once on trouble-3 of lembrete-sul-grown as LOST.

    The answer stood in the router's buffer, on a link of 5 Mbit/s, when the
    last request counted as done and the process ended.
    """
    edge.engines['e1'].padding_bytes = 250_000
    route = helpers_edge.make_route(TimeoutMs=20000)
    version = edge.publish_config(routes=[route])
    edge.router.wait_for_log(f'event=config-applied version={version}')
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.settimeout(10)
    caller.connect((edge.router.host, edge.caller_port))
    caller.sendall(
        b'GET /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
        b'X-Arbutusvale-Attempt-Id: slow\r\n'
        b'Authorization: Bearer key-1\r\nConnection: close\r\n\r\n'
    )
    edge.router.wait_for_log('event=end id=slow')
    edge.router.send_signal(signal.SIGTERM)
    # A router that counts the request as done would be gone after this time.
    time.sleep(3.5)
    received = b''
    while piece := caller.recv(65536):
        received += piece
    assert received.count(b'p') >= 250_000


def test_a_request_at_the_last_moment_of_a_stop_has_an_answer(edge):
    """Callers on kept connections ask without rest until they are told."""
    results = []

    def ask():
        connection = http.client.HTTPConnection(
            edge.router.host, edge.caller_port, timeout=5
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
    edge.router.send_signal(signal.SIGTERM)
    edge.router.process.wait(10)
    for thread in threads:
        thread.join(10)
    ran = {run.attempt_id for run in edge.executed_requests()}
    answered = sum(isinstance(one[1], int) for one in results)
    served = sum(one[1] == 200 for one in results)
    # Each run of an engine was answered.
    assert len(ran) == served
    assert answered > 20


def test_a_reload_takes_changed_bounds_and_keeps_the_old_on_a_fault(edge):
    edge.router.send_signal(signal.SIGHUP)
    edge.router.wait_for_log('event=reload vm=')
    edge.router.settings_path.write_text('NodeName = 5')
    edge.router.send_signal(signal.SIGHUP)
    edge.router.wait_for_log('event=reload-failed')
    assert 'Platform.Address' in edge.router.read_log()
    assert edge.router.send_request()[0] == 200


def test_a_router_without_configuration_is_not_ready(fleet):
    fleet.store.fault = 'busy'
    router = fleet.add_router(wait=False)
    edge_fleet.wait_for(
        lambda: router.log_path.exists() and 'store-lost' in router.read_log(),
        'the store is found away',
    )
    assert router.fetch_readiness() == 503
    assert router.send_request()[0] == 503
    fleet.publish_config()
    fleet.add_engine('e1')
    fleet.store.fault = None
    router.wait_until_ready()
    assert router.send_request()[0] == 200


def test_a_router_that_starts_while_the_store_is_away_asks_a_peer(edge):
    edge.store.fault = 'busy'
    second = edge.add_router(2)
    second.wait_for_log('event=peer-copy-taken')
    assert second.send_request()[0] == 200
    # An unknown key can't be denied by a list that may be old.
    assert second.send_request(Authorization='Bearer nobody')[0] == 503


def test_routers_share_loads_and_cache_places(edge):
    second = edge.add_router(2)
    edge.router.wait_for_log('event=peer-heard')
    second.wait_for_log('event=peer-heard')


def test_a_router_that_stood_still_looks_at_the_store_first(edge):
    edge.router.send_signal(signal.SIGSTOP)
    time.sleep(2.0)
    version = edge.publish_config(
        routes=[helpers_edge.make_route('n', '/new/')]
    )
    edge.router.send_signal(signal.SIGCONT)
    assert edge.router.send_request('/new/x')[0] == 200
    edge.router.wait_for_log('event=clock-gap')
    edge.router.wait_for_log(f'event=config-applied version={version}')


def test_settings_with_faults_name_the_fields(fleet, tmp_path):
    fleet.format_settings = lambda host: 'NodeName = "x"\n'
    router = fleet.add_router(wait=False)
    assert router.process.wait(10) == 2
    text = router.read_log()
    for field in ('Platform.Address', 'Listen.Frontend', 'Bounds.GraceS'):
        assert field in text
