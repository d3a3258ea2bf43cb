"""Count what a played day showed."""

import collections
import dataclasses
import math

from arbutusvale.state import router_metrics


@dataclasses.dataclass
class Skew:
    """Hold samples of maximum over mean of the engines' loads."""

    samples: list[float] = dataclasses.field(default_factory=list)

    def add(self, loads: list[int]) -> None:
        """Add a sample, unless the pool carries less than one each."""
        if loads and sum(loads) >= len(loads):
            self.samples.append(max(loads) * len(loads) / sum(loads))

    def percentile(self, percent: float) -> float:
        """Return the nearest-rank percentile; nan without samples."""
        if not self.samples:
            return math.nan
        ordered = sorted(self.samples)
        rank = math.ceil(percent / 100 * len(ordered))
        return ordered[max(0, rank - 1)]


@dataclasses.dataclass
class Score:
    """Hold the counts of one played day.

    ``returning`` counts answered turns after a chat's first, ``reused``
    those that ran on an engine holding the prefix, ``possible`` those for
    which any engine in the pool held it.
    """

    turns: int = 0
    answered: int = 0
    returning: int = 0
    reused: int = 0
    possible: int = 0
    foreign: int = 0
    cut: int = 0
    bookings: int = 0
    booked: int = 0
    resends: int = 0
    doubled: int = 0
    false_not_run: int = 0
    reads: int = 0
    reads_answered: int = 0
    tokens: int = 0
    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    first_token: router_metrics.LatencyHistogram = dataclasses.field(
        default_factory=router_metrics.LatencyHistogram
    )
    read_time: router_metrics.LatencyHistogram = dataclasses.field(
        default_factory=router_metrics.LatencyHistogram
    )
    skew: Skew = dataclasses.field(default_factory=Skew)

    @property
    def reuse(self) -> float:
        """Return the share of returning turns that found their prefix."""
        return self.reused / self.returning if self.returning else math.nan

    @property
    def best_reuse(self) -> float:
        """Return the share for which any engine held the prefix."""
        return self.possible / self.returning if self.returning else math.nan

    def broken_promises(self) -> list[str]:
        """Name each promise that the day broke."""
        named = {
            'answers were not the caller’s own': self.foreign,
            'answers ended early but looked whole': self.cut,
            'bookings ran more than once': self.doubled,
            'requests ran though told not-run': self.false_not_run,
        }
        return [f'{count} {text}' for text, count in named.items() if count]


def milliseconds(latency: router_metrics.LatencyHistogram) -> dict[str, float]:
    """Return the percentiles that reports show, in milliseconds."""
    return {
        f'p{percent:.0f}': latency.percentile(percent) * 1e3
        for percent in router_metrics.PERCENTILES
    }
