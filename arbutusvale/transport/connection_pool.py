"""Pool of persistent HTTP connections to backend servers."""

import asyncio
from collections.abc import Callable
import functools
import time

from arbutusvale.protocol import proxying
from arbutusvale.state import byte_budget
from arbutusvale.transport import http_connection

# For servers that advertise no idle timeout: a Keep-Alive header has whole
# seconds, so servers with a timeout below 1 s send none.
DEFAULT_IDLE_S = 0.4
# Connections are reused only for this share of the server's idle timeout, so
# that the server surely hasn't closed them yet.
KEEP_ALIVE_SHARE = 0.8
# For requests that can't be retried: one sent on a connection that the server
# has closed would be lost.
FRESH_KEEP_ALIVE_SHARE = 0.3


class ConnectionPool:
    """Connections by server incarnation; idle ones are in order of last use.

    ``on_bytes_sent`` is called with the number of bytes of each write;
    ``max_idle_per_server`` returns the limit for a server of the given pool.
    From ``max_open`` open connections on, idle ones included, opening one
    closes the connection that has been idle longest.
    """

    def __init__(
        self,
        on_bytes_sent: Callable[[int], None],
        max_idle_per_server: Callable[[str], int],
        max_open: int,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.clock = clock
        self.max_open = max_open
        # The times at which open connections were made, by server.
        self.opened_at: dict[
            str, dict[http_connection.HttpConnection, float]
        ] = {}
        self.open_count = 0
        self.max_idle_per_server = max_idle_per_server
        self.on_bytes_sent = on_bytes_sent
        # Counts unread responses and unsent requests.
        self.budget = byte_budget.ByteBudget()
        self.idle: dict[str, list[http_connection.HttpConnection]] = {}
        self.opened_count = 0

    async def acquire(
        self, server: proxying.BackendServer, fresh: bool, timeout_s: float
    ) -> http_connection.HttpConnection:
        """Return an idle or new connection, or raise ServerFailed."""
        idle_connection = self._pop_idle(server.id, fresh)
        if idle_connection is not None:
            return idle_connection
        return await self.open(server, timeout_s)

    async def open(
        self, server: proxying.BackendServer, timeout_s: float
    ) -> http_connection.HttpConnection:
        """Return a new connection, or raise ServerFailed."""
        if self.open_count >= self.max_open:
            self._close_longest_idle()
        host, port = server.endpoint
        self.opened_count += 1
        connection = await http_connection.open_connection(
            host, port, timeout_s
        )
        self.open_count += 1
        self.opened_at.setdefault(server.id, {})[connection] = self.clock()
        connection.on_close = functools.partial(
            self._record_closed, server.id, connection
        )
        connection.on_bytes_sent = self.on_bytes_sent
        connection.budget = self.budget
        return connection

    def has_open_since(
        self, server: proxying.BackendServer, opened_by: float
    ) -> bool:
        """Return whether a connection is open that was made by then.

        Such a one shows that the server hasn't stopped since.
        """
        return any(
            opened_at <= opened_by and not connection.closing
            for connection, opened_at in self.opened_at.get(
                server.id, {}
            ).items()
        )

    def release(
        self,
        server: proxying.BackendServer,
        connection: http_connection.HttpConnection,
        keep_alive_s: float | None,
    ) -> None:
        """Make a connection idle after a complete response, if reusable."""
        if not connection.release():
            return
        server_timeout_s = (
            keep_alive_s if keep_alive_s else DEFAULT_IDLE_S / KEEP_ALIVE_SHARE
        )
        connection.idle_limit_s = server_timeout_s
        idle_connections = self.idle.setdefault(server.id, [])
        if len(idle_connections) >= self.max_idle_per_server(server.pool):
            idle_connections.pop(0).abort()
        idle_connections.append(connection)

    def prune(self) -> None:
        """Close and remove idle connections that can't be reused."""
        now = time.monotonic()
        for server_id in list(self.idle):
            idle_connections = self.idle[server_id]
            usable = [
                connection
                for connection in idle_connections
                if _is_usable(connection, now, KEEP_ALIVE_SHARE)
            ]
            for connection in idle_connections:
                if connection not in usable:
                    connection.abort()
            if usable:
                self.idle[server_id] = usable
            else:
                del self.idle[server_id]

    def close_idle(self) -> None:
        """Close all idle connections, as servers may have closed them."""
        for idle_connections in self.idle.values():
            for connection in idle_connections:
                connection.abort()
        self.idle.clear()

    def _record_closed(
        self, server_id: str, connection: http_connection.HttpConnection
    ) -> None:
        """Forget a closed connection."""
        self.open_count -= 1
        opened_at = self.opened_at[server_id]
        del opened_at[connection]
        if not opened_at:
            del self.opened_at[server_id]

    def _close_longest_idle(self) -> None:
        """Close the connection that has been idle longest, of any server."""
        idle_lists = [
            idle_connections
            for idle_connections in self.idle.values()
            if idle_connections
        ]
        if idle_lists:
            oldest = min(
                idle_lists,
                key=lambda idle_connections: idle_connections[0].idle_since,
            )
            oldest.pop(0).abort()

    async def run(self) -> None:
        """Prune periodically until cancelled."""
        while True:
            await asyncio.sleep(DEFAULT_IDLE_S)
            self.prune()

    def _pop_idle(
        self, server_id: str, fresh: bool
    ) -> http_connection.HttpConnection | None:
        """Return the usable connection that was idle for the shortest time."""
        idle_connections = self.idle.get(server_id)
        share = FRESH_KEEP_ALIVE_SHARE if fresh else KEEP_ALIVE_SHARE
        now = time.monotonic()
        while idle_connections:
            connection = idle_connections.pop()
            if _is_usable(connection, now, share):
                return connection
            if not fresh:
                connection.abort()
                continue
            idle_connections.append(connection)
            return None
        return None


def _is_usable(
    connection: http_connection.HttpConnection, now: float, share: float
) -> bool:
    """Return whether the server surely hasn't closed the connection."""
    if connection.closed or not connection.reusable:
        return False
    return now - connection.idle_since < share * connection.idle_limit_s
