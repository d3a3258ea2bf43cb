"""Model how long bytes wait at this VM's own link.

Load pattern answered: a VM with a thin link that gets more than it can
carry.  Its sockets take the bytes at once and the queue behind them is not
seen, so requests reach servers long after their callers have left.
"""

from collections.abc import Callable

_BITS_PER_BYTE = 8
# Headers of packets take about this share beside what is written.
_HEADER_OVERHEAD = 1.06


class LinkQueue:
    """Add up what is written and take off what the link carries.

    ``bytes_per_s`` is the link's rate; 0 stands for no limit.
    """

    def __init__(self, mbit_per_s: float, clock: Callable[[], float]):
        self.bytes_per_s = mbit_per_s * 1e6 / _BITS_PER_BYTE
        self.clock = clock
        self.queued_bytes = 0.0
        self.updated_at = clock()

    def add_bytes(self, count: int) -> None:
        """Count bytes that are written to any connection."""
        self._drain()
        self.queued_bytes += count * _HEADER_OVERHEAD

    def queueing_delay_s(self) -> float:
        """Return how long a byte written now probably waits."""
        if self.bytes_per_s <= 0:
            return 0.0
        self._drain()
        return self.queued_bytes / self.bytes_per_s

    def _drain(self) -> None:
        """Take off what the link has carried since the last look."""
        now = self.clock()
        self.queued_bytes = max(
            0.0, self.queued_bytes - (now - self.updated_at) * self.bytes_per_s
        )
        self.updated_at = now
