"""Splitting of an event stream into whole events, so that it can resume."""

_EVENT_END = b'\n\n'
_EVENT_END_CRLF = b'\r\n\r\n'


class EventBuffer:
    """Buffer that passes on complete events and tracks the last event id.

    A server may stop in the middle of an event.  The incomplete rest is held
    back, and dropped when another server resumes after the last complete
    event.
    """

    def __init__(self, last_event_id: int | None):
        self.last_event_id = last_event_id
        self.partial = b''

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream and return the events that are complete."""
        data = self.partial + data
        end = max(
            data.rfind(_EVENT_END) + len(_EVENT_END)
            if _EVENT_END in data
            else 0,
            data.rfind(_EVENT_END_CRLF) + len(_EVENT_END_CRLF)
            if _EVENT_END_CRLF in data
            else 0,
        )
        self.partial = data[end:]
        complete = data[:end]
        if complete:
            self._update_last_event_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Drop an incomplete event."""
        self.partial = b''

    def _update_last_event_id(self, complete: bytes) -> None:
        """Set the last event id from the last id field, if there is one."""
        start = complete.rfind(b'\nid:')
        if start >= 0:
            start += 1
        elif complete.startswith(b'id:'):
            start = 0
        else:
            return
        line = complete[start + 3 :].split(b'\n', 1)[0].strip()
        if line.isdigit():
            self.last_event_id = int(line)
