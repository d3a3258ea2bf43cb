"""``bench``: measure the cost of routers and sidecars that are running."""

import asyncio
import dataclasses

from arbutusvale import yaml_documents
from arbutusvale.load import bench
from arbutusvale.load import link_cost
from arbutusvale.load import report
from arbutusvale.ui import exit_codes
from arbutusvale.ui import output

REQUEST_RATES_PER_S = (20.0, 73.0, 150.0)
LATENCY_RUN_S = 10.0
CONCURRENCY = 32
THROUGHPUT_RUN_S = 8.0
CONCURRENT_STREAMS = 400
TOKENS_PER_STREAM = 150


@dataclasses.dataclass(frozen=True)
class Results:
    """Results of all parts of the benchmark."""

    latencies: list[bench.LatencyComparison]
    throughput: bench.Throughput
    streams: bench.StreamCosts
    idle_link: link_cost.LinkCost


def run(options: dict) -> int:
    """Measure and print the results."""
    bench_config = yaml_documents.read(options['FILE'], bench.Bench)
    results = asyncio.run(measure(bench_config))
    if options['--json']:
        output.print_json(dataclasses.asdict(results))
    else:
        print(format_results(results))
    return exit_codes.ExitCode.DONE


async def measure(bench_config: bench.Bench) -> Results:
    """Run all parts sequentially."""
    idle_link = await link_cost.measure()
    await bench.warm_up(bench_config)
    latencies = [
        await bench.compare_latencies(bench_config, rate, LATENCY_RUN_S)
        for rate in REQUEST_RATES_PER_S
    ]
    streams = await bench.measure_streams(
        bench_config, CONCURRENT_STREAMS, TOKENS_PER_STREAM
    )
    throughput = await bench.measure_throughput(
        bench_config, CONCURRENCY, THROUGHPUT_RUN_S
    )
    return Results(latencies, throughput, streams, idle_link)


def format_results(results: Results) -> str:
    """Format the results as tables."""
    latency_rows = [
        [
            f'{comparison.rate:.0f}',
            f'{comparison.router_core_share:.2f}',
            *(
                '/'.join(f'{value:.2f}' for value in percentiles.values())
                for percentiles in (
                    comparison.direct,
                    comparison.routed,
                    comparison.added,
                )
            ),
        ]
        for comparison in results.latencies
    ]
    latency_headings = [
        'requests/s',
        'router core',
        'direct ms p50/95/99',
        'routed ms',
        'added ms',
    ]
    throughput, streams = results.throughput, results.streams
    link = results.idle_link
    cost_rows = [
        ['requests/s, closed loop', f'{throughput.per_s:.0f}'],
        ['requests/s per router core', f'{throughput.per_router_core:.0f}'],
        ['router ms/request', f'{throughput.router_cpu_ms:.2f}'],
        ['sidecar ms/request', f'{throughput.sidecar_cpu_ms:.2f}'],
        ['streams in flight', str(streams.streams)],
        ['chunks/s', f'{streams.chunks_per_s:.0f}'],
        ['chunks/s per router core', f'{streams.chunks_per_router_core:.0f}'],
        [
            'chunks/s per sidecar core',
            f'{streams.chunks_per_sidecar_core:.0f}',
        ],
        ['router KB per stream', f'{streams.router_rss_bytes / 1024:.1f}'],
        ['sidecar KB per stream', f'{streams.sidecar_rss_bytes / 1024:.1f}'],
        ['idle link bytes/s', f'{link.idle_bytes_per_s:.2f}'],
        ['idle link bytes to open', f'{link.opening_bytes:.0f}'],
        ['idle link KB, both ends', f'{link.rss_bytes / 1024:.1f}'],
    ]
    return '\n\n'.join(
        [
            report.format_table(latency_headings, latency_rows),
            report.format_table(['cost', ''], cost_rows),
        ]
    )
