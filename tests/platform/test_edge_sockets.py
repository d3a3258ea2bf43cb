"""A router keeps serving when callers open more connections than it may."""

import pytest

from arbutusvale.state import socket_budget
from tests import edge_fleet

pytestmark = pytest.mark.process


def test_idle_callers_beyond_the_sockets_of_a_vm_give_way(fleet):
    callers = 12
    sockets = socket_budget.RESERVED_SOCKETS + 2 * callers + 2
    fleet.max_descriptors = 200 + sockets
    fleet.publish_config()
    fleet.add_engine('e1')
    router = fleet.add_router()
    idle = [router.connect() for _ in range(4 * callers)]
    for _ in range(5):
        assert router.send_request()[0] == 200
    assert router.is_ready()
    edge_fleet.wait_for(
        lambda: sum(has_ended(one) for one in idle) >= 3 * callers,
        'the end of surplus connections',
    )
    assert 'Traceback' not in router.read_log()


def has_ended(connection):
    """Tell whether the other side has closed a connection."""
    connection.setblocking(False)
    try:
        return connection.recv(1) == b''
    except BlockingIOError:
        return False
    except ConnectionError:
        return True
