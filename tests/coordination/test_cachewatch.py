import asyncio

import pytest

from arbutusvale.coordination import cachewatch
from arbutusvale.protocol import ports
from arbutusvale.state import directory


class Engine:
    def __init__(self, pages):
        self.pages = pages
        self.starts = []

    async def read_cache_events(self, start, wait):
        self.starts.append(start)
        return self.pages.pop(0)


def page(next_number, *events, missed=False):
    listed = [ports.CacheEvent(*event) for event in events]
    return ports.CacheEventPage(listed, next_number, missed)


def watch(*pages):
    table = directory.Directory(10)
    table.record('a', 's1')
    table.record('b', 's2')
    engine = Engine(list(pages))
    watcher = cachewatch.CacheWatch('s1', engine, table)

    async def read_all():
        while engine.pages:
            await watcher.read(0.0)

    asyncio.run(read_all())
    return table, engine


def test_eviction_clears_only_the_own_entry():
    table, engine = watch(
        page(2, (0, 'evicted', 'a'), (1, 'evicted', 'b')), page(2)
    )
    assert table.find('a') == ''
    assert table.find('b') == 's2'
    assert not table.uncertain
    assert engine.starts == [0, 2]


def test_late_store_does_not_replace_a_later_placement():
    table, _ = watch(page(2, (0, 'stored', 'b'), (1, 'stored', 'c')))
    assert table.find('b') == 's2'
    assert table.find('c') == 's1'


@pytest.mark.parametrize('restarted', [False, True])
def test_gap_is_uncertain_and_a_restart_empties_the_cache(restarted):
    second = page(0) if restarted else page(9, missed=True)
    table, _ = watch(page(5), second)
    assert table.uncertain is not restarted
    assert table.find('a') == ('' if restarted else 's1')
    assert table.find('b') == 's2'
