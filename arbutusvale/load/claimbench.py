"""Measure how many keys one sidecar can claim, and with how many appends."""

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
    """Hold claims at one concurrency; latencies in milliseconds."""

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
    """Claim fresh keys in a closed loop of ``concurrency`` callers."""
    keeper = claims.ClaimManager(log, VM, time.time_ns())
    following = asyncio.create_task(keeper.run())
    try:
        await _wait_until_ready(keeper)
        return await _measure(keeper, concurrency, seconds)
    finally:
        following.cancel()
        await asyncio.wait([following])


async def _wait_until_ready(keeper: claims.ClaimManager) -> None:
    """Wait until the retained claims are read."""
    async with asyncio.timeout(CLAIM_TIMEOUT_S):
        await keeper.wait_until_caught_up()


async def _measure(
    keeper: claims.ClaimManager, concurrency: int, seconds: float
) -> ClaimRates:
    """Run the callers and count what they got."""
    latency = router_metrics.LatencyHistogram()
    stream = keeper.shards[0]
    began, cpu = time.monotonic(), time.process_time()
    lost = await asyncio.gather(
        *(
            _claim_keys(keeper, caller, began + seconds, latency)
            for caller in range(concurrency)
        )
    )
    elapsed = time.monotonic() - began
    won = stream.claim_count - sum(lost)
    return ClaimRates(
        concurrency,
        won / elapsed,
        stream.append_count / elapsed,
        won / max(1, stream.append_count),
        latency.percentile(50) * 1000,
        latency.percentile(99) * 1000,
        sum(lost),
        (time.process_time() - cpu) / max(1, won) * 1e6,
    )


async def _claim_keys(
    keeper: claims.ClaimManager,
    caller: int,
    until: float,
    latency: router_metrics.LatencyHistogram,
) -> int:
    """Claim one key after another; returns how many were not won."""
    number = 0
    lost = 0
    while (asked := time.monotonic()) < until:
        number += 1
        name = f'{keeper.incarnation}/{caller}/{number}'
        key = hashlib.sha256(name.encode()).digest()[:KEY_BYTES]
        outcome = await keeper.claim(key, FINGERPRINT, CLAIM_TIMEOUT_S)
        latency.observe(time.monotonic() - asked)
        lost += not isinstance(outcome, claims.Won)
    return lost
