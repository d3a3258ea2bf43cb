"""Measure what router and sidecar cost over a direct call.

The processes are started by others; this module calls them and reads
their processor time and memory.
"""

import asyncio
import dataclasses
import itertools

import pydantic.dataclasses

from arbutusvale.load import caller
from arbutusvale.load import procstat
from arbutusvale.load import score
from arbutusvale.state import router_metrics

CALL_TIMEOUT_S = 30.0
READ_PATH = '/status/room-1'
WARM_UP_CALLS = 50
RAMP_S = 0.005


@pydantic.dataclasses.dataclass(frozen=True, kw_only=True)
class Bench:
    """Say what to measure.

    ``direct`` is the plain service's own address; the process ids are
    those of one router, of its sidecars and of the backend servers.
    """

    router: str
    direct: str
    api_key: str
    service: str
    model: str
    router_pid: int
    sidecar_pids: list[int]


@dataclasses.dataclass(frozen=True)
class Latencies:
    """Hold percentiles in milliseconds, direct and through the router."""

    rate: float
    router_core_share: float
    direct: dict[str, float]
    routed: dict[str, float]
    added: dict[str, float]


@dataclasses.dataclass(frozen=True)
class Throughput:
    """Hold a closed loop's rate and the processor time it took."""

    concurrency: int
    per_s: float
    router_cpu_ms: float
    sidecar_cpu_ms: float
    per_router_core: float


@dataclasses.dataclass(frozen=True)
class Streams:
    """Hold what streaming answers cost.

    Memory is per stream in flight, at the router and at the sidecars.
    """

    streams: int
    chunks_per_s: float
    chunks_per_router_core: float
    chunks_per_sidecar_core: float
    router_rss_bytes: float
    sidecar_rss_bytes: float


@dataclasses.dataclass(frozen=True)
class _Cpu:
    """Hold processor seconds of the router and of all sidecars."""

    router: float
    sidecars: float


def _read_cpu(bench: Bench) -> _Cpu:
    """Read the processor seconds used so far."""
    return _Cpu(
        procstat.read(bench.router_pid).cpu_s,
        sum(procstat.read(pid).cpu_s for pid in bench.sidecar_pids),
    )


async def _routed_read(bench: Bench) -> caller.Reply:
    """Call the plain service through the router."""
    return await caller.read(
        bench.router, bench.api_key, bench.service, READ_PATH, CALL_TIMEOUT_S
    )


async def _direct_read(bench: Bench) -> caller.Reply:
    """Call the plain service itself."""
    return await caller.call(
        bench.direct, 'GET', READ_PATH, [], b'', CALL_TIMEOUT_S
    )


async def warm_up(bench: Bench) -> None:
    """Open links and let every process compile its patterns."""
    for _ in range(WARM_UP_CALLS):
        reply = await _routed_read(bench)
        if reply.status != 200:
            raise RuntimeError(f'warm-up failed: {reply}')
        await _direct_read(bench)


async def compare(bench: Bench, rate: float, seconds: float) -> Latencies:
    """Call in turn directly and routed, both at ``rate`` a second."""
    loop = asyncio.get_running_loop()
    direct, routed = (
        router_metrics.LatencyHistogram(),
        router_metrics.LatencyHistogram(),
    )
    before, began = _read_cpu(bench), loop.time()
    tasks = []
    async with asyncio.TaskGroup() as group:
        for number in range(int(rate * seconds)):
            due = began + number / rate
            await asyncio.sleep(max(0, due - loop.time()))
            tasks.append(
                group.create_task(_timed(_routed_read, bench, routed))
            )
            await asyncio.sleep(max(0, due + 0.5 / rate - loop.time()))
            tasks.append(
                group.create_task(_timed(_direct_read, bench, direct))
            )
    used = _read_cpu(bench).router - before.router
    shown = score.milliseconds(direct), score.milliseconds(routed)
    added = {name: shown[1][name] - shown[0][name] for name in shown[0]}
    share = used / (loop.time() - began)
    return Latencies(rate, share, *shown, added)


async def _timed(
    call, bench: Bench, latency: router_metrics.LatencyHistogram
) -> None:
    """Time one call that has to succeed."""
    reply = await call(bench)
    if reply.status != 200 or reply.problem:
        raise RuntimeError(f'a call failed: {reply}')
    latency.observe(reply.total_s)


async def saturate(
    bench: Bench, concurrency: int, seconds: float
) -> Throughput:
    """Call as fast as ``concurrency`` callers can."""
    loop = asyncio.get_running_loop()
    before, began = _read_cpu(bench), loop.time()
    counts = itertools.count()

    async def call_on() -> None:
        while loop.time() < began + seconds:
            reply = await _routed_read(bench)
            if reply.status == 200:
                next(counts)

    await asyncio.gather(*(call_on() for _ in range(concurrency)))
    took = loop.time() - began
    done = next(counts)
    after = _read_cpu(bench)
    router_s = after.router - before.router
    sidecar_s = after.sidecars - before.sidecars
    return Throughput(
        concurrency,
        done / took,
        router_s / done * 1e3,
        sidecar_s / done * 1e3,
        done / router_s,
    )


async def stream(bench: Bench, count: int, tokens: int) -> Streams:
    """Hold ``count`` streaming answers of ``tokens`` each at once."""
    loop = asyncio.get_running_loop()
    rss_before = _read_rss(bench)
    before, began = _read_cpu(bench), loop.time()
    answers = [
        asyncio.create_task(_stream_one(bench, number, tokens))
        for number in range(count)
    ]
    rss_peak = rss_before
    while not all(task.done() for task in answers):
        await asyncio.sleep(0.1)
        rss = _read_rss(bench)
        rss_peak = tuple(map(max, rss_peak, rss))
    chunks = sum(task.result() for task in answers)
    took = loop.time() - began
    after = _read_cpu(bench)
    return Streams(
        count,
        chunks / took,
        chunks / (after.router - before.router),
        chunks / (after.sidecars - before.sidecars),
        (rss_peak[0] - rss_before[0]) / count,
        (rss_peak[1] - rss_before[1]) / count,
    )


async def _stream_one(bench: Bench, number: int, tokens: int) -> int:
    """Play one turn of a chat; returns the chunks of its answer."""
    await asyncio.sleep(number * RAMP_S)
    message = {'role': 'user', 'content': f'stream {number}'}
    reply = await caller.chat(
        bench.router,
        bench.api_key,
        f'bench-{number}',
        bench.model,
        [message],
        tokens,
        CALL_TIMEOUT_S * 4,
    )
    if not (reply.answered and reply.own):
        raise RuntimeError(
            f'a stream failed: {reply.reply.status} {reply.reply.problem}'
        )
    return reply.tokens


def _read_rss(bench: Bench) -> tuple[int, int]:
    """Read resident bytes of the router and of all sidecars."""
    return (
        procstat.read(bench.router_pid).rss_bytes,
        sum(procstat.read(pid).rss_bytes for pid in bench.sidecar_pids),
    )
