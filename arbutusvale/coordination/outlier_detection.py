"""Outlier detection: eject servers that fail or are slow, for a while.

The edge router names servers by their ids, the router of sidecars by VM.
"""

from collections.abc import Callable
import dataclasses
import math
import time

from arbutusvale.coordination import retries

_BASE_EJECTION_S = 0.25
_MAX_EJECTION_S = 30.0
_MAX_DOUBLINGS = 7
_CONSECUTIVE_FAILURE_THRESHOLD = 3
# A server that is ejected so often in a row is down rather than disturbed.
_DOWN_EJECTIONS = 3
# A server is slow above this multiple of its pool's median latency.
_SLOW_FACTOR = 4.0
# The median counts as at least this, so that fast pools tolerate jitter.
_SLOW_FLOOR_S = 0.1
# A server's latency is used only after this many responses.
_MIN_RESPONSES = 8
_MIN_SERVERS = 3
_MEDIAN_MAX_AGE_S = 1.0
_SMOOTHING = 0.2


@dataclasses.dataclass(slots=True)
class _ServerRecord:
    """Health of one server; times are in seconds.

    On ``probation``, after an ejection, the next response alone decides
    whether it is ejected again.
    """

    ejected_until: float = 0.0
    consecutive_ejections: int = 0
    consecutive_failures: int = 0
    responses: int = 0
    latency: float = 0.0
    pool: str = ''
    probation: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _PoolMedian:
    """A pool's median latency in seconds, and when it was computed."""

    latency: float
    computed_at: float


class OutlierDetector:
    """Health records of servers, and their ejections with backoff."""

    def __init__(
        self,
        generator: retries.UniformSource,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.generator = generator
        self.clock = clock
        self.records: dict[str, _ServerRecord] = {}
        self.pool_medians: dict[str, _PoolMedian] = {}

    def is_ejected(self, server_id: str) -> bool:
        """Check whether the server is ejected now."""
        record = self.records.get(server_id)
        return record is not None and record.ejected_until > self.clock()

    def was_down(self, server_id: str) -> bool:
        """Return whether a server was ejected repeatedly until now."""
        record = self.records.get(server_id)
        return (
            record is not None
            and record.probation
            and record.consecutive_ejections >= _DOWN_EJECTIONS
        )

    def is_on_probation(self, server_id: str) -> bool:
        """Check whether a server was ejected and hasn't answered since."""
        record = self.records.get(server_id)
        return record is not None and record.probation

    def record_unreachable(self, server_id: str) -> None:
        """Eject a server that accepted no connection."""
        self._eject(self._get_record(server_id))

    def record_failure(self, server_id: str) -> None:
        """Count a failed response; eject after several consecutive ones."""
        record = self._get_record(server_id)
        record.consecutive_failures += 1
        if (
            record.probation
            or record.consecutive_failures >= _CONSECUTIVE_FAILURE_THRESHOLD
        ):
            self._eject(record)

    def record_success(self, server_id: str) -> None:
        """Record a good response, which resets the consecutive failures."""
        record = self._get_record(server_id)
        record.consecutive_failures = 0
        if record.ejected_until <= self.clock():
            record.consecutive_ejections = 0
            record.probation = False

    def record_latency(
        self, server_id: str, latency_s: float, pool: str
    ) -> None:
        """Average the latency; eject a server far slower than its pool."""
        record = self._get_record(server_id)
        record.pool = pool
        record.responses += 1
        first = record.responses == 1 or record.probation
        weight = 1.0 if first else _SMOOTHING
        record.latency += weight * (latency_s - record.latency)
        if self._is_slow(record):
            self._eject(record)

    def prune(self, listed: set[str]) -> None:
        """Drop the records of servers that are no longer listed."""
        self.records = {
            server_id: record
            for server_id, record in self.records.items()
            if server_id in listed
        }

    def _get_record(self, server_id: str) -> _ServerRecord:
        """Return the record of a server; create it if needed."""
        return self.records.setdefault(server_id, _ServerRecord())

    def _eject(self, record: _ServerRecord) -> None:
        """Eject a server, with jitter, for twice as long as the last time."""
        now = self.clock()
        if record.ejected_until > now:
            return
        duration_s = min(
            _MAX_EJECTION_S, _BASE_EJECTION_S * 2**record.consecutive_ejections
        )
        record.ejected_until = now + duration_s * self.generator.uniform(
            0.75, 1.25
        )
        record.consecutive_ejections = min(
            record.consecutive_ejections + 1, _MAX_DOUBLINGS
        )
        record.probation = True
        record.consecutive_failures = 0

    def _is_slow(self, record: _ServerRecord) -> bool:
        """Compare a server's latency with the median of its pool."""
        if record.responses < _MIN_RESPONSES:
            return False
        if record.latency <= _SLOW_FACTOR * _SLOW_FLOOR_S:
            return False
        median = self._pool_median_latency(record.pool)
        return record.latency > _SLOW_FACTOR * max(_SLOW_FLOOR_S, median)

    def _pool_median_latency(self, pool: str) -> float:
        """Return a pool's median latency in seconds, cached for a while.

        It is infinite while fewer than three servers have enough responses.
        """
        now = self.clock()
        cached = self.pool_medians.get(pool)
        if cached is not None and now - cached.computed_at < _MEDIAN_MAX_AGE_S:
            return cached.latency
        latencies = [
            record.latency
            for record in self.records.values()
            if record.pool == pool and record.responses >= _MIN_RESPONSES
        ]
        if len(latencies) < _MIN_SERVERS:
            return math.inf
        median = _median(latencies)
        self.pool_medians[pool] = _PoolMedian(median, now)
        return median


def _median(values: list[float]) -> float:
    """Return the median; importing statistics would cost 0.6 MB."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
