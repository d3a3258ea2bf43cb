"""Count of the bytes that a router holds for callers and servers."""

from collections.abc import Callable
import sys


class ByteBudget:
    """Bytes in memory at a time, of at most ``limit_bytes``.

    ``on_added`` is called after each addition that leaves more than
    ``calm_bytes``; up to there, nothing needs to be limited.
    """

    def __init__(
        self, limit_bytes: int = sys.maxsize, calm_bytes: int = sys.maxsize
    ):
        self.limit_bytes = limit_bytes
        self.calm_bytes = calm_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.on_added: Callable[[], None] = _ignore_addition

    def change(self, difference: int) -> None:
        """Count bytes that are added, or released if negative."""
        self.held_bytes += difference
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes
        if difference > 0 and self.held_bytes > self.calm_bytes:
            self.on_added()

    def has_room(self, size: int) -> bool:
        """Return whether ``size`` more bytes are within the limit."""
        return self.held_bytes + size <= self.limit_bytes


def _ignore_addition() -> None:
    """Default of ``on_added``."""
