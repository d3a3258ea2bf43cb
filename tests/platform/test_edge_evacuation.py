"""Evacuated data centres: no new request reaches their servers."""

import concurrent.futures
import time

import pytest

from arbutusvale.ui import main
from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

# `EvacuationMs` in the routers' settings.
BOUND_S = 2.0
# A request that can't be served is refused at once, not at its deadline.
AT_ONCE_S = 0.5
ROUTES = [
    helpers_edge.make_route(),
    helpers_edge.make_route(
        'once', '/once/', RouteType='non_idempotent', MaxAttempts=2
    ),
]


@pytest.fixture
def edge(fleet):
    """A router, and one engine in each of two data centres."""
    fleet.publish_config(routes=ROUTES)
    fleet.add_engine('kept')
    fleet.add_engine('emptied', Zone='south')
    fleet.router = fleet.add_router()
    for name in fleet.engines:
        fleet.router.wait_for_log(f'event=server-listed server={name} ')
    return fleet


def evacuate(fleet, data_centre='south'):
    """Evacuate a data centre; every router must follow within the bound."""
    fleet.append(edge_fleet.CONFIG_TOPIC, f'evacuate/{data_centre}', b'{}')
    line = f'event=data-centre-evacuated data_centre={data_centre} '
    deadline = time.monotonic() + BOUND_S
    for router in fleet.routers:
        edge_fleet.wait_for(
            lambda router=router: line in router.read_log(),
            f'evacuation at {router.host}',
            deadline - time.monotonic(),
        )


def send_requests(router, count=30):
    return [router.send_request(f'/chat/{n}')[0] for n in range(count)]


def count_at_emptied(fleet, router):
    fleet.engines['emptied'].received.clear()
    assert set(send_requests(router)) == {200}
    return len(fleet.engines['emptied'].received)


def test_no_router_sends_there_until_it_is_taken_back(edge, capsys):
    edge.add_router(2)
    edge.engines['emptied'].service_time_s = 1.0
    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        in_flight = [
            pool.submit(edge.router.send_request, f'/chat/{n}')
            for n in range(20)
        ]
        edge_fleet.wait_for(
            lambda: edge.engines['emptied'].received, 'a request in flight'
        )
        evacuate(edge)
        assert {future.result()[0] for future in in_flight} == {200}
    edge.engines['emptied'].service_time_s = 0.0
    for router in edge.routers:
        assert count_at_emptied(edge, router) == 0
    gauge = 'arbutusvale_data_centre_evacuated{kind="south"}'
    assert f'{gauge} 1\n' in edge.router.fetch_metrics()
    pages = ','.join(f'{router.host}:9464' for router in edge.routers)
    assert main.run_operator(['status', f'--routers={pages}']) == 0
    assert capsys.readouterr().out.count(' south\n') == 2
    unreachable = f'--routers={pages},127.0.0.1:1'
    assert main.run_operator(['status', unreachable]) == 5
    edge.append(edge_fleet.CONFIG_TOPIC, 'evacuate/south', b'')
    for router in edge.routers:
        router.wait_for_log('event=data-centre-restored data_centre=south')
        # It was slow with the requests in flight, and is avoided for a while.
        edge_fleet.wait_for(
            lambda router=router: count_at_emptied(edge, router),
            f'requests of {router.host}',
        )
    assert f'{gauge} 0\n' in edge.router.fetch_metrics()


def test_router_that_dies_before_it_reads_and_starts_again_follows(edge):
    edge.router.kill()
    edge.append(edge_fleet.CONFIG_TOPIC, 'evacuate/south', b'{}')
    edge.router.start().wait_until_ready()
    assert count_at_emptied(edge, edge.router) == 0


def test_router_that_the_store_turns_away_learns_it_from_peers(edge):
    edge.store_port = edge_fleet.find_free_ports(1)[0]
    router = edge.add_router(2)
    evacuate(edge)
    assert 'event=store-lost' in router.read_log()
    assert count_at_emptied(edge, router) == 0
    edge.append(edge_fleet.CONFIG_TOPIC, 'evacuate/south', b'')
    router.wait_for_log('event=data-centre-restored data_centre=south')


def test_requests_for_a_pool_that_is_evacuated_whole_are_refused_at_once(
    edge,
):
    evacuate(edge, 'north')
    evacuate(edge)
    for path, method in (('/chat/x', 'GET'), ('/once/x', 'POST')):
        started_at = time.monotonic()
        status, headers, body = edge.router.send_request(path, method)
        assert time.monotonic() - started_at < AT_ONCE_S
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert b'evacuated' in body
    assert edge.executed_requests() == []


def test_request_that_waits_in_line_is_not_sent_there(edge):
    evacuate(edge, 'north')
    engine = edge.engines['emptied']
    engine.faults = ['pause=1.5']
    assert edge.router.send_request('/once/x', 'POST', b'b')[0] == 503
    engine.received.clear()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(edge.router.send_request, '/once/x', 'POST')
        edge.router.wait_for_log('event=pause-wait')
        evacuate(edge)
        evacuated_at = time.monotonic()
        status, _, body = waiting.result()
        assert time.monotonic() - evacuated_at < AT_ONCE_S
    assert (status, b'evacuated' in body) == (503, True)
    assert engine.received == []


def test_store_that_comes_back_older_loses_no_evacuation(edge):
    evacuate(edge)
    edge.event_loop.run(edge.store.restore({edge_fleet.CONFIG_TOPIC: 1}))
    edge.router.wait_for_log('event=store-era topic=keyed.op')
    assert count_at_emptied(edge, edge.router) == 0
    # What operators wrote is written again.
    edge.append(edge_fleet.CONFIG_TOPIC, 'evacuate/south', b'{}')
    time.sleep(2.5)
    assert count_at_emptied(edge, edge.router) == 0
    assert 'event=data-centre-restored' not in edge.router.read_log()
