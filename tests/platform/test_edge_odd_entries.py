"""Another writer leaves entries among those of the engines."""

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

ODD_ENTRIES = {
    'nested': 100_000 * b'[',
    'number-too-large': helpers_edge.make_entry('127.0.0.1:9', Slots=10**400),
    'start-too-large': helpers_edge.make_entry('127.0.0.1:9', born=10**400),
    'infinite': helpers_edge.make_entry('127.0.0.1:9', Slots=float('inf')),
    'cold-for-ever': helpers_edge.make_entry(
        '127.0.0.1:9', WarmupLeftMs=10**400, State='draining'
    ),
    'port-out-of-range': helpers_edge.make_entry('127.0.0.1:80800', Slots=64),
    'no-port': helpers_edge.make_entry('127.0.0.1:\u00b2', Slots=64),
    'no-address': helpers_edge.make_entry('nowhere:80', Slots=64),
    'id\r\nX-Odd: 1': helpers_edge.make_entry('127.0.0.1:9', Slots=64),
    'id-\u4e2d': helpers_edge.make_entry('127.0.0.1:9', Slots=64),
    'no-bytes': b'\xff\x00',
}


@pytest.fixture
def edge(fleet):
    fleet.publish_config()
    for name in ('e1', 'e2'):
        fleet.add_engine(name)
    fleet.router = fleet.add_router()
    for name in fleet.engines:
        fleet.router.wait_for_log(f'event=server-listed server={name} ')
    return fleet


# No change of the list was read after such an entry, and a server that left
# went on getting requests.
def test_list_is_followed_beyond_odd_entries(edge):
    for name, data in ODD_ENTRIES.items():
        edge.append(edge_fleet.SERVERS_TOPIC, name, data)
    edge.register_engine('e1', State='draining')
    edge.router.wait_for_log(
        'event=server-listed server=e1 pool=chat '
        f'address=127.0.0.1:{edge.engines["e1"].server.port} '
        'state=draining'
    )
    edge.engines['e1'].received.clear()
    assert [edge.router.send_request()[0] for _ in range(20)] == [200] * 20
    assert edge.engines['e1'].received == []
    assert 'task-failed' not in edge.router.read_log()


# The whole list is read at a start: no router became ready beside the entry.
def test_router_starts_beside_odd_entries(edge):
    for name, data in ODD_ENTRIES.items():
        edge.append(edge_fleet.SERVERS_TOPIC, name, data)
    edge.router.kill()
    edge.router.start().wait_until_ready()
    assert edge.router.send_request()[0] == 200


def test_requests_are_sent_to_no_server_of_an_odd_entry(edge):
    for name, data in ODD_ENTRIES.items():
        edge.append(edge_fleet.SERVERS_TOPIC, name, data)
    edge.router.wait_for_log('event=server-malformed server=no-bytes')
    assert [edge.router.send_request()[0] for _ in range(40)] == [200] * 40
    assert 'internal-error' not in edge.router.read_log()
