"""Tests of telling a server crash from a single broken connection."""

import asyncio

from arbutusvale import errors
from arbutusvale.coordination import crash_tracker
from arbutusvale.state import suspects
from tests import helpers_edge


class FakeConnectionPool:
    def __init__(self, crashed_ids):
        self.crashed_ids = crashed_ids
        self.opened = 0

    async def acquire(self, server, fresh, timeout_s):
        self.opened += 1
        await asyncio.sleep(0)
        if server.id in self.crashed_ids:
            raise errors.ServerFailed('refused', False)
        return self

    def release(self, server, connection, keep_alive_s):
        pass


def make_tracker(crashed_ids):
    clock = helpers_edge.Clock()
    pool = FakeConnectionPool(crashed_ids)
    tracker = crash_tracker.CrashTracker(
        suspects.SuspectTable(clock), pool, helpers_edge.Events(), clock
    )
    return clock, pool, tracker


async def break_connections(tracker, server_id, *fingerprints):
    server = helpers_edge.make_server(server_id)
    for fingerprint in fingerprints:
        tracker.record_broken_connection(server, fingerprint)
    for _ in range(5):
        await asyncio.sleep(0)


def test_two_crashes_quarantine_a_request_and_one_does_not():
    async def run():
        _, _, tracker = make_tracker({'a', 'b'})
        await break_connections(tracker, 'a', b'poison', b'bystander')
        assert not tracker.is_quarantined(b'poison')
        await break_connections(tracker, 'b', b'poison')
        assert tracker.is_quarantined(b'poison')
        assert not tracker.is_quarantined(b'bystander')

    asyncio.run(run())


def test_a_server_that_accepts_a_connection_has_not_crashed():
    async def run():
        _, pool, tracker = make_tracker(set())
        for server_id in ('a', 'b', 'c'):
            await break_connections(tracker, server_id, b'unlucky')
        assert not tracker.is_quarantined(b'unlucky')
        assert pool.opened == 3

    asyncio.run(run())


def test_a_crash_counts_once_for_all_connections_it_broke():
    async def run():
        _, pool, tracker = make_tracker({'a'})
        await break_connections(tracker, 'a', b'x', b'y', b'x')
        assert pool.opened == 1
        await break_connections(tracker, 'a', b'x')
        assert not tracker.is_quarantined(b'x')

    asyncio.run(run())


def test_a_completed_request_is_cleared():
    async def run():
        _, _, tracker = make_tracker({'a', 'b'})
        await break_connections(tracker, 'a', b'x')
        tracker.record_completion(b'x')
        await break_connections(tracker, 'b', b'x')
        assert not tracker.is_quarantined(b'x')

    asyncio.run(run())
