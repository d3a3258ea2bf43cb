"""Benchmark of the latency, CPU and memory that router and sidecars add.

The processes run already; this module sends them requests and reads their
CPU time and resident memory.
"""

import asyncio
import dataclasses
import itertools

import pydantic.dataclasses

from arbutusvale.load import process_stats
from arbutusvale.load import router_client
from arbutusvale.load import workload_stats
from arbutusvale.state import router_metrics

CALL_TIMEOUT_S = 30.0
READ_PATH = '/status/room-1'
WARM_UP_CALLS = 50
STREAM_START_INTERVAL_S = 0.005


@pydantic.dataclasses.dataclass(frozen=True, kw_only=True)
class Bench:
    """Targets of the benchmark, read from a YAML file.

    ``direct`` is the plain service's own address, reached without router
    and sidecar.  ``router_pid`` and ``sidecar_pids`` name the processes
    whose CPU time and memory are measured.
    """

    router: str
    direct: str
    api_key: str
    service: str
    model: str
    router_pid: int
    sidecar_pids: list[int]


@dataclasses.dataclass(frozen=True)
class LatencyComparison:
    """Latency percentiles in ms, direct and through the router.

    ``rate`` is in requests/s; ``router_core_share`` is the share of one CPU
    core that the router used.
    """

    rate: float
    router_core_share: float
    direct: dict[str, float]
    routed: dict[str, float]
    added: dict[str, float]


@dataclasses.dataclass(frozen=True)
class Throughput:
    """Request rate of a closed loop, and the CPU time of a request.

    ``router_cpu_ms`` and ``sidecar_cpu_ms`` are per request.
    """

    concurrency: int
    per_s: float
    router_cpu_ms: float
    sidecar_cpu_ms: float
    per_router_core: float


@dataclasses.dataclass(frozen=True)
class StreamCosts:
    """Cost of concurrent streaming answers.

    Memory is per stream in flight, at the router and at all sidecars.
    """

    streams: int
    chunks_per_s: float
    chunks_per_router_core: float
    chunks_per_sidecar_core: float
    router_rss_bytes: float
    sidecar_rss_bytes: float


@dataclasses.dataclass(frozen=True)
class _CpuTimes:
    """CPU seconds used by the router and by all sidecars together."""

    router: float
    sidecars: float


def _read_cpu(bench: Bench) -> _CpuTimes:
    """Read the CPU time used so far."""
    return _CpuTimes(
        process_stats.read_usage(bench.router_pid).cpu_s,
        sum(process_stats.read_usage(pid).cpu_s for pid in bench.sidecar_pids),
    )


async def _send_routed_read(bench: Bench) -> router_client.Reply:
    """Send a read to the plain service through the router."""
    return await router_client.send_read(
        bench.router, bench.api_key, bench.service, READ_PATH, CALL_TIMEOUT_S
    )


async def _send_direct_read(bench: Bench) -> router_client.Reply:
    """Send the same read to the plain service itself."""
    return await router_client.send_request(
        bench.direct, 'GET', READ_PATH, [], b'', CALL_TIMEOUT_S
    )


async def warm_up(bench: Bench) -> None:
    """Send calls, so that links are open and patterns compiled."""
    for _ in range(WARM_UP_CALLS):
        reply = await _send_routed_read(bench)
        if reply.status != 200:
            raise RuntimeError(
                'Warm-up call through the router failed; check the addresses '
                f'and the API key: {reply}'
            )
        await _send_direct_read(bench)


async def compare_latencies(
    bench: Bench, rate: float, seconds: float
) -> LatencyComparison:
    """Alternate routed and direct calls, each at ``rate`` calls/s.

    Open loop: calls start on schedule, also when earlier ones are late.
    """
    loop = asyncio.get_running_loop()
    direct, routed = (
        router_metrics.LatencyHistogram(),
        router_metrics.LatencyHistogram(),
    )
    cpu_before, started_at = _read_cpu(bench), loop.time()
    tasks = []
    async with asyncio.TaskGroup() as group:
        for number in range(int(rate * seconds)):
            due_at = started_at + number / rate
            await asyncio.sleep(max(0, due_at - loop.time()))
            tasks.append(
                group.create_task(
                    _record_latency(_send_routed_read, bench, routed)
                )
            )
            await asyncio.sleep(max(0, due_at + 0.5 / rate - loop.time()))
            tasks.append(
                group.create_task(
                    _record_latency(_send_direct_read, bench, direct)
                )
            )
    router_cpu_s = _read_cpu(bench).router - cpu_before.router
    percentiles = (
        workload_stats.percentiles_ms(direct),
        workload_stats.percentiles_ms(routed),
    )
    added = {
        name: percentiles[1][name] - percentiles[0][name]
        for name in percentiles[0]
    }
    core_share = router_cpu_s / (loop.time() - started_at)
    return LatencyComparison(rate, core_share, *percentiles, added)


async def _record_latency(
    send, bench: Bench, latency: router_metrics.LatencyHistogram
) -> None:
    """Send a call and record its latency; raise RuntimeError if it fails."""
    reply = await send(bench)
    if reply.status != 200 or reply.problem:
        raise RuntimeError(
            'A benchmark call failed; check that the fleet is ready and run '
            f'again: {reply}'
        )
    latency.observe(reply.total_s)


async def measure_throughput(
    bench: Bench, concurrency: int, seconds: float
) -> Throughput:
    """Send reads through the router in a closed loop.

    Each of ``concurrency`` callers sends the next one after an answer.
    """
    loop = asyncio.get_running_loop()
    cpu_before, started_at = _read_cpu(bench), loop.time()
    counter = itertools.count()

    async def call_until_end() -> None:
        while loop.time() < started_at + seconds:
            reply = await _send_routed_read(bench)
            if reply.status == 200:
                next(counter)

    await asyncio.gather(*(call_until_end() for _ in range(concurrency)))
    elapsed_s = loop.time() - started_at
    call_count = next(counter)
    cpu_after = _read_cpu(bench)
    router_s = cpu_after.router - cpu_before.router
    sidecar_s = cpu_after.sidecars - cpu_before.sidecars
    return Throughput(
        concurrency,
        call_count / elapsed_s,
        router_s / call_count * 1e3,
        sidecar_s / call_count * 1e3,
        call_count / router_s,
    )


async def measure_streams(
    bench: Bench, count: int, tokens: int
) -> StreamCosts:
    """Receive ``count`` concurrent answers of ``tokens`` tokens each."""
    loop = asyncio.get_running_loop()
    rss_before = _read_rss(bench)
    cpu_before, started_at = _read_cpu(bench), loop.time()
    tasks = [
        asyncio.create_task(_run_stream(bench, number, tokens))
        for number in range(count)
    ]
    rss_peak = rss_before
    while not all(task.done() for task in tasks):
        await asyncio.sleep(0.1)
        rss = _read_rss(bench)
        rss_peak = tuple(map(max, rss_peak, rss))
    chunks = sum(task.result() for task in tasks)
    elapsed_s = loop.time() - started_at
    cpu_after = _read_cpu(bench)
    return StreamCosts(
        count,
        chunks / elapsed_s,
        chunks / (cpu_after.router - cpu_before.router),
        chunks / (cpu_after.sidecars - cpu_before.sidecars),
        (rss_peak[0] - rss_before[0]) / count,
        (rss_peak[1] - rss_before[1]) / count,
    )


async def _run_stream(bench: Bench, number: int, tokens: int) -> int:
    """Send one chat turn; return the number of chunks in its answer.

    Raise RuntimeError if the answer is incomplete or not its own.
    """
    await asyncio.sleep(number * STREAM_START_INTERVAL_S)
    message = {'role': 'user', 'content': f'stream {number}'}
    reply = await router_client.send_chat(
        bench.router,
        bench.api_key,
        f'bench-{number}',
        bench.model,
        [message],
        tokens,
        CALL_TIMEOUT_S * 4,
    )
    if not (reply.answered and reply.echoes_message):
        raise RuntimeError(
            'A streaming answer failed or was incomplete: '
            f'{reply.raw.status} {reply.raw.problem}'
        )
    return reply.tokens


def _read_rss(bench: Bench) -> tuple[int, int]:
    """Return the resident bytes of the router and of all sidecars."""
    return (
        process_stats.read_usage(bench.router_pid).rss_bytes,
        sum(
            process_stats.read_usage(pid).rss_bytes
            for pid in bench.sidecar_pids
        ),
    )
