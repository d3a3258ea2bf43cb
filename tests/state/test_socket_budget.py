"""Division of sockets so that each accepted request can be forwarded."""

import pytest

from arbutusvale.state import socket_budget


@pytest.mark.parametrize('sockets', [40, 100, 400, 3900, 7992])
def test_each_caller_connection_has_a_server_connection(sockets):
    budget = socket_budget.divide_sockets(sockets)
    assert budget.callers <= budget.servers
    assert (
        budget.callers + budget.servers + socket_budget.RESERVED_SOCKETS
        <= (sockets)
    )
    assert budget.callers >= int(
        0.45 * (sockets - socket_budget.RESERVED_SOCKETS)
    )


def test_a_tiny_limit_still_allows_one_request():
    budget = socket_budget.divide_sockets(3)
    assert (budget.callers, budget.servers) == (1, 1)
