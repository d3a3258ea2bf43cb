"""Share a VM's sockets between callers and backend servers.

Load pattern answered: more connections than a VM has sockets for, as from
callers that come anew each time while answers are slow.  Without a bound
the system refuses sockets to both sides, and what was accepted can't be
passed on.
"""

import dataclasses

# Listening sockets, the store, peers' pages and readiness checks.
RESERVED_SOCKETS = 32
# A request needs a socket on both sides; servers get a little more, as a
# connection to a crashed server is checked while its requests still run.
CALLER_SHARE = 0.47


@dataclasses.dataclass(frozen=True, slots=True)
class SocketBudget:
    """Bound the connections of callers and those to servers."""

    callers: int
    servers: int


def divide_sockets(sockets: int) -> SocketBudget:
    """Divide the sockets that a process may hold open."""
    available = max(2, sockets - RESERVED_SOCKETS)
    callers = max(1, int(available * CALLER_SHARE))
    return SocketBudget(callers, available - callers)
