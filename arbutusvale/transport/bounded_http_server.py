"""HTTP server that bounds its connections and what it holds for them.

Load pattern: clients that open many connections, send most of a request and
leave it there.  A connection costs memory and a descriptor from its start, a
request costs more with each header and piece of its body, and none of them
may ever end.
"""

from collections.abc import Callable
import dataclasses
import time

from absl import logging
from tornado import httpserver
from tornado import iostream

from arbutusvale.state import byte_budget

MAX_HEADER_BYTES = 16 * 1024
READ_CHUNK_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 300.0
# Objects of a connection, and its unparsed bytes: a head, and one more read.
CONNECTION_COST_BYTES = MAX_HEADER_BYTES + 2 * READ_CHUNK_BYTES
# Objects of one header or argument of a request, without their text.
ITEM_COST_BYTES = 512
# Share of the budget that is free after incomplete requests were refused, so
# that not every further piece searches for one.
_FREED_SHARE = 1 / 16
_LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(eq=False, slots=True)
class HeldConnection:
    """What a server holds for one connection.

    ``refuse`` ends the incomplete request with an error response; None while
    there is none to answer.  A connection that ``serves`` a whole request is
    not closed to free memory.  Sizes are in bytes, ``waiting_since`` is in
    seconds of the monotonic clock.
    """

    stream: iostream.IOStream
    waiting_since: float
    held_bytes: int = CONNECTION_COST_BYTES
    serves: bool = False
    refuse: Callable[[], None] | None = None


class ConnectionTable:
    """The connections of one server, counted in a budget of bytes.

    When the budget or the number of connections is spent, the incomplete
    requests and idle connections that hold most bytes for longest give way.
    """

    def __init__(
        self,
        budget: byte_budget.ByteBudget,
        max_connections: int,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.budget = budget
        self.max_connections = max_connections
        self.clock = clock
        self.held: dict[iostream.IOStream, HeldConnection] = {}
        self.logged_at = -_LOG_INTERVAL_S

    def open(self, stream: iostream.IOStream) -> bool:
        """Count a new connection; False if there is no room for it."""
        if len(self.held) >= self.max_connections:
            self._evict(len(self.held) // 16 + 1, 0)
        if len(self.held) >= self.max_connections:
            return False
        if not self._make_room(CONNECTION_COST_BYTES):
            return False
        self.held[stream] = HeldConnection(stream, self.clock())
        self.budget.change(CONNECTION_COST_BYTES)
        return True

    def close(self, stream: iostream.IOStream) -> None:
        """Release all that is held for a connection that has ended."""
        connection = self.held.pop(stream, None)
        if connection is not None:
            self.budget.change(-connection.held_bytes)

    def begin_request(
        self, stream: iostream.IOStream, refuse: Callable[[], None]
    ) -> None:
        """Record that a request has begun to arrive."""
        connection = self.held.get(stream)
        if connection is not None:
            connection.waiting_since = self.clock()
            connection.refuse = refuse

    def hold(self, stream: iostream.IOStream, size: int) -> bool:
        """Count ``size`` more bytes; False if there is no room for them.

        Incomplete requests of other connections are refused to make room,
        and this one if it is among those that hold most for longest.
        """
        connection = self.held.get(stream)
        if connection is None or not self._make_room(size):
            return False
        if stream not in self.held or self.held[stream].refuse is None:
            return False
        connection.held_bytes += size
        self.budget.change(size)
        return True

    def serve(self, stream: iostream.IOStream) -> int:
        """Record that a request is whole and is being served.

        Returns the bytes that are held for it.  The caller of this method
        releases them from the budget, as the request may run on after its
        connection has ended.
        """
        connection = self.held.get(stream)
        if connection is None:
            return 0
        connection.serves = True
        connection.refuse = None
        request_bytes = connection.held_bytes - CONNECTION_COST_BYTES
        connection.held_bytes = CONNECTION_COST_BYTES
        return request_bytes

    def end_request(self, stream: iostream.IOStream) -> None:
        """Release what was held for a request that has been answered."""
        connection = self.held.get(stream)
        if connection is None:
            return
        self.budget.change(CONNECTION_COST_BYTES - connection.held_bytes)
        connection.held_bytes = CONNECTION_COST_BYTES
        connection.serves = False
        connection.refuse = None
        connection.waiting_since = self.clock()

    def _make_room(self, size: int) -> bool:
        """Free memory for ``size`` bytes; return whether there is room."""
        if not self.budget.has_room(size):
            freed = int(self.budget.limit_bytes * _FREED_SHARE)
            self._evict(0, size + freed)
        return self.budget.has_room(size)

    def _evict(self, count: int, size: int) -> None:
        """Close at least ``count`` waiting connections and free ``size``."""
        now = self.clock()
        waiting = [item for item in self.held.values() if not item.serves]
        waiting.sort(
            key=lambda item: item.held_bytes * (now - item.waiting_since),
            reverse=True,
        )
        self._log_spent(now)
        for connection in waiting:
            if count <= 0 and self.budget.has_room(size):
                break
            count -= 1
            self.close(connection.stream)
            if connection.refuse is not None:
                connection.refuse()
            else:
                connection.stream.close()

    def _log_spent(self, now: float) -> None:
        """Log that waiting connections give way, at most once a second."""
        if now - self.logged_at < _LOG_INTERVAL_S:
            return
        self.logged_at = now
        logging.warning(
            'event=connections-closed open=%d held=%d limit=%d',
            len(self.held),
            self.budget.held_bytes,
            self.budget.limit_bytes,
        )


class BoundedHttpServer(httpserver.HTTPServer):
    """HTTP server whose connections are counted in a table."""

    def initialize(
        self, request_callback, *, table: ConnectionTable, max_body_size: int
    ) -> None:
        """Set the limits of every connection."""
        self.table = table
        super().initialize(
            request_callback,
            chunk_size=READ_CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
            max_body_size=max_body_size,
        )

    def handle_stream(self, stream: iostream.IOStream, address) -> None:
        """Serve a connection, or close it if there is no room."""
        if not self.table.open(stream):
            stream.close()
            return
        super().handle_stream(stream, address)

    def on_close(self, server_conn) -> None:
        """Release what was held for a connection."""
        self.table.close(server_conn.stream)
        super().on_close(server_conn)
