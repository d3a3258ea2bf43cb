"""Counters and latency histograms of a router."""

import collections
import dataclasses

from hdrh import histogram

from arbutusvale.protocol import caller_api

PERCENTILES = (50.0, 95.0, 99.0)
_MIN_US = 1
_MAX_US = 600 * 1_000_000
_SIGNIFICANT_DIGITS = 2
_WINDOW_VALUES = 256
_US_PER_S = 1_000_000


class LatencyHistogram:
    """HDR histogram of latencies in seconds."""

    def __init__(self):
        self.histogram = histogram.HdrHistogram(
            _MIN_US, _MAX_US, _SIGNIFICANT_DIGITS
        )

    def observe(self, seconds: float) -> None:
        """Record one value."""
        value = max(_MIN_US, min(_MAX_US, int(seconds * _US_PER_S)))
        self.histogram.record_value(value)

    @property
    def count(self) -> int:
        """Number of recorded values."""
        return self.histogram.get_total_count()

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds; 0 if nothing was recorded."""
        return self.histogram.get_value_at_percentile(percent) / _US_PER_S


class RecentLatencies:
    """Latencies of recent calls, in windows of a fixed number of values.

    Percentiles are those of the last full window, or of the first one
    until it is full.  Those of a full window are computed only once.
    """

    def __init__(self):
        self.current = LatencyHistogram()
        self.previous: LatencyHistogram | None = None
        self.cached_percentiles: dict[float, float] = {}

    def observe(self, seconds: float) -> None:
        """Record one value; start a new window when this one is full."""
        self.current.observe(seconds)
        if self.current.count >= _WINDOW_VALUES:
            self.previous = self.current
            self.current = LatencyHistogram()
            self.cached_percentiles.clear()

    @property
    def count(self) -> int:
        """Number of values that percentiles are computed from."""
        return self._reported_histogram().count

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds."""
        if self.previous is None:
            return self.current.percentile(percent)
        if percent not in self.cached_percentiles:
            self.cached_percentiles[percent] = self.previous.percentile(
                percent
            )
        return self.cached_percentiles[percent]

    def _reported_histogram(self) -> LatencyHistogram:
        """Return the histogram that percentiles are computed from."""
        return self.previous or self.current


@dataclasses.dataclass(slots=True)
class RouterMetrics:
    """Counters and latency histograms of one router.

    ``first_byte`` and ``total`` have the latencies of answers by service;
    ``hedgeable`` has those of calls that may be hedged.
    """

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
        """Record an answered request with its latencies."""
        self.outcomes['answered'] += 1
        self.first_byte.setdefault(service, LatencyHistogram()).observe(
            first_byte_s
        )
        self.total.setdefault(service, LatencyHistogram()).observe(total_s)

    def record_hedgeable(self, service: str, total_s: float) -> None:
        """Record the latency of a call that may be hedged."""
        self.hedgeable.setdefault(service, RecentLatencies()).observe(total_s)

    def record_error(self, error: caller_api.ErrorResponse) -> None:
        """Count an error answer by code and by outcome."""
        self.errors[error.code] += 1
        self.outcomes[error.outcome] += 1
