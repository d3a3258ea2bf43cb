"""Engines that turn requests away and ask for a pause."""

import concurrent.futures
import time

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

PLAIN = helpers_edge.make_route()
ONCE = helpers_edge.make_route(
    'once', '/once/', RouteType='non_idempotent', MaxAttempts=2
)


@pytest.fixture
def edge(fleet):
    """A configured fleet of one router and two engines."""
    fleet.publish_config(routes=[PLAIN, ONCE])
    for name in ('e1', 'e2'):
        fleet.add_engine(name)
    fleet.router = fleet.add_router()
    for name in fleet.engines:
        fleet.router.wait_for_log(f'event=server-listed server={name} ')
    return fleet


def ask_for_pause(fleet, name, value):
    """Let an engine turn one request away with a Retry-After."""
    engine = fleet.engines[name]
    engine.received.clear()
    engine.faults = [f'pause={value}']
    for _ in range(40):
        if not engine.faults:
            return
        fleet.router.send_request()
    raise AssertionError(f'no request reached {name}')


def count_requests(fleet, name, count=20):
    engine = fleet.engines[name]
    engine.received.clear()
    for _ in range(count):
        fleet.router.send_request()
    return len(engine.received)


def test_engine_gets_no_request_during_its_pause_and_some_after(edge):
    ask_for_pause(edge, 'e1', '1.5')
    paused_at = time.monotonic()
    while time.monotonic() < paused_at + 1.3:
        assert count_requests(edge, 'e1') == 0
    time.sleep(0.3)
    edge_fleet.wait_for(lambda: count_requests(edge, 'e1'), 'requests again')


def test_shorter_pause_does_not_cut_a_longer_one_short(edge):
    for engine in edge.engines.values():
        engine.service_time_s = 0.3
    engine = edge.engines['e1']
    engine.faults = ['pause=2.5', 'pause=0.1']
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        list(pool.map(lambda _: edge.router.send_request(), range(12)))
    for other in edge.engines.values():
        other.service_time_s = 0.0
    time.sleep(0.5)
    assert count_requests(edge, 'e1') == 0


@pytest.mark.parametrize('value', ['soon', '-1', '', 'nan', 'inf', '3601'])
def test_malformed_pause_is_logged_and_ignored(edge, value):
    ask_for_pause(edge, 'e1', value)
    edge_fleet.wait_for(lambda: count_requests(edge, 'e1'), 'requests again')
    edge.router.wait_for_log('event=pause-malformed server=e1')
    assert 'malformed_pauses_total' in edge.router.fetch_metrics()


def test_requests_wait_for_a_pause_that_ends_in_time(edge):
    for name in ('e1', 'e2'):
        ask_for_pause(edge, name, '0.6')
        assert edge.engines[name].faults == []
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        statuses = list(
            pool.map(
                lambda _: edge.router.send_request(
                    '/once/x', 'POST', b'b', X_Arbutusvale_Deadline_Ms='1800'
                )[0],
                range(8),
            )
        )
    assert statuses == [200] * 8


def test_requests_are_refused_at_once_if_all_pauses_outlast_them(edge):
    for name in ('e1', 'e2'):
        ask_for_pause(edge, name, '30')
    for engine in edge.engines.values():
        engine.received.clear()
    started_at = time.monotonic()
    waits = set()
    for _ in range(4):
        status, headers, _ = edge.router.send_request('/once/x', 'POST', b'b')
        assert status == 503
        waits.add(float(headers['retry-after']))
    assert time.monotonic() - started_at < 1.0
    assert min(waits) > 25
    assert len(waits) == 4
    assert not any(engine.received for engine in edge.engines.values())


def test_pause_ends_with_the_incarnation(edge):
    ask_for_pause(edge, 'e1', '60')
    edge.register_engine('e1', born=2)
    edge_fleet.wait_for(
        lambda: count_requests(edge, 'e1'), 'requests at the new incarnation'
    )
