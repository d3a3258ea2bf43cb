"""Counters and histograms in the Prometheus text format."""

from prometheus_client import parser

from arbutusvale.state import edge_metrics


def test_the_text_is_valid_and_has_all_metrics():
    metrics = edge_metrics.EdgeMetrics()
    metrics.increment('requests', 'answered')
    metrics.increment('requests', 'answered')
    metrics.observe_first_byte('chat', 0.03)
    metrics.observe_total('chat', 99.0)
    families = parser.text_string_to_metric_families(metrics.render())
    samples = {
        (sample.name, sample.labels.get('le', '')): sample.value
        for family in families
        for sample in family.samples
    }
    assert samples['arbutusvale_requests_total', ''] == 2
    assert samples['arbutusvale_first_byte_seconds_bucket', '0.05'] == 1
    assert samples['arbutusvale_first_byte_seconds_bucket', '0.025'] == 0
    assert samples['arbutusvale_total_seconds_bucket', '+Inf'] == 1
    assert samples['arbutusvale_total_seconds_count', ''] == 1
