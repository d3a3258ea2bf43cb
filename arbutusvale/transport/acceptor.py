"""Accept connections while there is room for them.

The event loop's own server goes on accepting when the process has no
descriptor left; each failure is a traceback in the log, and all waiting
connections stand still for a second.
"""

import asyncio
from collections.abc import Callable
import socket

# Connections accepted at a time, so that requests go on beside a burst.
MAX_ACCEPTS_PER_WAKEUP = 64
# When the system refuses a descriptor although the budget has room.
RETRY_INTERVAL_S = 0.1
# While there is no room, pauses follow each other by the millisecond.
LOG_INTERVAL_S = 1.0


class Acceptor:
    """Accept connections at one address.

    ``has_capacity`` is asked before each connection, with the number of
    those that are just being opened; after a refusal nothing is accepted
    until ``resume`` is called.
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
        """Go on accepting, as there may be room again."""
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
        """Have the event loop call when a connection waits."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.listener.fileno(), self._accept)

    def _pause(self) -> None:
        """Leave further connections waiting in the system."""
        self.paused = True
        asyncio.get_running_loop().remove_reader(self.listener.fileno())

    def _accept(self) -> None:
        """Accept what waits, a batch at most."""
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
        """Log a pause, not each of many in a row."""
        now = asyncio.get_running_loop().time()
        if now - self.last_logged_at >= LOG_INTERVAL_S:
            self.last_logged_at = now
            self.write_event(
                'accept-paused', cause=cause, opening=len(self.opening)
            )

    def _start_protocol(self, connection: socket.socket) -> None:
        """Hand a connection to a protocol of its own."""
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(self.make_protocol, connection)
        )
        self.opening.add(task)
        task.add_done_callback(self._on_protocol_started)

    def _on_protocol_started(self, task: asyncio.Task) -> None:
        """Note a connection that ended before it was open."""
        self.opening.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.write_event('accept-failed', cause=repr(task.exception()))
        # What is open may give way, what is just opening can't.
        self.resume()
