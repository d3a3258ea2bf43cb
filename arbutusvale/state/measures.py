"""Count what a router did and how long it took."""

import collections
import dataclasses

from hdrh import histogram

from arbutusvale.protocol import caller_api

PERCENTILES = (50.0, 95.0, 99.0)
_LOWEST_US = 1
_HIGHEST_US = 600 * 1_000_000
_DIGITS = 2
_RECENT_VALUES = 256
_US_PER_S = 1_000_000


class Latency:
    """Hold a latency histogram; values are in seconds."""

    def __init__(self):
        self.histogram = histogram.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _DIGITS
        )

    def add(self, seconds: float) -> None:
        """Record one value."""
        value = max(_LOWEST_US, min(_HIGHEST_US, int(seconds * _US_PER_S)))
        self.histogram.record_value(value)

    @property
    def count(self) -> int:
        """Return how many values were recorded."""
        return self.histogram.get_total_count()

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds; 0 when nothing was recorded."""
        return self.histogram.get_value_at_percentile(percent) / _US_PER_S


class RecentLatency:
    """Hold the latencies of the last calls, a bounded number of them.

    Percentiles of a full histogram are computed once.
    """

    def __init__(self):
        self.current = Latency()
        self.previous: Latency | None = None
        self.known: dict[float, float] = {}

    def add(self, seconds: float) -> None:
        """Record one value; a full histogram makes room for the next."""
        self.current.add(seconds)
        if self.current.count >= _RECENT_VALUES:
            self.previous = self.current
            self.current = Latency()
            self.known.clear()

    @property
    def count(self) -> int:
        """Return how many values a percentile rests on."""
        return self._shown().count

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds."""
        if self.previous is None:
            return self.current.percentile(percent)
        if percent not in self.known:
            self.known[percent] = self.previous.percentile(percent)
        return self.known[percent]

    def _shown(self) -> Latency:
        """Return the last full histogram, or the first one."""
        return self.previous or self.current


@dataclasses.dataclass(slots=True)
class RouterMeasures:
    """Hold the counts and latencies of one router, by service."""

    first_byte: dict[str, Latency] = dataclasses.field(default_factory=dict)
    total: dict[str, Latency] = dataclasses.field(default_factory=dict)
    recent: dict[str, RecentLatency] = dataclasses.field(default_factory=dict)
    errors: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    retries: int = 0
    redirects: int = 0
    hedges: int = 0

    def add_answer(
        self, service: str, first_byte_s: float, total_s: float
    ) -> None:
        """Record an answer."""
        self.outcomes['answered'] += 1
        self.first_byte.setdefault(service, Latency()).add(first_byte_s)
        self.total.setdefault(service, Latency()).add(total_s)

    def add_recent(self, service: str, total_s: float) -> None:
        """Record a call that might have been sent to a second server."""
        self.recent.setdefault(service, RecentLatency()).add(total_s)

    def add_error(self, error: caller_api.ErrorResponse) -> None:
        """Record an error answer by its code and outcome."""
        self.errors[error.code] += 1
        self.outcomes[error.outcome] += 1
