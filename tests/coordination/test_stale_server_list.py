"""Streams taken up at a router whose server list is out of step."""

import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.coordination import log_follower
from arbutusvale.coordination import server_view
from arbutusvale.coordination import stream_continuity
from arbutusvale.platform import records
from arbutusvale.protocol import keyed_log
from arbutusvale.state import server_list
from arbutusvale.state import stream_origins
from tests import helpers_edge
from tests import helpers_log
from tests.coordination import test_edge_placement
from tests.coordination import test_stream_continuity

APPLY_S = 2.0
BEAT_S = 1.0
WATCHED_S = stream_origins.RETENTION_S + 5.0
ONLY_V1 = stream_continuity.Resumable('v1', 'only-version')


class Log:
    """The log of the servers; while it is cut off, calls hang."""

    def __init__(self):
        self.records = []
        self.changed = asyncio.Event()
        self.is_cut = False
        self.newest_reads = 0
        self.dropped = asyncio.Event()

    def append(self, server_id, version):
        value = version and helpers_edge.make_entry(
            '10.1.0.1:80', Version=version
        )
        self.records.append(
            keyed_log.Record(server_id, value, len(self.records))
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def read_newest(self):
        self.newest_reads += 1
        await self.answer()
        newest = {record.key: record for record in self.records}
        return keyed_log.Page(
            [record for record in newest.values() if record.value],
            len(self.records),
            None,
        )

    async def read_from(self, offset, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                while offset >= len(self.records):
                    changed = asyncio.create_task(self.changed.wait())
                    await self.wait_for(changed)
        except TimeoutError:
            pass
        await self.answer()
        return keyed_log.Page(self.records[offset:], len(self.records), None)

    async def answer(self):
        if self.is_cut:
            await self.wait_for(asyncio.create_task(asyncio.sleep(3600)))
        await asyncio.sleep(0.004)

    async def wait_for(self, task):
        """Wait for a task, or raise once the connection is dropped."""
        dropped = asyncio.create_task(self.dropped.wait())
        done, _ = await asyncio.wait(
            (task, dropped), return_when=asyncio.FIRST_COMPLETED
        )
        task.cancel()
        dropped.cancel()
        if dropped in done:
            raise errors.StoreUnavailable('dropped')

    def disconnect(self):
        self.dropped.set()
        self.dropped = asyncio.Event()

    def is_receiving(self):
        return False


class Router:
    """A router that follows a list; its peers know no stream."""

    def __init__(self, log):
        loop = asyncio.get_running_loop()
        self.log = log
        self.context = test_edge_placement.make_context(0)
        self.context.servers = server_list.ServerList(loop.time)
        self.context.holders.servers = self.context.servers
        self.caches = test_stream_continuity.Caches()
        self.context.holders.survey.caches = self.caches
        view = server_view.ServerView(
            self.context.servers,
            records.read_server,
            helpers_edge.Events(),
            lambda _: None,
        )
        self.follower = log_follower.LogFollower(
            'servers', log, view, helpers_edge.Events(), APPLY_S, loop.time
        )
        self.follower.on_gap = self.context.servers.restart_watch
        self.context.confirm_server_list = self.follower.confirm
        self.task = asyncio.create_task(self.follower.run())

    async def take_up(self):
        return await stream_continuity.find_version(
            self.context, test_stream_continuity.make_take_up()
        )


def play(scenario):
    """Run a scenario with a router that has watched one version for long."""

    async def run():
        log = Log()
        log.append('e1', 'v1')
        router = Router(log)
        beat = asyncio.create_task(renew(log))
        await asyncio.sleep(WATCHED_S)
        try:
            return await scenario(log, router)
        finally:
            beat.cancel()
            router.task.cancel()

    return helpers_log.run_in_virtual_time(run())


async def renew(log):
    while True:
        await asyncio.sleep(BEAT_S)
        log.append('e1', 'v1')


# The stream went on at the only version that the router knew.
@pytest.mark.parametrize('cut_s', [0.1, 0.5, 1.0, 1.9, 3.0, 8.0])
def test_stream_of_a_new_version_is_refused_at_a_router_cut_off(cut_s):
    async def scenario(log, router):
        log.is_cut = True
        log.append('e2', 'v2')
        await asyncio.sleep(cut_s)
        return await router.take_up()

    assert play(scenario) == test_stream_continuity.REFUSED


@pytest.mark.parametrize('since_s', [0.0, 0.2, 0.5, 0.9])
def test_stream_of_a_new_version_goes_on_between_two_reads(since_s):
    async def scenario(log, router):
        log.append('e2', 'v2')
        await asyncio.sleep(since_s)
        router.caches.by_server = {'e2': {('m', 'own0'): 500}}
        return await router.take_up()

    assert play(scenario) == stream_continuity.Resumable('v2', 'engine')


def test_version_that_came_and_left_unseen_is_not_ruled_out():
    async def scenario(log, router):
        log.is_cut = True
        log.append('e2', 'v2')
        await asyncio.sleep(5.0)
        log.append('e2', None)
        await asyncio.sleep(1.0)
        log.is_cut = False
        router.follower.restart_read()
        await asyncio.sleep(3.0)
        results = [await router.take_up()]
        await asyncio.sleep(WATCHED_S)
        return [*results, await router.take_up()]

    assert play(scenario) == [test_stream_continuity.REFUSED, ONLY_V1]


def test_wave_of_take_ups_beside_one_version_costs_one_read():
    async def scenario(log, router):
        before = log.newest_reads
        results = await asyncio.gather(*(router.take_up() for _ in range(50)))
        return set(results), log.newest_reads - before, router.caches.asked

    assert play(scenario) == ({ONLY_V1}, 1, [])
