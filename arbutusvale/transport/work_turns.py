"""Fair shares of the event loop for connections with much to parse."""

import asyncio
import collections
from collections.abc import Callable


class WorkTurns:
    """Steps of work in each turn of the event loop, ``max_steps`` at most.

    What is deferred goes on in order: who takes one step at a time and defers
    the rest waits for one step of each other one.  Between two turns the
    event loop reads sockets and runs timers and requests.
    """

    def __init__(self, max_steps: int):
        self.max_steps = max_steps
        self.steps_left = max_steps
        self.deferred: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self.turn: asyncio.Handle | None = None

    def take_step(self) -> bool:
        """Return whether to do one more step of work in this turn."""
        if not self.steps_left:
            return False
        self.steps_left -= 1
        self._schedule_turn()
        return True

    def defer(self, callback: Callable[[], None]) -> None:
        """Call back in one of the next turns."""
        self.deferred.append(callback)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        """Have the event loop begin the next turn."""
        if self.turn is None:
            self.turn = asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        """Go on with what was deferred, as far as the turn allows."""
        self.turn = None
        self.steps_left = self.max_steps
        try:
            while self.deferred and self.steps_left:
                self.deferred.popleft()()
        finally:
            if self.deferred:
                self._schedule_turn()
