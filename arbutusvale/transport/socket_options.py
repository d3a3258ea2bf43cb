"""TCP options that make dead connections fail instead of hanging."""

import asyncio
import dataclasses
import fcntl
import socket
import struct
import termios


@dataclasses.dataclass(frozen=True, slots=True)
class KeepaliveOptions:
    """TCP keepalive parameters; times are in seconds.

    An idle connection is probed after ``idle_s`` and ends after ``probes``
    lost probes, ``interval_s`` apart.  ``user_timeout_s`` limits the time
    that sent data may stay unacknowledged; None is the system's default.
    """

    idle_s: int
    interval_s: int
    probes: int
    user_timeout_s: float | None


# Detects an unresponsive server or store in about 3 s, the contact_s of the
# known deployments.  A single lost probe doesn't end a connection, as networks
# lose packets.
SERVER_KEEPALIVE = KeepaliveOptions(1, 1, 2, 2.0)
# No user timeout, as Linux counts data held back by a zero window as
# unacknowledged, and a caller may read slowly without being gone.
CALLER_KEEPALIVE = KeepaliveOptions(5, 2, 3, None)


_LINGER_ON = 1
_LINGER_S = 0


def reset_on_close(raw_socket: socket.socket) -> None:
    """Make the close of a connection a reset, and discard unsent data."""
    raw_socket.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        struct.pack('ii', _LINGER_ON, _LINGER_S),
    )


def count_untaken(raw_socket: socket.socket) -> int:
    """Return how many sent bytes the peer hasn't acknowledged.

    It is 0 where the system doesn't tell.
    """
    try:
        data = fcntl.ioctl(raw_socket.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return struct.unpack('i', data)[0]


def apply(
    transport: asyncio.BaseTransport, keepalive: KeepaliveOptions
) -> None:
    """Set keepalive, the user timeout and TCP_NODELAY on a socket."""
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
