import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import fleet
from arbutusvale.transport import link_listener
from arbutusvale.transport import link_pool

KEY = 'a key of the whole fleet'


class Recorder:
    def __init__(self):
        self.messages = asyncio.Queue()
        self.closed = asyncio.Event()
        self.links = []

    async def receive(self, link, message):
        self.links.append(link)
        self.messages.put_nowait(message)

    async def on_link_closed(self, link):
        self.closed.set()


async def start(handler, vm='s-1', **options):
    server = link_listener.LinkListener(
        listen='127.0.0.1:0',
        vm=vm,
        incarnation=7,
        role='sidecar',
        fleet_key=KEY,
        handler=handler,
        **options,
    )
    await server.start()
    return server


def make_pool(handler, port, key=KEY, vm='s-1'):
    known = fleet.Fleet()
    address = f'127.0.0.1:{port}'
    known.replace(
        [ports.Vm(vm, 'sidecar', address, '', 'dc-1', 'pool', 'live')]
    )
    return link_pool.LinkPool(
        fleet=known,
        vm='r-1',
        incarnation=3,
        role='router',
        fleet_key=key,
        handler=handler,
    )


def test_messages_arrive_in_order_both_ways():
    async def scenario():
        there, here = Recorder(), Recorder()
        server = await start(there)
        pool = make_pool(here, server.port)
        link = await pool.get('s-1')
        assert (link.vm, link.incarnation) == ('s-1', 7)
        assert await pool.get('s-1') is link
        for number in range(100):
            link.send(messages.Chunk('a', number, b'x'))
        got = [await there.messages.get() for _ in range(100)]
        assert [chunk.number for chunk in got] == list(range(100))
        back = there.links[0]
        assert (back.vm, back.incarnation, back.role) == ('r-1', 3, 'router')
        back.send(messages.Cancel('a'))
        assert await here.messages.get() == messages.Cancel('a')
        sent = pool.counters.sent
        assert sent.by_kind['Chunk'] == 100
        assert sent.frames < 10
        assert sent.control_by_kind['Hello'] == sent.control_bytes
        pool.drop('s-1')
        await asyncio.wait_for(there.closed.wait(), 5)
        await server.stop()
        await pool.stop()

    asyncio.run(scenario())


def test_a_ping_is_answered():
    async def scenario():
        here = Recorder()
        server = await start(Recorder())
        pool = make_pool(here, server.port)
        link = await pool.get('s-1')
        link.send(messages.Ping(4))
        pong = await asyncio.wait_for(here.messages.get(), 5)
        assert pong == messages.Pong(4)
        await pool.stop()
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('key', 'vm', 'cause'),
    [
        ('some other key of a fleet', 's-1', 'fleet key differs'),
        (KEY, 's-2', 's-1 answered'),
    ],
)
def test_a_stranger_gets_no_link(key, vm, cause):
    async def scenario():
        server = await start(Recorder())
        pool = make_pool(Recorder(), server.port, key, vm)
        with pytest.raises(errors.LinkClosed, match=cause):
            await pool.get(vm)
        assert not server.links
        await server.stop()

    asyncio.run(scenario())


def test_an_overfull_queue_closes_the_link():
    async def scenario():
        server = await start(Recorder())
        pool = make_pool(Recorder(), server.port)
        link = await pool.get('s-1')
        with pytest.raises(errors.LinkClosed, match='queue is full'):
            for number in range(10**6):
                link.send(messages.Chunk('a', number, bytes(1024)))
        assert link.closed
        assert await pool.get('s-1') is not link
        await pool.stop()
        await server.stop()

    asyncio.run(scenario())


def test_a_link_whose_other_side_is_gone_is_closed():
    async def scenario():
        there = Recorder()
        server = await start(there, idle_timeout_s=0.05)
        pool = make_pool(Recorder(), server.port)
        await pool.get('s-1')
        await asyncio.wait_for(there.closed.wait(), 5)
        assert not server.links
        await pool.stop()
        await server.stop()

    asyncio.run(scenario())


def test_an_idle_link_is_closed_and_opened_again():
    async def scenario():
        server = await start(Recorder())
        pool = make_pool(Recorder(), server.port)
        link = await pool.get('s-1')
        pool.close_idle(link.used_at + pool.idle_timeout_s / 2)
        assert await pool.get('s-1') is link
        pool.close_idle(link.used_at + pool.idle_timeout_s * 2)
        assert await pool.get('s-1') is not link
        await pool.stop()
        await server.stop()

    asyncio.run(scenario())
