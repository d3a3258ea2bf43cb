import asyncio

import pytest

from arbutusvale.coordination import cache_event_follower
from arbutusvale.protocol import ports
from arbutusvale.state import directory


class FakeEngine:
    def __init__(self, pages):
        self.pages = pages
        self.starts = []

    async def read_cache_events(self, start, wait):
        self.starts.append(start)
        return self.pages.pop(0)


def make_page(next_number, *events, missed=False):
    cache_events = [ports.CacheEvent(*event) for event in events]
    return ports.CacheEventPage(cache_events, next_number, missed)


def follow_events(*pages):
    cache_directory = directory.Directory(10)
    cache_directory.record('a', 's1')
    cache_directory.record('b', 's2')
    engine = FakeEngine(list(pages))
    follower = cache_event_follower.CacheEventFollower(
        's1', engine, cache_directory
    )

    async def read_all():
        while engine.pages:
            await follower.read_page(0.0)

    asyncio.run(read_all())
    return cache_directory, engine


def test_eviction_removes_only_entries_of_this_vm():
    cache_directory, engine = follow_events(
        make_page(2, (0, 'evicted', 'a'), (1, 'evicted', 'b')), make_page(2)
    )
    assert cache_directory.find('a') == ''
    assert cache_directory.find('b') == 's2'
    assert not cache_directory.may_be_stale
    assert engine.starts == [0, 2]


def test_late_stored_event_does_not_replace_a_later_placement():
    cache_directory, _ = follow_events(
        make_page(2, (0, 'stored', 'b'), (1, 'stored', 'c'))
    )
    assert cache_directory.find('b') == 's2'
    assert cache_directory.find('c') == 's1'


@pytest.mark.parametrize('restarted', [False, True])
def test_missed_events_mark_uncertainty_and_a_restart_drops_entries(restarted):
    second = make_page(0) if restarted else make_page(9, missed=True)
    cache_directory, _ = follow_events(make_page(5), second)
    assert cache_directory.may_be_stale is not restarted
    assert cache_directory.find('a') == ('' if restarted else 's1')
    assert cache_directory.find('b') == 's2'
