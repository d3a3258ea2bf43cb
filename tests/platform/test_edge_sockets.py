"""An edge router serves requests beyond its limit of caller connections."""

import pytest

from arbutusvale.state import socket_budget
from tests import edge_fleet

pytestmark = pytest.mark.process


def test_surplus_idle_connections_are_closed(fleet):
    max_callers = 12
    sockets = socket_budget.RESERVED_SOCKETS + 2 * max_callers + 2
    fleet.max_descriptors = 200 + sockets
    fleet.publish_config()
    fleet.add_engine('e1')
    router = fleet.add_router()
    idle = [router.connect() for _ in range(4 * max_callers)]
    for _ in range(5):
        assert router.send_request()[0] == 200
    assert router.is_ready()
    edge_fleet.wait_for(
        lambda: (
            sum(is_closed(connection) for connection in idle)
            >= 3 * max_callers
        ),
        'the close of surplus connections',
    )
    assert 'Traceback' not in router.read_log()


def is_closed(connection):
    """Return whether the peer has closed a connection."""
    connection.setblocking(False)
    try:
        return connection.recv(1) == b''
    except BlockingIOError:
        return False
    except ConnectionError:
        return True
