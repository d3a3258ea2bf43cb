"""Counters of bytes and messages on links, by control and requests."""

import collections
import dataclasses

from arbutusvale.protocol import codec
from arbutusvale.protocol import messages

# Messages of the fleet itself; all others belong to a caller's request.
CONTROL_MESSAGES = frozenset(
    {
        messages.Challenge,
        messages.Hello,
        messages.Welcome,
        messages.Ping,
        messages.Pong,
        messages.Placed,
        messages.Locate,
        messages.Located,
        messages.PoolUpdate,
        messages.HandOver,
        messages.BundleHead,
        messages.FetchBundle,
        messages.BundleCopy,
        messages.CacheCopy,
    }
)
_ARRAY_HEADER_BYTES = 1


@dataclasses.dataclass(slots=True)
class DirectionCounters:
    """The counters of one direction.

    ``control_by_kind`` has bytes and ``by_kind`` numbers of messages, both
    by the name of the message class.
    """

    request_bytes: int = 0
    control_bytes: int = 0
    frames: int = 0
    control_by_kind: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    by_kind: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def record_frame(
        self, batch: list[messages.Message], frame_bytes: int
    ) -> None:
        """Count a frame of ``frame_bytes`` that contains ``batch``."""
        kinds = collections.Counter(map(type, batch))
        for kind, count in kinds.items():
            self.by_kind[kind.__name__] += count
        control = 0
        if not CONTROL_MESSAGES.isdisjoint(kinds):
            control = self._record_control(batch)
        self.frames += 1
        self.control_bytes += control
        self.request_bytes += frame_bytes - control

    def _record_control(self, batch: list[messages.Message]) -> int:
        """Count the control messages of a batch and return their bytes."""
        total = 0
        for message in batch:
            kind = type(message)
            if kind in CONTROL_MESSAGES:
                size = len(codec.encode_frame([message]))
                size -= _ARRAY_HEADER_BYTES
                self.control_by_kind[kind.__name__] += size
                total += size
        return total


class LinkCounters:
    """The counters of all links of a process, in both directions."""

    def __init__(self):
        self.sent = DirectionCounters()
        self.received = DirectionCounters()
