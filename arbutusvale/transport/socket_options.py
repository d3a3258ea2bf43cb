"""Set the options that make dead connections fail instead of hanging."""

import asyncio
import dataclasses
import socket


@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """Bound how long the other side may be silent, in seconds.

    An idle connection is probed after ``idle_s`` and ends after ``probes``
    lost probes, ``interval_s`` apart.  ``unacknowledged_s`` bounds the wait
    for acknowledgements; None leaves it to the system.
    """

    idle_s: int
    interval_s: int
    probes: int
    unacknowledged_s: float | None


# Finds a silent server or store in about 3 s, the contact time of the known
# deployments; one lost probe alone ends nothing, as links lose packets.
SERVER_PROBING = Probing(1, 1, 2, 2.0)
# A caller may read slowly, and Linux counts a window that stays closed as
# unacknowledged; so only a caller that is gone ends its connection.
CALLER_PROBING = Probing(5, 2, 3, None)


def harden(transport: asyncio.BaseTransport, probing: Probing) -> None:
    """Probe an idle connection and bound the wait for acknowledgements."""
    raw = transport.get_extra_info('socket')
    if raw is None:
        return
    options = {
        socket.TCP_NODELAY: 1,
        socket.TCP_KEEPIDLE: probing.idle_s,
        socket.TCP_KEEPINTVL: probing.interval_s,
        socket.TCP_KEEPCNT: probing.probes,
    }
    if probing.unacknowledged_s is not None:
        options[socket.TCP_USER_TIMEOUT] = int(probing.unacknowledged_s * 1000)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in options.items():
        raw.setsockopt(socket.IPPROTO_TCP, option, value)
