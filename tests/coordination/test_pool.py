import asyncio
import collections

import pytest

from tests import helpers_log
from tests import helpers_pool
from tests import helpers_sidecar

SIDECARS = 6
SLOTS = 8
BURST = 36


def play(seed, bound=1.25):
    """Send bursts that fit into the slots; return the pool and its ends."""

    async def work():
        settings = helpers_sidecar.make_pool(
            slots=SLOTS, queue=SLOTS, bound=bound
        )
        pool = helpers_pool.Pool(SIDECARS, 3, settings, seed=seed)
        ends = []
        for _ in range(4):
            chats = pool.generator.integers(30, size=BURST)
            asked = [pool.ask(f'c{chat}') for chat in chats]
            ends += await asyncio.gather(*asked)
        pool.stop()
        return pool, ends

    return helpers_log.run_in_virtual_time(work())


@pytest.mark.parametrize('seed', [7, 8])
def test_burst_is_answered_within_the_bound(seed):
    pool, ends = play(seed)
    codes = collections.Counter(
        getattr(end, 'code', 'answered') for end in ends
    )
    assert codes == {'answered': 4 * BURST}
    assert pool.list_excesses() == []
