"""Keep connections to backend servers open between requests."""

import asyncio
from collections.abc import Callable
import time

from arbutusvale.protocol import proxying
from arbutusvale.transport import http_connection

# Servers name whole seconds, or nothing below one; a connection is used
# again only while its server surely holds it open still.
UNNAMED_IDLE_S = 0.4
IDLE_SHARE = 0.8
# A request that must not repeat is lost if its connection turns out closed.
FRESH_SHARE = 0.3


class ConnectionPool:
    """Open, lend and keep connections, by server incarnation.

    ``count_sent`` is told how many bytes are written; ``limit_idle`` returns
    how many idle connections to one server of a pool are kept.  At most
    ``most_open`` are open, idle ones included.
    """

    def __init__(
        self,
        count_sent: Callable[[int], None],
        limit_idle: Callable[[str], int],
        most_open: int,
    ):
        self.most_open = most_open
        self.open = 0
        self.limit_idle = limit_idle
        self.count_sent = count_sent
        self.idle: dict[str, list[http_connection.HttpConnection]] = {}
        self.opened_count = 0

    async def acquire(
        self, server: proxying.BackendServer, fresh: bool, timeout_s: float
    ) -> http_connection.HttpConnection:
        """Return a free connection; raise ServerFailed, nothing sent."""
        kept = self._take(server.id, fresh)
        if kept is not None:
            return kept
        if self.open >= self.most_open:
            self._close_longest_idle()
        host, port = server.endpoint
        self.opened_count += 1
        link = await http_connection.open_connection(host, port, timeout_s)
        self.open += 1
        link.on_close = self._note_closed
        link.count_sent = self.count_sent
        return link

    def release(
        self,
        server: proxying.BackendServer,
        link: http_connection.HttpConnection,
        keep_alive_s: float | None,
    ) -> None:
        """Keep a connection whose answer was complete, if it may be."""
        if not link.release():
            return
        named = keep_alive_s if keep_alive_s else UNNAMED_IDLE_S / IDLE_SHARE
        link.idle_limit_s = named
        kept = self.idle.setdefault(server.id, [])
        if len(kept) >= self.limit_idle(server.pool):
            kept.pop(0).abort()
        kept.append(link)

    def prune(self) -> None:
        """Close connections that idled too long or lost their server."""
        now = time.monotonic()
        for server_id in list(self.idle):
            kept = self.idle[server_id]
            live = [one for one in kept if _is_usable(one, now, IDLE_SHARE)]
            for one in kept:
                if one not in live:
                    one.abort()
            if live:
                self.idle[server_id] = live
            else:
                del self.idle[server_id]

    def close_idle(self) -> None:
        """Close all idle connections, as their servers may have done."""
        for kept in self.idle.values():
            for one in kept:
                one.abort()
        self.idle.clear()

    def _note_closed(self) -> None:
        """Count a connection that ended."""
        self.open -= 1

    def _close_longest_idle(self) -> None:
        """Close the connection that has idled longest, of any server."""
        queues = [kept for kept in self.idle.values() if kept]
        if queues:
            oldest = min(queues, key=lambda kept: kept[0].idle_since)
            oldest.pop(0).abort()

    async def run(self) -> None:
        """Prune until cancelled."""
        while True:
            await asyncio.sleep(UNNAMED_IDLE_S)
            self.prune()

    def _take(
        self, server_id: str, fresh: bool
    ) -> http_connection.HttpConnection | None:
        """Return the connection that idled for the shortest time."""
        kept = self.idle.get(server_id)
        share = FRESH_SHARE if fresh else IDLE_SHARE
        now = time.monotonic()
        while kept:
            one = kept.pop()
            if _is_usable(one, now, share):
                return one
            if not fresh:
                one.abort()
                continue
            kept.append(one)
            return None
        return None


def _is_usable(
    link: http_connection.HttpConnection, now: float, share: float
) -> bool:
    """Tell whether the server surely holds a connection open still."""
    if link.closed or not link.reusable:
        return False
    return now - link.idle_since < share * link.idle_limit_s
