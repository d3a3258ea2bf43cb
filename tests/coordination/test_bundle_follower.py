import asyncio
import contextlib

import numpy as np
import pytest

from arbutusvale.coordination import bundle_follower
from arbutusvale.coordination import head_republisher
from arbutusvale.protocol import messages
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from tests import helpers_bundle as made
from tests import helpers_fakes as fakes

FIRST = made.make_record('v1')
SECOND = made.make_record('v2', signing.digest(FIRST))
RIVAL = made.make_record('v2b', signing.digest(FIRST), 'bia', made.BIA)


def make_follower(log, net=None, name='a', peers=()):
    chain = bundle_chain.BundleChain({'ana': made.ANA.public})
    follower = bundle_follower.BundleFollower(
        log,
        chain,
        net.links_of(name) if net else None,
        lambda: list(peers),
        np.random.default_rng(7),
    )
    if net:
        net.receivers[name] = follower.receive
    return follower


def load(follower, *records):
    """Put records in force without a log."""
    for offset, record in enumerate(records):
        follower.chain.apply(offset, record)
        follower._put_in_force()


@contextlib.asynccontextmanager
async def running(*followers):
    tasks = [asyncio.create_task(each.run()) for each in followers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@fakes.asynchronous
async def test_new_records_reach_the_listeners_in_order():
    log = fakes.FakeLog()
    follower = make_follower(log)
    seen = []
    follower.listeners.append(lambda head: seen.append(head.version))
    async with running(follower):
        assert not follower.first_loaded.is_set()
        for record in (FIRST, RIVAL, SECOND):
            await log.append('config', record)
        await fakes.wait_for(lambda: len(seen) == 2)
    assert seen == ['v1', 'v2b']
    assert follower.first_loaded.is_set()


@fakes.asynchronous
async def test_head_is_restated_after_a_rejected_signed_record(monkeypatch):
    monkeypatch.setattr(head_republisher, 'REJECTED_WAIT_S', 0.05)
    log = fakes.FakeLog()
    followers = [make_follower(log, name=n) for n in 'ab']
    async with running(*followers):
        for record in (FIRST, SECOND, RIVAL):
            await log.append('config', record)
        await fakes.wait_for(
            lambda: all(f.head and f.head.offset > 2 for f in followers)
        )
    assert log.streams['config'][3].data == SECOND


@fakes.asynchronous
async def test_process_started_in_an_outage_gets_the_head_from_a_peer():
    log = fakes.FakeLog()
    net = fakes.FakeNet()
    old = make_follower(log, net, 'old', ['new'])
    new = make_follower(log, net, 'new', ['old'])
    async with running(old):
        await log.append('config', FIRST)
        await old.first_loaded.wait()
        log.down = True
        async with running(new):
            await asyncio.wait_for(new.first_loaded.wait(), 5)
    assert new.head == old.head


@fakes.asynchronous
async def test_process_that_reaches_neither_log_nor_peer_is_not_loaded():
    log = fakes.FakeLog()
    log.down = True
    follower = make_follower(log, fakes.FakeNet(), 'a', ['gone'])
    async with running(follower):
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(follower.first_loaded.wait(), 0.5)
    assert follower.head is None


@fakes.asynchronous
async def test_catch_up_asks_the_peer_while_the_log_is_down():
    log = fakes.FakeLog()
    net = fakes.FakeNet()
    ahead = make_follower(log, net, 'ahead')
    behind = make_follower(log, net, 'behind')
    load(ahead, FIRST, SECOND)
    load(behind, FIRST)
    log.down = True
    assert await behind.catch_up(1, 'ahead')
    assert behind.head.version == 'v2'


@fakes.asynchronous
async def test_lower_head_of_a_peer_is_answered_and_mended():
    log = fakes.FakeLog()
    net = fakes.FakeNet()
    ahead = make_follower(log, net, 'ahead')
    behind = make_follower(log, net, 'behind')
    load(ahead, FIRST, SECOND)
    load(behind, FIRST)
    link = fakes.FakeLink(net, 'behind', 'ahead')
    link.send(messages.BundleHead(0))
    await fakes.wait_for(lambda: behind.head.version == 'v2')


@fakes.asynchronous
async def test_forged_copy_of_a_peer_changes_nothing():
    follower = make_follower(fakes.FakeLog())
    forged = made.make_record('v9', b'', 'ana', made.BIA)
    taken = await follower.receive(None, messages.BundleCopy(1, 9, forged))
    assert taken
    assert follower.head is None


@fakes.asynchronous
async def test_messages_for_other_parts_are_left_alone():
    follower = make_follower(fakes.FakeLog())
    assert not await follower.receive(None, messages.Pong(0))


@fakes.asynchronous
async def test_head_is_appended_again_before_it_expires(monkeypatch):
    monkeypatch.setattr(bundle_follower, 'POLL_WAIT_S', 0.05)
    log = fakes.FakeLog(retention=1.0)
    followers = [make_follower(log, name=n) for n in 'abc']
    async with running(*followers):
        await log.append('config', FIRST)
        await fakes.wait_for(
            lambda: all(f.head and f.head.offset > 0 for f in followers)
        )
    assert {record.data for record in log.streams['config']} == {FIRST}
    assert len(log.streams['config']) <= 1 + len(followers)


@fakes.asynchronous
async def test_reader_of_a_cut_log_settles_on_the_restated_head(monkeypatch):
    monkeypatch.setattr(head_republisher, 'SETTLE_S', 0.2)
    monkeypatch.setattr(bundle_follower, 'POLL_WAIT_S', 0.05)
    log = fakes.FakeLog()
    for record in (FIRST, SECOND, RIVAL, SECOND):
        await log.append('config', record)
    log.oldest['config'] = 2
    follower = make_follower(log)
    async with running(follower):
        await asyncio.wait_for(follower.first_loaded.wait(), 5)
    assert follower.head.version == 'v2'
    assert follower.head.offset == 3


@fakes.asynchronous
async def test_reader_behind_the_retention_reads_on_from_the_oldest():
    log = fakes.FakeLog()
    follower = make_follower(log)
    load(follower, FIRST)
    for record in (FIRST, SECOND, SECOND):
        await log.append('config', record)
    log.oldest['config'] = 2
    async with running(follower):
        await fakes.wait_for(lambda: follower.head.version == 'v2')
    assert follower.head.offset == 2


@fakes.asynchronous
async def test_slow_log_is_waited_for_longer(monkeypatch):
    monkeypatch.setattr(bundle_follower, 'POLL_MARGIN_S', 0.05)
    monkeypatch.setattr(bundle_follower, 'POLL_WAIT_S', 0.05)
    log = fakes.FakeLog()
    log.delay = 0.3
    follower = make_follower(log)
    async with running(follower):
        await log.append('config', FIRST)
        await fakes.wait_for(lambda: follower.head is not None)
    assert follower.margin > 0.2


@fakes.asynchronous
async def test_uncertain_head_is_not_in_force(monkeypatch):
    monkeypatch.setattr(bundle_follower, 'POLL_WAIT_S', 0.05)
    log = fakes.FakeLog()
    for record in (FIRST, SECOND, RIVAL):
        await log.append('config', record)
    log.oldest['config'] = 1
    follower = make_follower(log)
    async with running(follower):
        await fakes.wait_for(lambda: follower.chain.has_conflict)
        assert follower.head is None
        await log.append('config', SECOND)
        monkeypatch.setattr(head_republisher, 'SETTLE_S', 0.1)
        await asyncio.wait_for(follower.first_loaded.wait(), 5)
    assert follower.head.version == 'v2'
