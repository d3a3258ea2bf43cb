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


class LatencyHistogram:
    """Hold a latency histogram; values are in seconds."""

    def __init__(self):
        self.histogram = histogram.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _DIGITS
        )

    def observe(self, seconds: float) -> None:
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


class RecentLatencies:
    """Hold the latencies of the last calls, a bounded number of them.

    Percentiles of a full histogram are computed once.
    """

    def __init__(self):
        self.current = LatencyHistogram()
        self.previous: LatencyHistogram | None = None
        self.known: dict[float, float] = {}

    def observe(self, seconds: float) -> None:
        """Record one value; a full histogram makes room for the next."""
        self.current.observe(seconds)
        if self.current.count >= _RECENT_VALUES:
            self.previous = self.current
            self.current = LatencyHistogram()
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

    def _shown(self) -> LatencyHistogram:
        """Return the last full histogram, or the first one."""
        return self.previous or self.current


@dataclasses.dataclass(slots=True)
class RouterMetrics:
    """Hold the counts and latencies of one router, by service."""

    first_byte: dict[str, LatencyHistogram] = dataclasses.field(
        default_factory=dict
    )
    total: dict[str, LatencyHistogram] = dataclasses.field(
        default_factory=dict
    )
    hedgeable: dict[str, RecentLatencies] = dataclasses.field(
        default_factory=dict
    )
    errors: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    retries: int = 0
    redirects: int = 0
    hedges: int = 0

    def record_answer(
        self, service: str, first_byte_s: float, total_s: float
    ) -> None:
        """Record an answer."""
        self.outcomes['answered'] += 1
        self.first_byte.setdefault(service, LatencyHistogram()).observe(
            first_byte_s
        )
        self.total.setdefault(service, LatencyHistogram()).observe(total_s)

    def record_hedgeable(self, service: str, total_s: float) -> None:
        """Record a call that might have been sent to a second server."""
        self.hedgeable.setdefault(service, RecentLatencies()).observe(total_s)

    def record_error(self, error: caller_api.ErrorResponse) -> None:
        """Record an error answer by its code and outcome."""
        self.errors[error.code] += 1
        self.outcomes[error.outcome] += 1
