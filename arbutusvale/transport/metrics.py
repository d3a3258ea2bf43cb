"""Prometheus collectors of the process's counters and latencies."""

from collections.abc import Iterator

from prometheus_client import metrics_core
from prometheus_client import registry

from arbutusvale.coordination import dispatch
from arbutusvale.state import router_metrics
from arbutusvale.transport import link_counters

_PREFIX = 'arbutusvale'


class LinkCollector(registry.Collector):
    """Collector of the bytes and messages on a process's links."""

    def __init__(self, counters: link_counters.LinkCounters):
        self.counters = counters

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yield bytes by kind and messages by class, per direction."""
        sizes = metrics_core.CounterMetricFamily(
            f'{_PREFIX}_link_bytes',
            'Frame bytes on links, without the headers of the transport.',
            labels=['direction', 'kind'],
        )
        counts = metrics_core.CounterMetricFamily(
            f'{_PREFIX}_link_messages',
            'Messages on links.',
            labels=['direction', 'message'],
        )
        control = metrics_core.CounterMetricFamily(
            f'{_PREFIX}_link_control_bytes',
            'Control bytes on links by message.',
            labels=['direction', 'message'],
        )
        for name in ('sent', 'received'):
            direction = getattr(self.counters, name)
            sizes.add_metric([name, 'control'], direction.control_bytes)
            sizes.add_metric([name, 'request'], direction.request_bytes)
            for kind, count in direction.by_kind.items():
                counts.add_metric([name, kind], count)
            for kind, size in direction.control_by_kind.items():
                control.add_metric([name, kind], size)
        yield from (sizes, counts, control)


class RouterCollector(registry.Collector):
    """Collector of a router's request metrics."""

    def __init__(self, dispatcher: dispatch.Dispatcher):
        self.dispatcher = dispatcher

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yield outcomes, errors, retries and latencies."""
        recorded = self.dispatcher.metrics
        yield make_latency_summary(
            'first_byte_seconds',
            'Time to the first byte.',
            recorded.first_byte,
        )
        yield make_latency_summary(
            'total_seconds', 'Time to the end.', recorded.total
        )
        outcomes = metrics_core.CounterMetricFamily(
            f'{_PREFIX}_requests', 'Answers by outcome.', labels=['outcome']
        )
        for outcome, count in recorded.outcomes.items():
            outcomes.add_metric([outcome], count)
        yield outcomes
        error_counts = metrics_core.CounterMetricFamily(
            f'{_PREFIX}_errors', 'Error answers by code.', labels=['code']
        )
        for code, count in recorded.errors.items():
            error_counts.add_metric([code], count)
        yield error_counts
        attempts = self.dispatcher.attempts
        yield from (
            _make_counter(
                'retries', 'Tries charged to the budget.', recorded.retries
            ),
            _make_counter(
                'redirects', 'Redirects followed.', recorded.redirects
            ),
            _make_counter(
                'hedges', 'Second tries of slow calls.', recorded.hedges
            ),
            _make_counter(
                'dropped_frames',
                'Frames of ended or unknown attempts.',
                attempts.dropped_frames,
            ),
            _make_counter(
                'silent_links',
                'Links closed as nothing came back.',
                attempts.monitor.silent_links,
            ),
            metrics_core.GaugeMetricFamily(
                f'{_PREFIX}_active_requests',
                'Requests in flight.',
                self.dispatcher.active,
            ),
        )


def make_latency_summary(
    name: str,
    documentation: str,
    by_service: dict[str, router_metrics.LatencyHistogram],
) -> metrics_core.Metric:
    """Return a summary with the percentiles of hdrhistogram as quantiles."""
    family = metrics_core.Metric(f'{_PREFIX}_{name}', documentation, 'summary')
    for service, latency in by_service.items():
        for percent in router_metrics.PERCENTILES:
            labels = {'service': service, 'quantile': str(percent / 100)}
            value = latency.percentile(percent)
            family.add_sample(family.name, labels, value)
        family.add_sample(
            f'{family.name}_count', {'service': service}, latency.count
        )
    return family


def _make_counter(
    name: str, documentation: str, value: int
) -> metrics_core.Metric:
    """Return a counter without labels."""
    return metrics_core.CounterMetricFamily(
        f'{_PREFIX}_{name}', documentation, value
    )
