"""Write one structured line per decision without ever blocking.

Lines are ``key=value`` pairs that begin with the steady time and the
event's name.  They are collected and written by a timer, so a reader that
is slow costs lines and never a request; lines left out are counted.
"""

import asyncio
from collections.abc import Callable
import os
import time

# Some six lines a request at 100 requests a second, the most that a router
# of one core serves.
MAX_LINES_PER_S = 600
# A reader that stands still for longer loses lines.
MAX_PENDING_BYTES = 256 * 1024
FLUSH_INTERVAL_S = 0.2


class EventLog:
    """Collect lines and write them to a descriptor that never blocks."""

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
        """Add a line unless the bound a second or in bytes is reached."""
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
            if self.dropped_lines:
                count, self.dropped_lines = self.dropped_lines, 0
                self._add(self.clock(), 'lines-left-out', {'count': count})
            self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes at once, keep the rest."""
        if not self.pending:
            return
        data = b''.join(self.pending)
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            # Nothing is lost: the lines stay pending, up to the bound.
            written = 0
        except OSError:
            # Nobody reads the log any more; it can't be told anywhere.
            written = len(data)
        rest = data[written:]
        self.pending = [rest] if rest else []
        self.pending_bytes = len(rest)

    def _add(self, now: float, event: str, fields: dict) -> None:
        """Format one line."""
        parts = [f't={now:.3f} event={event}']
        for key, value in fields.items():
            parts.append(f'{key}={_format_value(value)}')
        line = (' '.join(parts) + '\n').encode('utf-8', 'replace')
        self.pending.append(line)
        self.pending_bytes += len(line)

    def _refill(self, now: float) -> None:
        """Grant the lines of the time that has passed."""
        elapsed_s = now - self.refilled_at
        self.refilled_at = now
        self.tokens = min(
            MAX_LINES_PER_S, self.tokens + elapsed_s * MAX_LINES_PER_S
        )


def _format_value(value: object) -> str:
    """Return a value as one word, quoted where it has several."""
    if isinstance(value, float):
        return f'{value:.3f}'.rstrip('0').rstrip('.')
    text = str(value)
    if text and not any(character in text for character in ' "\n\r='):
        return text
    escaped = text.replace('"', "'").replace('\n', ' ').replace('\r', ' ')
    return f'"{escaped}"'
