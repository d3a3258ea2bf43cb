"""HTTP server that bounds its connections and what it holds for them.

Load pattern: clients that open many connections, send most of a request and
leave it there.  A connection costs memory and a descriptor from its start, a
request costs more with each header and piece of its body, and none of them
may ever end.  Bodies in tiny chunks cost far more processor time than others.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

from absl import logging
from tornado import httpserver
from tornado import iostream

from arbutusvale.state import byte_budget
from arbutusvale.transport import work_turns

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
# Chunks of a body that a connection parses in one step, and the steps of all
# connections in one turn of the event loop.
CHUNKS_PER_STEP = 64
MAX_STEPS = 2


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


class FairStream(iostream.IOStream):
    """Stream that parses chunked bodies in the turns of its server.

    Tornado calls ``read_until`` once for each chunk of a body, and for
    nothing else; it pauses a body only after some hundred chunks.
    """

    def __init__(self, socket, *, turns: work_turns.WorkTurns, **options):
        super().__init__(socket, **options)
        self.turns = turns
        self.chunks_left = CHUNKS_PER_STEP

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read the head of a chunk, in a later turn if this one is spent."""
        if not self.chunks_left and not self._take_step():
            return self._read_in_turn(delimiter, max_bytes)
        self.chunks_left -= 1
        return super().read_until(delimiter, max_bytes)

    def _take_step(self) -> bool:
        """Return whether this turn allows another step."""
        if not self.turns.take_step():
            return False
        self.chunks_left = CHUNKS_PER_STEP
        return True

    async def _read_in_turn(
        self, delimiter: bytes, max_bytes: int | None
    ) -> bytes:
        """Wait for a step, then read the head of a chunk."""
        granted = asyncio.Event()

        def begin_step() -> None:
            self._take_step()
            granted.set()

        self.turns.defer(begin_step)
        await granted.wait()
        self.chunks_left -= 1
        return await super().read_until(delimiter, max_bytes)


class BoundedHttpServer(httpserver.HTTPServer):
    """HTTP server whose connections are counted in a table."""

    def initialize(
        self, request_callback, *, table: ConnectionTable, max_body_size: int
    ) -> None:
        """Set the limits of every connection."""
        self.table = table
        self.turns = work_turns.WorkTurns(MAX_STEPS)
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
        fair_stream = FairStream(
            stream.socket,
            turns=self.turns,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=self.read_chunk_size,
        )
        if not self.table.open(fair_stream):
            fair_stream.close()
            return
        super().handle_stream(fair_stream, address)

    def on_close(self, server_conn) -> None:
        """Release what was held for a connection."""
        self.table.close(server_conn.stream)
        super().on_close(server_conn)
