"""Set the options that make dead connections fail instead of hanging."""

import asyncio
import socket

# Two lost probes a second apart find a silent connection within the contact
# time of every known deployment (3 s and more).
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 1
_UNACKNOWLEDGED_MS = 2000


def harden(transport: asyncio.BaseTransport) -> None:
    """Probe an idle connection and bound the wait for acknowledgements."""
    raw = transport.get_extra_info('socket')
    if raw is None:
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S
    )
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
    )
