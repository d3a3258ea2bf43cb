"""A listening socket that stops accepting at the connection limit.

asyncio's own server goes on accepting when the process has no descriptor
left: each failure logs a traceback, and no connection is accepted for the
next second.
"""

import asyncio
from collections.abc import Callable
import socket

# Other tasks run between batches, so a burst doesn't stall them.
MAX_ACCEPTS_PER_WAKEUP = 64
# Delay after accept() failed, as when the system is out of descriptors.
RETRY_INTERVAL_S = 0.1
# At the connection limit, accepting can pause every millisecond.
LOG_INTERVAL_S = 1.0


class Acceptor:
    """A listening socket with admission control for its connections.

    ``has_capacity`` is called before each accept with the number of
    connections whose protocol isn't started yet.  If it returns False,
    accepting pauses until ``resume`` is called.
    """

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        has_capacity: Callable[[int], bool],
        write_event: Callable[..., None],
    ):
        self.make_protocol = make_protocol
        self.has_capacity = has_capacity
        self.write_event = write_event
        self.listener: socket.socket | None = None
        self.paused = False
        self.last_logged_at = -LOG_INTERVAL_S
        self.opening: set[asyncio.Task] = set()

    def listen(self, host: str, port: int, backlog: int) -> None:
        """Open the listening socket; raises OSError."""
        self.listener = socket.create_server(
            (host, port), backlog=backlog, reuse_port=False
        )
        self.listener.setblocking(False)
        self._start_accepting()

    def resume(self) -> None:
        """Accept connections again after a pause."""
        if self.paused and self.listener is not None:
            self.paused = False
            self._start_accepting()

    def close(self) -> None:
        """Stop listening."""
        if self.listener is not None:
            self._pause()
            self.listener.close()
            self.listener = None

    def _start_accepting(self) -> None:
        """Have the event loop call ``_accept`` for new connections."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.listener.fileno(), self._accept)

    def _pause(self) -> None:
        """Leave further connections in the listen backlog."""
        self.paused = True
        asyncio.get_running_loop().remove_reader(self.listener.fileno())

    def _accept(self) -> None:
        """Accept pending connections, one batch at most."""
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            if not self.has_capacity(len(self.opening)):
                self._pause()
                self._log_pause('budget')
                return
            try:
                connection, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause()
                self._log_pause(type(error).__name__)
                asyncio.get_running_loop().call_later(
                    RETRY_INTERVAL_S, self.resume
                )
                return
            self._start_protocol(connection)

    def _log_pause(self, cause: str) -> None:
        """Log a pause, at most once in ``LOG_INTERVAL_S``."""
        now = asyncio.get_running_loop().time()
        if now - self.last_logged_at >= LOG_INTERVAL_S:
            self.last_logged_at = now
            self.write_event(
                'accept-paused', cause=cause, opening=len(self.opening)
            )

    def _start_protocol(self, connection: socket.socket) -> None:
        """Create the protocol of an accepted connection."""
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(self.make_protocol, connection)
        )
        self.opening.add(task)
        task.add_done_callback(self._on_protocol_started)

    def _on_protocol_started(self, task: asyncio.Task) -> None:
        """Log a failed start, and accept again."""
        self.opening.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.write_event('accept-failed', cause=repr(task.exception()))
        # Only a started connection counts as idle and can be evicted, so
        # capacity may be available now.
        self.resume()
