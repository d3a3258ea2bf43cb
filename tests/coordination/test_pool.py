import asyncio
import collections

import pytest

from tests import helpers_log
from tests import helpers_pool
from tests import helpers_sidecar

SIDECARS = 6
SLOTS = 8
BURST = 36


def run_bursts(seed, bound=1.25):
    """Send bursts that fit into the slots; return the pool and end events."""

    async def work():
        settings = helpers_sidecar.make_pool(
            slots=SLOTS, queue=SLOTS, bound=bound
        )
        pool = helpers_pool.Pool(SIDECARS, 3, settings, seed=seed)
        final_events = []
        for _ in range(4):
            chats = pool.generator.integers(30, size=BURST)
            requests = [pool.send_request(f'c{chat}') for chat in chats]
            final_events += await asyncio.gather(*requests)
        pool.stop()
        return pool, final_events

    return helpers_log.run_in_virtual_time(work())


@pytest.mark.parametrize('seed', [7, 8])
def test_burst_is_answered_within_the_bound(seed):
    pool, final_events = run_bursts(seed)
    codes = collections.Counter(
        getattr(event, 'code', 'answered') for event in final_events
    )
    assert codes == {'answered': 4 * BURST}
    assert pool.list_excesses() == []
