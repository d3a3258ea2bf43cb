"""Avoid VMs that refuse connections, fail or are slow, for a while."""

from collections.abc import Callable
import dataclasses
import math
import time

from arbutusvale.coordination import retries

_BASE_S = 0.25
_MAX_S = 30.0
_MAX_DOUBLINGS = 7
_FAILURES_IN_ROW = 3
_SLOW_FACTOR = 4.0
_SLOW_FLOOR_S = 0.1
_MIN_ANSWERS = 8
_MIN_VMS = 3
_USUAL_AGE_S = 1.0
_SMOOTHING = 0.2


@dataclasses.dataclass(slots=True)
class _Record:
    """Hold what is known of one VM; times are in seconds.

    On ``probation``, after a back-off, the next answer alone decides.
    """

    until: float = 0.0
    back_offs: int = 0
    failures: int = 0
    answers: int = 0
    latency: float = 0.0
    pool: str = ''
    probation: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Usual:
    """Hold a pool's median latency and when it was computed."""

    latency: float
    at: float


class Avoidance:
    """Keep the back-off of every VM that gave reason for one."""

    def __init__(
        self,
        generator: retries.UniformSource,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.generator = generator
        self.clock = clock
        self.records: dict[str, _Record] = {}
        self.usual: dict[str, _Usual] = {}

    def is_avoided(self, vm: str) -> bool:
        """Tell whether the VM's back-off still runs."""
        record = self.records.get(vm)
        return record is not None and record.until > self.clock()

    def note_unreachable(self, vm: str) -> None:
        """Avoid a VM that took no connection."""
        self._back_off(self._find(vm))

    def note_failure(self, vm: str) -> None:
        """Count a failed answer; several in a row are avoided."""
        record = self._find(vm)
        record.failures += 1
        if record.probation or record.failures >= _FAILURES_IN_ROW:
            self._back_off(record)

    def note_success(self, vm: str) -> None:
        """Count a good answer; it ends a row of failures."""
        record = self._find(vm)
        record.failures = 0
        if record.until <= self.clock():
            record.back_offs = 0
            record.probation = False

    def note_latency(self, vm: str, latency_s: float, pool: str) -> None:
        """Count an answer's latency; avoid a VM far slower than its pool."""
        record = self._find(vm)
        record.pool = pool
        record.answers += 1
        first = record.answers == 1 or record.probation
        weight = 1.0 if first else _SMOOTHING
        record.latency += weight * (latency_s - record.latency)
        if self._is_slow(record):
            self._back_off(record)

    def forget(self, known: set[str]) -> None:
        """Drop the records of VMs that are no longer listed."""
        self.records = {
            vm: record for vm, record in self.records.items() if vm in known
        }

    def _find(self, vm: str) -> _Record:
        """Return the record of a VM, a new one at need."""
        return self.records.setdefault(vm, _Record())

    def _back_off(self, record: _Record) -> None:
        """Start a jittered back-off twice as long as the last one."""
        now = self.clock()
        if record.until > now:
            return
        full = min(_MAX_S, _BASE_S * 2**record.back_offs)
        record.until = now + full * self.generator.uniform(0.75, 1.25)
        record.back_offs = min(record.back_offs + 1, _MAX_DOUBLINGS)
        record.probation = True
        record.failures = 0

    def _is_slow(self, record: _Record) -> bool:
        """Compare a VM's latency with the usual one of its pool."""
        if record.answers < _MIN_ANSWERS:
            return False
        if record.latency <= _SLOW_FACTOR * _SLOW_FLOOR_S:
            return False
        usual = self._find_usual(record.pool)
        return record.latency > _SLOW_FACTOR * max(_SLOW_FLOOR_S, usual)

    def _find_usual(self, pool: str) -> float:
        """Return a pool's median latency, which is kept for a while.

        It is infinite while fewer than three VMs are known well.
        """
        now = self.clock()
        known = self.usual.get(pool)
        if known is not None and now - known.at < _USUAL_AGE_S:
            return known.latency
        latencies = [
            record.latency
            for record in self.records.values()
            if record.pool == pool and record.answers >= _MIN_ANSWERS
        ]
        if len(latencies) < _MIN_VMS:
            return math.inf
        median = _median(latencies)
        self.usual[pool] = _Usual(median, now)
        return median


def _median(values: list[float]) -> float:
    """Return the median; the statistics module would cost 0.6 MB."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
