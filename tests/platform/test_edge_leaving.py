"""Engines that say in their answers that they leave."""

import http.client
import time

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

PLAIN = helpers_edge.make_route()
STREAM = helpers_edge.make_route(
    'stream', '/stream/', RouteType='streaming', StreamResume=True
)
DRAIN_S = 2.0


@pytest.fixture
def edge(fleet):
    """A configured fleet of one router and two engines."""
    fleet.publish_config(routes=[PLAIN, STREAM])
    for name in ('e1', 'e2'):
        fleet.add_engine(name).stream_prefix = '/stream/'
    fleet.router = fleet.add_router()
    wait_until_listed(fleet.router, 'e1', 'e2')
    return fleet


def wait_until_listed(router, *names):
    for name in names:
        router.wait_for_log(f'event=server-listed server={name} ')


def let_leave(fleet, name, fault='', value='1'):
    """Let an engine say that it leaves, with an answer to a request."""
    engine = fleet.engines[name]
    engine.leaving = value
    engine.received.clear()
    for _ in range(20):
        engine.faults = [fault] if fault else []
        path = '/stream/x' if 'stream' in fault else '/chat/x'
        try:
            fleet.router.send_request(path)
        except http.client.IncompleteRead:
            pass
        if engine.received:
            break
    assert engine.received
    engine.faults = []
    engine.received.clear()


def count_requests(router, engine, count=12):
    """Send requests and count those that reach an engine."""
    engine.received.clear()
    for _ in range(count):
        router.send_request()
    return len(engine.received)


@pytest.mark.parametrize('fault', ['', 'shed', 'error', 'stream-cut'])
def test_engine_that_says_it_leaves_gets_no_more_requests(edge, fault):
    let_leave(edge, 'e1', fault)
    assert count_requests(edge.router, edge.engines['e1']) == 0
    edge.router.wait_for_log('event=server-leaving server=e1')
    # A list that still says ready, and the same incarnation written anew.
    edge.register_engine('e1', Sequence=7)
    time.sleep(1.0)
    assert count_requests(edge.router, edge.engines['e1']) == 0


def test_leaving_engine_stays_away_while_the_store_is_away(edge):
    edge.store.fault = 'silent'
    let_leave(edge, 'e1')
    time.sleep(DRAIN_S)
    assert count_requests(edge.router, edge.engines['e1']) == 0


def test_new_incarnation_of_a_leaving_engine_gets_requests(edge):
    let_leave(edge, 'e1')
    edge.engines['e1'].leaving = ''
    edge.register_engine('e1', born=2)
    edge_fleet.wait_for(
        lambda: count_requests(edge.router, edge.engines['e1']),
        'requests at the new incarnation',
    )


def test_answer_of_another_engine_at_the_address_says_nothing(edge):
    engine = edge.engines['e1']
    engine.name, engine.leaving = 'somebody-new', '1'
    assert count_requests(edge.router, engine) > 0
    engine.name, engine.leaving = 'e1', ''
    edge_fleet.wait_for(
        lambda: count_requests(edge.router, engine), 'requests again'
    )


def test_other_value_says_nothing(edge):
    let_leave(edge, 'e1', value='0')
    assert count_requests(edge.router, edge.engines['e1'], 40) > 0


def test_header_of_a_caller_is_not_forwarded(edge):
    edge.router.send_request(Server_Leaving='1')
    [received] = edge.executed_requests()
    assert 'server-leaving' not in received.request.headers


def test_pool_that_leaves_as_a_whole_serves_only_within_the_drain_time(edge):
    for name in ('e1', 'e2'):
        edge.engines[name].leaving = '1'
    statuses = [edge.router.send_request()[0] for _ in range(6)]
    assert statuses == [200] * 6
    time.sleep(DRAIN_S)
    for engine in edge.engines.values():
        engine.received.clear()
    status, headers, _ = edge.router.send_request()
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert not any(engine.received for engine in edge.engines.values())


def test_peers_learn_that_an_engine_leaves(edge):
    other = edge.add_router(2)
    wait_until_listed(other, 'e1', 'e2')
    edge.router.wait_for_log('event=peer-heard')
    other.wait_for_log('event=peer-heard')
    let_leave(edge, 'e1')
    other.wait_for_log('event=server-leaving server=e1 source=peer')
    assert count_requests(other, edge.engines['e1']) == 0


def test_stream_at_a_leaving_engine_runs_to_its_end(edge):
    for engine in edge.engines.values():
        engine.leaving = '1'
    status, _, body = edge.router.send_request('/stream/x', 'POST', b'p')
    assert (status, body.count(b'data:')) == (200, 5)
