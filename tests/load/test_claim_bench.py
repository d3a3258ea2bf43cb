import asyncio

from arbutusvale.load import claim_bench
from tests import helpers_log


def test_concurrent_claims_share_log_appends():
    async def run():
        log = helpers_log.FakeLog()
        rates = await claim_bench.measure(log, 8, 0.1)
        assert rates.lost == 0
        assert rates.claims_per_append > 1
        assert rates.claims_per_s > rates.appends_per_s > 0

    asyncio.run(run())
