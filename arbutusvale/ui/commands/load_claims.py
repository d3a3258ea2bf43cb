"""``claims``: measure the claim throughput of a log service."""

import asyncio
import dataclasses
import json

from arbutusvale.load import claim_bench
from arbutusvale.protocol import platform
from arbutusvale.transport import http_client

CONCURRENCIES = (1, 16, 128, 512)


def run(options: dict) -> int | None:
    """Measure and print one line per concurrency."""
    results = asyncio.run(
        _measure(options['PLATFORM'], float(options['--seconds']))
    )
    if options['--json']:
        print(json.dumps([dataclasses.asdict(each) for each in results]))
        return None
    for result in results:
        print(_format_rates(result))
    return None


async def _measure(
    address: str, seconds: float
) -> list[claim_bench.ClaimRates]:
    """Measure with increasing numbers of concurrent callers."""
    log_service = platform.HttpLogService(address, http_client.make_client())
    return [
        await claim_bench.measure(log_service, concurrency, seconds)
        for concurrency in CONCURRENCIES
    ]


def _format_rates(result: claim_bench.ClaimRates) -> str:
    """Format the result for one concurrency."""
    return (
        f'callers {result.concurrency:4d}  '
        f'claims/s {result.claims_per_s:7.0f}  '
        f'appends/s {result.appends_per_s:5.0f}  '
        f'claims/append {result.claims_per_append:6.1f}  '
        f'p50 {result.p50_ms:5.1f} ms  p99 {result.p99_ms:6.1f} ms  '
        f'cpu/claim {result.cpu_us_per_claim:5.0f} us  lost {result.lost}'
    )
