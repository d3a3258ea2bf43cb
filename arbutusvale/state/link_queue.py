"""A model of the queue of bytes at this VM's network link.

Load pattern: a VM with a slow link that gets more traffic than the link can
carry.  Sockets accept the bytes at once and the queue behind them is
invisible, so requests reach servers long after their callers have left.
"""

from collections.abc import Callable

_BITS_PER_BYTE = 8
# Packet headers add about 6% to the bytes that are written.
_HEADER_OVERHEAD = 1.06


class LinkQueue:
    """A leaky bucket: filled by writes, drained at the link's rate.

    ``bytes_per_s`` is that rate; 0 means no limit.
    """

    def __init__(self, mbit_per_s: float, clock: Callable[[], float]):
        self.bytes_per_s = mbit_per_s * 1e6 / _BITS_PER_BYTE
        self.clock = clock
        self.queued_bytes = 0.0
        self.updated_at = clock()

    def add_bytes(self, count: int) -> None:
        """Add bytes that are written to any connection."""
        self._drain()
        self.queued_bytes += count * _HEADER_OVERHEAD

    def queueing_delay_s(self) -> float:
        """Return the expected wait of a byte written now, in seconds."""
        if self.bytes_per_s <= 0:
            return 0.0
        self._drain()
        return self.queued_bytes / self.bytes_per_s

    def _drain(self) -> None:
        """Remove the bytes that the link has carried since the last update."""
        now = self.clock()
        self.queued_bytes = max(
            0.0, self.queued_bytes - (now - self.updated_at) * self.bytes_per_s
        )
        self.updated_at = now
