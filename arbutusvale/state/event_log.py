"""A structured event log that never blocks a request.

Lines are ``key=value`` pairs that begin with the monotonic time and the
event's name.  They are buffered and written by a timer, so with a slow
reader lines are dropped and counted, and requests aren't delayed.
"""

import asyncio
from collections.abc import Callable
import os
import time

# About six lines per request at 100 requests a second, the most that a
# router on one core serves.
MAX_LINES_PER_S = 600
# Beyond this, lines are dropped until the reader catches up.
MAX_PENDING_BYTES = 256 * 1024
FLUSH_INTERVAL_S = 0.2
DRAIN_INTERVAL_S = 0.005


class EventLog:
    """A buffer of lines, flushed to a non-blocking file descriptor.

    A token bucket limits the lines per second.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.descriptor = descriptor
        self.clock = clock
        self.pending: list[bytes] = []
        self.pending_bytes = 0
        self.dropped_lines = 0
        self.tokens = float(MAX_LINES_PER_S)
        self.refilled_at = clock()
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        """Add a line, or drop it if the rate or the buffer is exceeded."""
        now = self.clock()
        self._refill(now)
        if self.tokens < 1 or self.pending_bytes > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return
        self.tokens -= 1
        self._add(now, event, fields)

    async def run(self) -> None:
        """Flush until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush_all()

    async def drain(self, timeout_s: float) -> None:
        """Write all lines, or what the reader takes in ``timeout_s``."""
        ends_at = time.monotonic() + timeout_s
        self.flush_all()
        while self.pending and time.monotonic() < ends_at:
            await asyncio.sleep(DRAIN_INTERVAL_S)
            self.flush()

    def flush_all(self) -> None:
        """Flush, and tell how many lines were dropped."""
        if self.dropped_lines:
            count, self.dropped_lines = self.dropped_lines, 0
            self._add(self.clock(), 'lines-left-out', {'count': count})
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor accepts at once; keep the rest."""
        if not self.pending:
            return
        data = b''.join(self.pending)
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            # The lines stay pending, up to the buffer's limit.
            written = 0
        except OSError:
            # The log's reader is gone, and there is nowhere else to report it.
            written = len(data)
        unwritten = data[written:]
        self.pending = [unwritten] if unwritten else []
        self.pending_bytes = len(unwritten)

    def _add(self, now: float, event: str, fields: dict) -> None:
        """Format a line and add it to the buffer."""
        parts = [f't={now:.3f} event={event}']
        for key, value in fields.items():
            parts.append(f'{key}={_format_value(value)}')
        line = (' '.join(parts) + '\n').encode('utf-8', 'replace')
        self.pending.append(line)
        self.pending_bytes += len(line)

    def _refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        elapsed_s = now - self.refilled_at
        self.refilled_at = now
        self.tokens = min(
            MAX_LINES_PER_S, self.tokens + elapsed_s * MAX_LINES_PER_S
        )


def _format_value(value: object) -> str:
    """Format a value; quote it if it is empty or has special characters."""
    if isinstance(value, float):
        return f'{value:.3f}'.rstrip('0').rstrip('.')
    text = str(value)
    if text and not any(character in text for character in ' "\n\r='):
        return text
    escaped = text.replace('"', "'").replace('\n', ' ').replace('\r', ' ')
    return f'"{escaped}"'
