"""A store that comes back from an older copy of itself."""

import time

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

PLAIN = helpers_edge.make_route()
NEW = helpers_edge.make_route('new', '/new/')


@pytest.fixture
def edge(fleet):
    """A configured fleet of one router and two engines."""
    fleet.publish_config(routes=[PLAIN])
    fleet.add_engine('e1')
    fleet.add_engine('e2')
    fleet.router = fleet.add_router()
    for name in fleet.engines:
        fleet.router.wait_for_log(f'event=server-listed server={name} ')
    return fleet


def restore(fleet, away=True, config=0, servers=0):
    """Let the store lose the last records, after an outage unless not away."""
    if away:
        fleet.store.fault = 'reset'
        fleet.router.wait_for_log('event=store-lost topic=keyed.servers')
        fleet.router.wait_for_log('event=store-lost topic=keyed.op')
    fleet.event_loop.run(
        fleet.store.restore(
            {
                edge_fleet.CONFIG_TOPIC: config,
                edge_fleet.SERVERS_TOPIC: servers,
            }
        )
    )
    fleet.store.fault = None


def count_requests(fleet, name):
    """Send requests and count those that reach an engine."""
    engine = fleet.engines[name]
    engine.received.clear()
    for _ in range(12):
        assert fleet.router.send_request()[0] == 200
    return len(engine.received)


# Records at offsets that were given out again were never read.
def test_records_at_offsets_given_out_again_are_read(edge):
    edge.publish_config(routes=[PLAIN, NEW])
    edge_fleet.wait_for(
        lambda: edge.router.send_request('/new/x')[0] == 200, 'the new route'
    )
    edge.add_engine('e3')
    edge.router.wait_for_log('event=server-listed server=e3 ')
    restore(edge, away=False, servers=1)
    edge.add_engine('e4')
    edge.add_engine('e5')
    for name in ('e4', 'e5'):
        edge_fleet.wait_for(
            lambda name=name: count_requests(edge, name), f'requests at {name}'
        )


def test_draining_engine_stays_so_though_an_older_copy_lists_it_as_ready(edge):
    edge.register_engine('e1', State='draining')
    edge.router.wait_for_log('state=draining')
    restore(edge, servers=1)
    edge.router.wait_for_log('event=store-era topic=keyed.servers')
    assert count_requests(edge, 'e1') == 0


def test_engine_that_left_stays_away_until_it_writes_again(edge):
    edge.deregister_engine('e1')
    edge.router.wait_for_log('event=server-gone server=e1')
    restore(edge, servers=1)
    edge.router.wait_for_log('event=store-era topic=keyed.servers')
    assert count_requests(edge, 'e1') == 0
    # A second full read of the same copy.
    edge.store.fault = 'reset'
    time.sleep(0.3)
    edge.store.fault = None
    time.sleep(1.0)
    assert count_requests(edge, 'e1') == 0
    edge.register_engine('e1', Sequence=9)
    edge_fleet.wait_for(
        lambda: count_requests(edge, 'e1'), 'requests at e1 again'
    )


def test_engine_that_an_older_copy_lacks_serves_until_it_writes_again(edge):
    restore(edge, servers=1)
    edge.router.wait_for_log('event=store-era topic=keyed.servers')
    assert count_requests(edge, 'e2') > 0
    edge.register_engine('e2', Sequence=2)
    time.sleep(2.5)
    assert count_requests(edge, 'e2') > 0
    assert 'event=server-gone' not in edge.router.read_log()


def test_engine_that_does_not_write_again_is_gone_after_the_grace(edge):
    restore(edge, servers=1)
    edge.router.wait_for_log('event=server-gone server=e2')
    assert count_requests(edge, 'e2') == 0


def test_configuration_never_goes_back(edge):
    edge.publish_config(routes=[PLAIN], Tenants=[])
    edge_fleet.wait_for(
        lambda: edge.router.send_request()[0] == 401, 'the removal of the key'
    )
    restore(edge, config=1)
    edge.router.wait_for_log('event=store-era topic=keyed.op')
    assert edge.router.send_request()[0] == 401
    edge.publish_config(routes=[PLAIN, NEW])
    edge_fleet.wait_for(
        lambda: edge.router.send_request('/new/x')[0] == 200,
        'the configuration written in the new era',
    )


def test_store_may_come_back_older_twice(edge):
    for name in ('e3', 'e4'):
        edge.add_engine(name)
        edge.router.wait_for_log(f'event=server-listed server={name} ')
        restore(edge, away=False, servers=1)
        edge.register_engine(name, Sequence=2)
        edge.router.wait_for_log('event=store-era topic=keyed.servers')
    edge_fleet.wait_for(
        lambda: (
            edge.router.read_log().count('event=store-era topic=keyed.servers')
            == 2
        ),
        'the line of the second change',
    )
    metrics = edge.router.fetch_metrics()
    assert 'arbutusvale_store_eras_total{kind="keyed.servers"} 2' in metrics
    # 12 requests that are drawn at random may miss one engine of four.
    for name in ('e3', 'e4'):
        edge_fleet.wait_for(
            lambda name=name: count_requests(edge, name), f'requests at {name}'
        )
