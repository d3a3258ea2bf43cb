"""Accept connections while there is room for them.

The event loop's own server goes on accepting when the process has no
descriptor left; each failure is a traceback in the log, and all waiting
connections stand still for a second.
"""

import asyncio
from collections.abc import Callable
import socket

# Connections accepted at a time, so that requests go on beside a burst.
BATCH = 64
# When the system refuses a descriptor although the budget has room.
RETRY_S = 0.1
# While there is no room, pauses follow each other by the millisecond.
NOTE_S = 1.0


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
        note: Callable[..., None],
    ):
        self.make_protocol = make_protocol
        self.has_capacity = has_capacity
        self.note = note
        self.listening: socket.socket | None = None
        self.paused = False
        self.noted_at = -NOTE_S
        self.opening: set[asyncio.Task] = set()

    def listen(self, host: str, port: int, backlog: int) -> None:
        """Open the listening socket; raises OSError."""
        self.listening = socket.create_server(
            (host, port), backlog=backlog, reuse_port=False
        )
        self.listening.setblocking(False)
        self._watch()

    def resume(self) -> None:
        """Go on accepting, as there may be room again."""
        if self.paused and self.listening is not None:
            self.paused = False
            self._watch()

    def close(self) -> None:
        """Stop listening."""
        if self.listening is not None:
            self._pause()
            self.listening.close()
            self.listening = None

    def _watch(self) -> None:
        """Have the event loop call when a connection waits."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self.listening.fileno(), self._accept)

    def _pause(self) -> None:
        """Leave further connections waiting in the system."""
        self.paused = True
        asyncio.get_running_loop().remove_reader(self.listening.fileno())

    def _accept(self) -> None:
        """Accept what waits, a batch at most."""
        for _ in range(BATCH):
            if not self.has_capacity(len(self.opening)):
                self._pause()
                self._note_pause('budget')
                return
            try:
                connection, _ = self.listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause()
                self._note_pause(type(error).__name__)
                asyncio.get_running_loop().call_later(RETRY_S, self.resume)
                return
            self._open(connection)

    def _note_pause(self, cause: str) -> None:
        """Log a pause, not each of many in a row."""
        now = asyncio.get_running_loop().time()
        if now - self.noted_at >= NOTE_S:
            self.noted_at = now
            self.note('accept-paused', cause=cause, opening=len(self.opening))

    def _open(self, connection: socket.socket) -> None:
        """Hand a connection to a protocol of its own."""
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(self.make_protocol, connection)
        )
        self.opening.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task) -> None:
        """Note a connection that ended before it was open."""
        self.opening.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.note('accept-failed', cause=repr(task.exception()))
        # What is open may give way, what is just opening can't.
        self.resume()
