"""Sockets are divided so that each accepted request can be passed on."""

import pytest

from arbutusvale.state import socketbudget


@pytest.mark.parametrize('sockets', [40, 100, 400, 3900, 7992])
def test_each_caller_finds_a_socket_towards_a_server(sockets):
    budget = socketbudget.divide(sockets)
    assert budget.callers <= budget.servers
    assert budget.callers + budget.servers + socketbudget.OWN_SOCKETS <= (
        sockets
    )
    assert budget.callers >= int(0.45 * (sockets - socketbudget.OWN_SOCKETS))


def test_a_tiny_limit_still_serves_one():
    budget = socketbudget.divide(3)
    assert (budget.callers, budget.servers) == (1, 1)
