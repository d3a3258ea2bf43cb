"""A crash is told from a broken connection by connecting once more."""

import asyncio

from arbutusvale import errors
from arbutusvale.coordination import crashtracker
from arbutusvale.state import suspects
from tests import helpers_edge


class Connector:
    def __init__(self, down):
        self.down = down
        self.opened = 0

    async def acquire(self, server, fresh, timeout_s):
        self.opened += 1
        await asyncio.sleep(0)
        if server.id in self.down:
            raise errors.ServerFailed('refused', False)
        return self

    def release(self, server, link, keep_alive_s):
        pass


def make(down):
    clock = helpers_edge.Clock()
    connector = Connector(down)
    watch = crashtracker.CrashTracker(
        suspects.SuspectTable(clock), connector, helpers_edge.Events(), clock
    )
    return clock, connector, watch


async def break_off(watch, server_id, *fingerprints):
    server = helpers_edge.make_server(server_id)
    for fingerprint in fingerprints:
        watch.record_broken_connection(server, fingerprint)
    for _ in range(5):
        await asyncio.sleep(0)


def test_a_second_crash_quarantines_and_one_does_not():
    async def run():
        _, _, watch = make({'a', 'b'})
        await break_off(watch, 'a', b'poison', b'bystander')
        assert not watch.is_quarantined(b'poison')
        await break_off(watch, 'b', b'poison')
        assert watch.is_quarantined(b'poison')
        assert not watch.is_quarantined(b'bystander')

    asyncio.run(run())


def test_a_server_that_still_takes_connections_has_not_crashed():
    async def run():
        _, connector, watch = make(set())
        for server_id in ('a', 'b', 'c'):
            await break_off(watch, server_id, b'unlucky')
        assert not watch.is_quarantined(b'unlucky')
        assert connector.opened == 3

    asyncio.run(run())


def test_a_crash_is_counted_once_for_all_that_it_broke_off():
    async def run():
        _, connector, watch = make({'a'})
        await break_off(watch, 'a', b'x', b'y', b'x')
        assert connector.opened == 1
        await break_off(watch, 'a', b'x')
        assert not watch.is_quarantined(b'x')

    asyncio.run(run())


def test_a_request_that_ran_to_its_end_is_trusted():
    async def run():
        _, _, watch = make({'a', 'b'})
        await break_off(watch, 'a', b'x')
        watch.record_completion(b'x')
        await break_off(watch, 'b', b'x')
        assert not watch.is_quarantined(b'x')

    asyncio.run(run())
