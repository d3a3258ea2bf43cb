"""Benchmark of the rate at which one sidecar claims idempotency keys."""

import asyncio
import dataclasses
import hashlib
import time

from arbutusvale.coordination import claims
from arbutusvale.protocol import ports
from arbutusvale.state import router_metrics

CLAIM_TIMEOUT_S = 10.0
FINGERPRINT = hashlib.sha256(b'bench').digest()
KEY_BYTES = 16
VM = 'claim-bench'


@dataclasses.dataclass(frozen=True)
class ClaimRates:
    """Rates and latencies of claims at one concurrency.

    ``claims_per_append`` is the average batch size; ``lost`` counts claims
    that were not won.
    """

    concurrency: int
    claims_per_s: float
    appends_per_s: float
    claims_per_append: float
    p50_ms: float
    p99_ms: float
    lost: int
    cpu_us_per_claim: float


async def measure(
    log: ports.LogService, concurrency: int, seconds: float
) -> ClaimRates:
    """Claim new keys in a closed loop of ``concurrency`` callers.

    Raise TimeoutError if the retained claims are not read in time.
    """
    manager = claims.ClaimManager(log, VM, time.time_ns())
    manager_task = asyncio.create_task(manager.run())
    try:
        await _wait_until_ready(manager)
        return await _run_callers(manager, concurrency, seconds)
    finally:
        manager_task.cancel()
        await asyncio.wait([manager_task])


async def _wait_until_ready(manager: claims.ClaimManager) -> None:
    """Wait until the manager has read the retained claims."""
    async with asyncio.timeout(CLAIM_TIMEOUT_S):
        await manager.wait_until_caught_up()


async def _run_callers(
    manager: claims.ClaimManager, concurrency: int, seconds: float
) -> ClaimRates:
    """Run the callers and compute their rates."""
    latency = router_metrics.LatencyHistogram()
    claim_stream = manager.shards[0]
    started_at, cpu_before_s = time.monotonic(), time.process_time()
    lost_counts = await asyncio.gather(
        *(
            _claim_keys(manager, caller, started_at + seconds, latency)
            for caller in range(concurrency)
        )
    )
    elapsed_s = time.monotonic() - started_at
    won = claim_stream.claim_count - sum(lost_counts)
    return ClaimRates(
        concurrency,
        won / elapsed_s,
        claim_stream.append_count / elapsed_s,
        won / max(1, claim_stream.append_count),
        latency.percentile(50) * 1000,
        latency.percentile(99) * 1000,
        sum(lost_counts),
        (time.process_time() - cpu_before_s) / max(1, won) * 1e6,
    )


async def _claim_keys(
    manager: claims.ClaimManager,
    caller: int,
    end_at: float,
    latency: router_metrics.LatencyHistogram,
) -> int:
    """Claim keys one after another; return how many were not won."""
    number = 0
    lost = 0
    while (sent_at := time.monotonic()) < end_at:
        number += 1
        name = f'{manager.incarnation}/{caller}/{number}'
        key = hashlib.sha256(name.encode()).digest()[:KEY_BYTES]
        outcome = await manager.claim(key, FINGERPRINT, CLAIM_TIMEOUT_S)
        latency.observe(time.monotonic() - sent_at)
        lost += not isinstance(outcome, claims.Won)
    return lost
