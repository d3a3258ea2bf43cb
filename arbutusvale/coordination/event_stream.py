"""Splitting of an event stream into whole events, so that it can resume."""

import re
import sys

from arbutusvale.coordination import slow_reader_policy
from arbutusvale.protocol import numeric
from arbutusvale.state import byte_budget

# A line may end with CRLF, LF or CR; an empty line ends an event.
_EVENT_END = re.compile(rb'(?>\r\n|\n|\r)(?>\r\n|\n|\r)')
_LF_EVENT_END = b'\n\n'
_MAX_EVENT_END_BYTES = 4
# What an event may have with a free budget, and with a spent one.
MAX_EVENT_BYTES = 1024 * 1024
MIN_EVENT_BYTES = 64 * 1024


class EventBuffer:
    """Buffer that passes on complete events and tracks the last event id.

    A server may stop in the middle of an event.  The incomplete rest is held
    back, and dropped when another server resumes after the last complete
    event.  It counts in ``budget``; the less is free of that, the shorter an
    event may be.
    """

    def __init__(
        self,
        last_event_id: int | None,
        budget: byte_budget.ByteBudget | None = None,
    ):
        self.last_event_id = last_event_id
        self.budget = budget or byte_budget.ByteBudget()
        self.partial = bytearray()
        # What counts in the budget.
        self.counted_bytes = 0
        # An event had an id at which no stream can resume.
        self.has_malformed_id = False
        # A server answered a resumption without framing and without events.
        self.has_unconfirmed_end = False

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return bool(self.partial.strip(b'\r\n'))

    @property
    def is_unusable(self) -> bool:
        """Whether an event or its id is too long."""
        return self.has_malformed_id or len(self.partial) > max(
            MIN_EVENT_BYTES,
            slow_reader_policy.allowance_bytes(
                self.budget.limit_bytes,
                self.budget.held_bytes,
                MAX_EVENT_BYTES,
            ),
        )

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream and return the events that are complete."""
        partial = self.partial
        if not partial:
            end = _find_last_event_end(data)
            complete = data[:end]
            if end < len(data):
                partial += data[end:]
                self._count()
        else:
            # The end of an event may have begun in the bytes before.
            start = max(0, len(partial) - _MAX_EVENT_END_BYTES)
            partial += data
            end = _find_last_event_end(partial[start:])
            complete = b''
            if end:
                complete = bytes(partial[: start + end])
                self.partial = partial[start + end :]
            self._count()
        if complete:
            self._update_last_event_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Drop an incomplete event."""
        self.partial = bytearray()
        self._count()
        self.has_malformed_id = False

    def _count(self) -> None:
        """Count the memory of the incomplete event."""
        counted_bytes = sys.getsizeof(self.partial) if self.partial else 0
        self.budget.change(counted_bytes - self.counted_bytes)
        self.counted_bytes = counted_bytes

    def _update_last_event_id(self, complete: bytes) -> None:
        """Set the last event id from the last id field, if there is one."""
        if b'\r' in complete:
            complete = complete.replace(b'\r\n', b'\n').replace(b'\r', b'\n')
        start = complete.rfind(b'\nid:')
        if start >= 0:
            start += 1
        elif complete.startswith(b'id:'):
            start = 0
        else:
            return
        line = complete[start + 3 :].split(b'\n', 1)[0].strip()
        if line.isdigit():
            event_id = numeric.parse_count(line, numeric.EVENT_ID_LIMIT)
            if event_id is None:
                self.has_malformed_id = True
            else:
                self.last_event_id = event_id


def _find_last_event_end(data: bytes | bytearray) -> int:
    """Return the index after the last complete event; 0 without one."""
    if b'\r' not in data:
        start = data.rfind(_LF_EVENT_END)
        return start + len(_LF_EVENT_END) if start >= 0 else 0
    end = 0
    for match in _EVENT_END.finditer(data):
        end = match.end()
    return end
