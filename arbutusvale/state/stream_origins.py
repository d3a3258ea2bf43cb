"""Origins of the streams that callers may resume."""

from collections.abc import Callable
import sys

from arbutusvale.protocol import stream_origin
from arbutusvale.state import bounded_map

# Longer than any stream and its caller's next attempts.
RETENTION_S = 60.0
MAX_ORIGINS = 8192


class StreamOrigins:
    """Origins by attempt id, in order of arrival; old ones are dropped."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        # Pool, software version and the time of arrival, by attempt id.
        self.by_attempt: bounded_map.BoundedMap[tuple[str, str, float]] = (
            bounded_map.BoundedMap(MAX_ORIGINS)
        )

    def put(self, origin: stream_origin.StreamOrigin) -> None:
        """Add an origin, and drop those that are too old."""
        now = self.clock()
        self.by_attempt.put(
            origin.attempt_id,
            (
                sys.intern(origin.pool),
                sys.intern(origin.software_version),
                now,
            ),
        )
        while True:
            oldest_id, (_, _, arrived_at) = next(iter(self.by_attempt.items()))
            if now - arrived_at <= RETENTION_S:
                return
            del self.by_attempt[oldest_id]

    def find(self, attempt_id: str) -> stream_origin.StreamOrigin | None:
        """Return the origin of the stream that an attempt began."""
        entry = self.by_attempt.get(attempt_id)
        if entry is None:
            return None
        pool, software_version, arrived_at = entry
        if self.clock() - arrived_at > RETENTION_S:
            return None
        return stream_origin.StreamOrigin(attempt_id, pool, software_version)
