"""Tests of telling a server crash from a single broken connection."""

import asyncio

from arbutusvale import errors
from arbutusvale.coordination import crash_exchange
from arbutusvale.coordination import crash_tracker
from arbutusvale.protocol import proxying
from arbutusvale.state import crash_evidence
from tests import helpers_edge


class FakeConnectionPool:
    def __init__(self, crashed_ids, refuses=True):
        self.crashed_ids = crashed_ids
        self.refuses = refuses
        self.opened = 0
        self.has_witness = False

    async def acquire(self, server, fresh, timeout_s):
        return self  # An idle connection that is still thought to be open.

    async def open(self, server, timeout_s):
        self.opened += 1
        await asyncio.sleep(0)
        if server.id in self.crashed_ids:
            raise errors.ServerFailed('away', False, self.refuses)
        return self

    def release(self, server, connection, keep_alive_s):
        pass

    def has_open_since(self, server, opened_by):
        return self.has_witness


def make_tracker(crashed_ids):
    clock = helpers_edge.Clock()
    pool = FakeConnectionPool(crashed_ids)
    exchange = crash_exchange.CrashExchange(
        '10.0.0.1', crash_evidence.CrashEvidence(clock), list, clock
    )
    tracker = crash_tracker.CrashTracker(
        exchange, pool, helpers_edge.Events(), clock, list
    )
    return clock, pool, tracker


def make_suspects(fingerprint, *parts):
    prompt = tuple(proxying.PromptPart(part, 9) for part in (*parts, 'own'))
    metadata = proxying.RequestMetadata(
        'id', 'host', '', None, None, '', 'm', prompt, ''
    )
    return crash_tracker.list_suspects([fingerprint], 'acme', metadata)


async def break_connections(tracker, server_id, *requests):
    server = helpers_edge.make_server(server_id)
    for suspects in requests:
        tracker.record_broken_connection(server, suspects, tracker.clock())
    for _ in range(5):
        await asyncio.sleep(0)


def test_two_crashes_quarantine_a_request_and_one_does_not():
    async def run():
        _, _, tracker = make_tracker({'a', 'b'})
        await break_connections(
            tracker, 'a', make_suspects(b'poison'), make_suspects(b'bystander')
        )
        assert not tracker.is_quarantined(make_suspects(b'poison'))
        await break_connections(tracker, 'b', make_suspects(b'poison'))
        assert tracker.is_quarantined(make_suspects(b'poison'))
        assert not tracker.is_quarantined(make_suspects(b'bystander'))

    asyncio.run(run())


def test_a_server_that_accepts_a_connection_has_not_crashed():
    async def run():
        _, pool, tracker = make_tracker(set())
        for server_id in ('a', 'b', 'c'):
            await break_connections(
                tracker, server_id, make_suspects(b'unlucky')
            )
        assert not tracker.is_quarantined(make_suspects(b'unlucky'))
        assert pool.opened == 3

    asyncio.run(run())


def test_a_crash_counts_once_for_all_connections_it_broke():
    async def run():
        _, pool, tracker = make_tracker({'a'})
        await break_connections(
            tracker,
            'a',
            make_suspects(b'x'),
            make_suspects(b'y'),
            make_suspects(b'x'),
        )
        assert pool.opened == 1
        await break_connections(tracker, 'a', make_suspects(b'x'))
        assert not tracker.is_quarantined(make_suspects(b'x'))

    asyncio.run(run())


def test_a_completed_request_is_cleared():
    async def run():
        _, _, tracker = make_tracker({'a', 'b'})
        await break_connections(tracker, 'a', make_suspects(b'x'))
        tracker.record_completion(make_suspects(b'x'), tracker.clock())
        await break_connections(tracker, 'b', make_suspects(b'x'))
        assert not tracker.is_quarantined(make_suspects(b'x'))

    asyncio.run(run())


def test_server_that_cannot_be_reached_has_not_crashed():
    """A cut path or a full queue of connections shows as silence."""

    async def run():
        _, pool, tracker = make_tracker({'a', 'b'})
        pool.refuses = False
        for server_id in ('a', 'b'):
            await break_connections(tracker, server_id, make_suspects(b'x'))
        assert not tracker.is_quarantined(make_suspects(b'x'))
        assert not tracker.evidence.crashes

    asyncio.run(run())


def test_request_whose_caller_left_is_a_suspect_of_a_crash_soon_after():
    async def run():
        clock, pool, tracker = make_tracker(set())
        server = helpers_edge.make_server('a')
        tracker.record_abandoned(server, make_suspects(b'x'), tracker.clock())
        await asyncio.sleep(0.01)
        assert not tracker.evidence.crashes
        clock.now += crash_tracker.WATCH_INTERVAL_S
        pool.crashed_ids.add('a')
        await asyncio.sleep(crash_tracker.WATCH_INTERVAL_S + 0.05)
        assert tracker.evidence.is_suspect(make_suspects(b'x')[0])
        assert not tracker.abandoned_by_server

    asyncio.run(run())


def test_server_with_a_connection_from_before_is_not_probed():
    async def run():
        clock, pool, tracker = make_tracker(set())
        pool.has_witness = True
        server = helpers_edge.make_server('a')
        tracker.record_abandoned(server, make_suspects(b'x'), tracker.clock())
        await asyncio.sleep(0.01)
        clock.now += crash_tracker.WATCH_S + 0.1
        await asyncio.sleep(crash_tracker.WATCH_INTERVAL_S + 0.05)
        assert pool.opened == 0
        assert not tracker.abandoned_by_server

    asyncio.run(run())


def test_crash_that_a_router_notices_late_counts_once():
    """As one that was frozen, or whose caller reads slowly."""

    async def run():
        clock, _, tracker = make_tracker({'a'})
        server = helpers_edge.make_server('a')
        sent_at = clock.now
        clock.now += 0.1
        tracker.evidence.add('a/1', clock.now, make_suspects(b'x'))
        clock.now += 2.0
        tracker.record_broken_connection(server, make_suspects(b'x'), sent_at)
        await asyncio.sleep(0.01)
        assert len(tracker.evidence.crashes) == 1
        tracker.record_broken_connection(
            server, make_suspects(b'x'), clock.now
        )
        await asyncio.sleep(0.01)
        assert len(tracker.evidence.crashes) == 2

    asyncio.run(run())


def test_no_server_is_watched_once_the_process_ends():
    """Its requests are cancelled then, as if their callers had left."""

    async def run():
        _, _, tracker = make_tracker(set())
        tracker.stop()
        tracker.record_abandoned(
            helpers_edge.make_server('a'),
            make_suspects(b'x'),
            tracker.clock(),
        )
        assert len(asyncio.all_tasks()) == 1

    asyncio.run(run())


def test_answer_that_a_frozen_router_reads_late_clears_no_crash_since():
    async def run():
        clock, _, tracker = make_tracker(set())
        suspects = make_suspects(b'x')
        sent_at = clock.now
        clock.now += 1.0
        for number in range(3):
            tracker.evidence.add(f'e{number}/1', clock.now, suspects)
        clock.now += 2.0
        tracker.record_completion(suspects, sent_at)
        assert tracker.is_quarantined(suspects)
        tracker.record_completion(suspects, clock.now)
        assert not tracker.is_quarantined(suspects)

    asyncio.run(run())


def make_suspects_of(caller, key):
    """Return the digests of one request by its organisation and a key."""
    metadata = proxying.RequestMetadata(
        'id', 'host', '', None, None, '', 'm', (), ''
    )
    fingerprints = [b'read of ' + name for name in (caller, key)]
    return crash_tracker.list_suspects(fingerprints, 'acme', metadata)


def test_success_under_one_key_leaves_the_request_blocked_under_another():
    async def run():
        clock, _, tracker = make_tracker(set())
        first = make_suspects_of(b'acme', b'key-1')
        second = make_suspects_of(b'acme', b'key-2')
        for number in range(3):
            tracker.evidence.add(f'e{number}/1', clock.now, first)
        assert not tracker.admits(second)
        clock.now += 1.0
        tracker.record_completion(first, clock.now)
        assert not tracker.is_quarantined(second)
        assert tracker.admits(second)
        assert tracker.admits(first)

    asyncio.run(run())
