"""Limits on connections from callers and to backend servers.

Load pattern: more connections than a VM has sockets for, as from callers
that open a new connection for each request while responses are slow.
Without a limit the system refuses sockets to both sides, and requests that
were accepted can't be forwarded.
"""

import dataclasses

# For listening sockets, the store, peers' HTTP requests and readiness checks.
RESERVED_SOCKETS = 32
# A request needs a socket on both sides.  Servers get slightly more, as a
# suspected crash is checked by a new connection while requests still run.
CALLER_SHARE = 0.47


@dataclasses.dataclass(frozen=True, slots=True)
class SocketBudget:
    """The maximum number of connections from callers and to servers."""

    callers: int
    servers: int


def divide_sockets(sockets: int) -> SocketBudget:
    """Divide the sockets that a process may open."""
    available = max(2, sockets - RESERVED_SOCKETS)
    callers = max(1, int(available * CALLER_SHARE))
    return SocketBudget(callers, available - callers)
