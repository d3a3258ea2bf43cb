"""Metrics of an edge router, kept small for its memory limit."""

import bisect
import collections

# From half the time of a plain call (5 ms) to beyond the longest route
# timeout (15 s).
BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0,
)  # fmt: skip


class Histogram:
    """Counts of latencies in fixed buckets."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def observe(self, latency_s: float) -> None:
        """Add one latency."""
        self.counts[bisect.bisect_left(BUCKETS_S, latency_s)] += 1
        self.total_s += latency_s


class EdgeMetrics:
    """Counters and gauges by name and label, latency histograms by pool."""

    def __init__(self) -> None:
        self.counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.gauges: dict[tuple[str, str], float] = {}
        self.first_byte: dict[str, Histogram] = {}
        self.total: dict[str, Histogram] = {}

    def increment(self, name: str, label: str = '') -> None:
        """Increment a counter by one."""
        self.counters[name, label] += 1

    def observe_first_byte(self, pool: str, latency_s: float) -> None:
        """Record the time to the first byte of a response."""
        self.first_byte.setdefault(pool, Histogram()).observe(latency_s)

    def observe_total(self, pool: str, latency_s: float) -> None:
        """Record the time to the end of a response."""
        self.total.setdefault(pool, Histogram()).observe(latency_s)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, label), count in sorted(self.counters.items()):
            labels = f'{{kind="{label}"}}' if label else ''
            lines.append(f'arbutusvale_{name}_total{labels} {count}')
        for (name, label), level in sorted(self.gauges.items()):
            lines.append(f'arbutusvale_{name}{{kind="{label}"}} {level:g}')
        for name, histograms in (
            ('first_byte_seconds', self.first_byte),
            ('total_seconds', self.total),
        ):
            for pool, histogram in sorted(histograms.items()):
                lines.extend(_render_histogram(name, pool, histogram))
        return '\n'.join(lines) + '\n'


def _render_histogram(name: str, pool: str, histogram: Histogram) -> list[str]:
    """Return the lines of one histogram, with cumulative buckets."""
    lines = []
    total = 0
    bounds = [*(str(bound) for bound in BUCKETS_S), '+Inf']
    for bound, count in zip(bounds, histogram.counts, strict=True):
        total += count
        lines.append(
            f'arbutusvale_{name}_bucket{{pool="{pool}",le="{bound}"}} {total}'
        )
    lines.append(
        f'arbutusvale_{name}_sum{{pool="{pool}"}} {histogram.total_s:.6f}'
    )
    lines.append(f'arbutusvale_{name}_count{{pool="{pool}"}} {total}')
    return lines
