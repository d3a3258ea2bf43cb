"""Limits on connections from callers and to backend servers.

Load pattern: more connections than a VM has sockets for, as from callers
that open a new connection for each request while responses are slow.
Without a limit the system refuses sockets to both sides, and requests that
were accepted can't be forwarded.
"""

import dataclasses

# For listening sockets, the store and requests to peers.
RESERVED_SOCKETS = 32
# A request needs a socket on both sides.  Servers get slightly more, as a
# suspected crash is checked by a new connection while requests still run.
CALLER_SHARE = 0.47
# Connections to one port of small pages; peers' port gets twice as many.
PAGE_SHARE = 1 / 128
MIN_PAGE_CONNECTIONS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class SocketBudget:
    """The maximum number of connections from callers and to servers.

    ``pages`` is that of a port of small pages, ``peer_pages`` of peers' port.
    """

    callers: int
    servers: int
    pages: int = MIN_PAGE_CONNECTIONS
    peer_pages: int = MIN_PAGE_CONNECTIONS


def divide_sockets(sockets: int) -> SocketBudget:
    """Divide the sockets that a process may open."""
    available = max(2, sockets - RESERVED_SOCKETS)
    callers = max(1, int(available * CALLER_SHARE))
    pages = int(available * PAGE_SHARE)
    return SocketBudget(
        callers,
        available - callers - 4 * pages,
        max(MIN_PAGE_CONNECTIONS, pages),
        max(MIN_PAGE_CONNECTIONS, 2 * pages),
    )
