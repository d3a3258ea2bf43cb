"""Set the options that make dead connections fail instead of hanging."""

import asyncio
import dataclasses
import socket


@dataclasses.dataclass(frozen=True, slots=True)
class KeepaliveOptions:
    """Bound how long the other side may be silent, in seconds.

    An idle connection is probed after ``idle_s`` and ends after ``probes``
    lost probes, ``interval_s`` apart.  ``unacknowledged_s`` bounds the wait
    for acknowledgements; None leaves it to the system.
    """

    idle_s: int
    interval_s: int
    probes: int
    user_timeout_s: float | None


# Finds a silent server or store in about 3 s, the contact time of the known
# deployments; one lost probe alone ends nothing, as links lose packets.
SERVER_KEEPALIVE = KeepaliveOptions(1, 1, 2, 2.0)
# A caller may read slowly, and Linux counts a window that stays closed as
# unacknowledged; so only a caller that is gone ends its connection.
CALLER_KEEPALIVE = KeepaliveOptions(5, 2, 3, None)


def apply(
    transport: asyncio.BaseTransport, keepalive: KeepaliveOptions
) -> None:
    """Probe an idle connection and bound the wait for acknowledgements."""
    raw_socket = transport.get_extra_info('socket')
    if raw_socket is None:
        return
    options = {
        socket.TCP_NODELAY: 1,
        socket.TCP_KEEPIDLE: keepalive.idle_s,
        socket.TCP_KEEPINTVL: keepalive.interval_s,
        socket.TCP_KEEPCNT: keepalive.probes,
    }
    if keepalive.user_timeout_s is not None:
        options[socket.TCP_USER_TIMEOUT] = int(keepalive.user_timeout_s * 1000)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in options.items():
        raw_socket.setsockopt(socket.IPPROTO_TCP, option, value)
