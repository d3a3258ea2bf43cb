"""Counters and latencies of a workload, as its callers see them."""

import collections
import dataclasses
import math

from arbutusvale.state import router_metrics


@dataclasses.dataclass
class LoadSkew:
    """Samples of the highest load of an engine over the mean load."""

    samples: list[float] = dataclasses.field(default_factory=list)

    def add_sample(self, loads: list[int]) -> None:
        """Add a sample, unless the mean load is below one request."""
        if loads and sum(loads) >= len(loads):
            self.samples.append(max(loads) * len(loads) / sum(loads))

    def percentile(self, percent: float) -> float:
        """Return the nearest-rank percentile; NaN without samples."""
        if not self.samples:
            return math.nan
        ordered = sorted(self.samples)
        rank = math.ceil(percent / 100 * len(ordered))
        return ordered[max(0, rank - 1)]


@dataclasses.dataclass
class WorkloadStats:
    """Counters and latencies of one workload.

    ``returning`` counts answered turns after a chat's first, ``reused``
    those that ran on an engine with the cached prefix, ``reusable`` those
    whose prefix any engine in the pool cached.  ``misdelivered`` answers
    belong to another request; ``truncated`` ones ended early without an
    error.  ``booked`` counts bookings of which a copy succeeded, and
    ``false_not_run`` those that ran though every copy was answered with
    ``not-run``.
    """

    turns: int = 0
    answered: int = 0
    returning: int = 0
    reused: int = 0
    reusable: int = 0
    misdelivered: int = 0
    truncated: int = 0
    bookings: int = 0
    booked: int = 0
    resends: int = 0
    duplicate_bookings: int = 0
    false_not_run: int = 0
    reads: int = 0
    reads_answered: int = 0
    tokens: int = 0
    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    first_token_latency: router_metrics.LatencyHistogram = dataclasses.field(
        default_factory=router_metrics.LatencyHistogram
    )
    read_latency: router_metrics.LatencyHistogram = dataclasses.field(
        default_factory=router_metrics.LatencyHistogram
    )
    load_skew: LoadSkew = dataclasses.field(default_factory=LoadSkew)

    @property
    def reuse(self) -> float:
        """Share of returning turns that reused a cached prefix."""
        return self.reused / self.returning if self.returning else math.nan

    @property
    def best_reuse(self) -> float:
        """Share of returning turns whose prefix any engine cached."""
        return self.reusable / self.returning if self.returning else math.nan

    def list_violations(self) -> list[str]:
        """List the violated guarantees of the fleet, with their counts."""
        violations = {
            'answers were not the caller’s own': self.misdelivered,
            'answers ended early but looked whole': self.truncated,
            'bookings ran more than once': self.duplicate_bookings,
            'requests ran though told not-run': self.false_not_run,
        }
        return [
            f'{count} {text}' for text, count in violations.items() if count
        ]


def percentiles_ms(
    latency: router_metrics.LatencyHistogram,
) -> dict[str, float]:
    """Return the percentiles of a report, in milliseconds."""
    return {
        f'p{percent:.0f}': latency.percentile(percent) * 1e3
        for percent in router_metrics.PERCENTILES
    }
