import asyncio
import contextlib

import numpy as np
import pytest

from arbutusvale.coordination import bundle_follower
from arbutusvale.coordination import head_republisher
from arbutusvale.protocol import messages
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from tests import helpers_bundle as helpers
from tests import helpers_fakes as fakes

FIRST = helpers.make_record('v1')
SECOND = helpers.make_record('v2', signing.digest(FIRST))
COMPETING = helpers.make_record(
    'v2b', signing.digest(FIRST), 'bia', helpers.BIA
)


def make_follower(log, net=None, name='a', peers=()):
    chain = bundle_chain.BundleChain({'ana': helpers.ANA.public})
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


def activate(follower, *records):
    """Make the last record the active bundle, without a log."""
    for offset, record in enumerate(records):
        follower.chain.apply(offset, record)
        follower._activate_head()


@contextlib.asynccontextmanager
async def running(*followers):
    tasks = [asyncio.create_task(follower.run()) for follower in followers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@fakes.asynchronous
async def test_listeners_receive_accepted_bundles_in_log_order():
    log = fakes.FakeLog()
    follower = make_follower(log)
    seen = []
    follower.listeners.append(lambda head: seen.append(head.version))
    async with running(follower):
        assert not follower.first_loaded.is_set()
        for record in (FIRST, COMPETING, SECOND):
            await log.append('config', record)
        await fakes.wait_for(lambda: len(seen) == 2)
    assert seen == ['v1', 'v2b']
    assert follower.first_loaded.is_set()


@fakes.asynchronous
async def test_head_is_republished_after_a_rejected_signed_record(monkeypatch):
    monkeypatch.setattr(head_republisher, 'MAX_WAIT_AFTER_REJECTION_S', 0.05)
    log = fakes.FakeLog()
    followers = [make_follower(log, name=n) for n in 'ab']
    async with running(*followers):
        for record in (FIRST, SECOND, COMPETING):
            await log.append('config', record)
        await fakes.wait_for(
            lambda: all(f.head and f.head.offset > 2 for f in followers)
        )
    assert log.streams['config'][3].data == SECOND


@fakes.asynchronous
async def test_process_started_in_a_log_outage_gets_the_head_from_a_peer():
    log = fakes.FakeLog()
    net = fakes.FakeNet()
    running_peer = make_follower(log, net, 'old', ['new'])
    started_peer = make_follower(log, net, 'new', ['old'])
    async with running(running_peer):
        await log.append('config', FIRST)
        await running_peer.first_loaded.wait()
        log.down = True
        async with running(started_peer):
            await asyncio.wait_for(started_peer.first_loaded.wait(), 5)
    assert started_peer.head == running_peer.head


@fakes.asynchronous
async def test_process_that_reaches_neither_log_nor_peer_has_no_bundle():
    log = fakes.FakeLog()
    log.down = True
    follower = make_follower(log, fakes.FakeNet(), 'a', ['gone'])
    async with running(follower):
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(follower.first_loaded.wait(), 0.5)
    assert follower.head is None


@fakes.asynchronous
async def test_catch_up_fetches_from_the_peer_while_the_log_is_down():
    log = fakes.FakeLog()
    net = fakes.FakeNet()
    peer_ahead = make_follower(log, net, 'ahead')
    peer_behind = make_follower(log, net, 'behind')
    activate(peer_ahead, FIRST, SECOND)
    activate(peer_behind, FIRST)
    log.down = True
    assert await peer_behind.catch_up(1, 'ahead')
    assert peer_behind.head.version == 'v2'


@fakes.asynchronous
async def test_peer_that_announces_an_older_head_is_brought_up_to_date():
    log = fakes.FakeLog()
    net = fakes.FakeNet()
    peer_ahead = make_follower(log, net, 'ahead')
    peer_behind = make_follower(log, net, 'behind')
    activate(peer_ahead, FIRST, SECOND)
    activate(peer_behind, FIRST)
    link = fakes.FakeLink(net, 'behind', 'ahead')
    link.send(messages.BundleHead(0))
    await fakes.wait_for(lambda: peer_behind.head.version == 'v2')


@fakes.asynchronous
async def test_peer_copy_with_a_forged_signature_is_ignored():
    follower = make_follower(fakes.FakeLog())
    forged = helpers.make_record('v9', b'', 'ana', helpers.BIA)
    handled = await follower.receive(None, messages.BundleCopy(1, 9, forged))
    assert handled
    assert follower.head is None


@fakes.asynchronous
async def test_unrelated_messages_are_not_handled():
    follower = make_follower(fakes.FakeLog())
    assert not await follower.receive(None, messages.Pong(0))


@fakes.asynchronous
async def test_head_is_republished_before_it_expires(monkeypatch):
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
async def test_follower_of_a_truncated_log_anchors_at_republished_head(
    monkeypatch,
):
    monkeypatch.setattr(head_republisher, 'CONFLICT_WAIT_S', 0.2)
    monkeypatch.setattr(bundle_follower, 'POLL_WAIT_S', 0.05)
    log = fakes.FakeLog()
    for record in (FIRST, SECOND, COMPETING, SECOND):
        await log.append('config', record)
    log.oldest['config'] = 2
    follower = make_follower(log)
    async with running(follower):
        await asyncio.wait_for(follower.first_loaded.wait(), 5)
    assert follower.head.version == 'v2'
    assert follower.head.offset == 3


@fakes.asynchronous
async def test_follower_behind_the_retention_continues_at_the_oldest():
    log = fakes.FakeLog()
    follower = make_follower(log)
    activate(follower, FIRST)
    for record in (FIRST, SECOND, SECOND):
        await log.append('config', record)
    log.oldest['config'] = 2
    async with running(follower):
        await fakes.wait_for(lambda: follower.head.version == 'v2')
    assert follower.head.offset == 2


@fakes.asynchronous
async def test_read_timeout_grows_while_the_log_is_slow(monkeypatch):
    monkeypatch.setattr(bundle_follower, 'POLL_MARGIN_S', 0.05)
    monkeypatch.setattr(bundle_follower, 'POLL_WAIT_S', 0.05)
    log = fakes.FakeLog()
    log.delay = 0.3
    follower = make_follower(log)
    async with running(follower):
        await log.append('config', FIRST)
        await fakes.wait_for(lambda: follower.head is not None)
    assert follower.poll_margin_s > 0.2


@fakes.asynchronous
async def test_conflicting_head_is_not_active_until_it_is_confirmed(
    monkeypatch,
):
    monkeypatch.setattr(bundle_follower, 'POLL_WAIT_S', 0.05)
    log = fakes.FakeLog()
    for record in (FIRST, SECOND, COMPETING):
        await log.append('config', record)
    log.oldest['config'] = 1
    follower = make_follower(log)
    async with running(follower):
        await fakes.wait_for(lambda: follower.chain.has_conflict)
        assert follower.head is None
        await log.append('config', SECOND)
        monkeypatch.setattr(head_republisher, 'CONFLICT_WAIT_S', 0.1)
        await asyncio.wait_for(follower.first_loaded.wait(), 5)
    assert follower.head.version == 'v2'
