import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import fleet
from arbutusvale.transport import link_listener
from arbutusvale.transport import link_pool

FLEET_KEY = 'a key of the whole fleet'


class RecordingHandler:
    def __init__(self):
        self.messages = asyncio.Queue()
        self.closed = asyncio.Event()
        self.links = []

    async def receive(self, link, message):
        self.links.append(link)
        self.messages.put_nowait(message)

    async def on_link_closed(self, link):
        self.closed.set()


async def start_listener(handler, vm='s-1', **options):
    listener = link_listener.LinkListener(
        listen='127.0.0.1:0',
        vm=vm,
        incarnation=7,
        role='sidecar',
        fleet_key=FLEET_KEY,
        handler=handler,
        **options,
    )
    await listener.start()
    return listener


def make_pool(handler, port, key=FLEET_KEY, vm='s-1'):
    known_vms = fleet.Fleet()
    address = f'127.0.0.1:{port}'
    known_vms.replace(
        [ports.Vm(vm, 'sidecar', address, '', 'dc-1', 'pool', 'live')]
    )
    return link_pool.LinkPool(
        fleet=known_vms,
        vm='r-1',
        incarnation=3,
        role='router',
        fleet_key=key,
        handler=handler,
    )


def test_messages_arrive_in_order_both_ways():
    async def scenario():
        remote_handler, local_handler = RecordingHandler(), RecordingHandler()
        listener = await start_listener(remote_handler)
        pool = make_pool(local_handler, listener.port)
        link = await pool.get('s-1')
        assert (link.vm, link.incarnation) == ('s-1', 7)
        assert await pool.get('s-1') is link
        for number in range(100):
            link.send(messages.Chunk('a', number, b'x'))
        received = [await remote_handler.messages.get() for _ in range(100)]
        assert [chunk.number for chunk in received] == list(range(100))
        reverse_link = remote_handler.links[0]
        assert (
            reverse_link.vm,
            reverse_link.incarnation,
            reverse_link.role,
        ) == ('r-1', 3, 'router')
        reverse_link.send(messages.Cancel('a'))
        assert await local_handler.messages.get() == messages.Cancel('a')
        sent = pool.counters.sent
        assert sent.by_kind['Chunk'] == 100
        assert sent.frames < 10
        assert sent.control_by_kind['Hello'] == sent.control_bytes
        pool.drop('s-1')
        await asyncio.wait_for(remote_handler.closed.wait(), 5)
        await listener.stop()
        await pool.stop()

    asyncio.run(scenario())


def test_a_ping_is_answered():
    async def scenario():
        local_handler = RecordingHandler()
        listener = await start_listener(RecordingHandler())
        pool = make_pool(local_handler, listener.port)
        link = await pool.get('s-1')
        link.send(messages.Ping(4))
        pong = await asyncio.wait_for(local_handler.messages.get(), 5)
        assert pong == messages.Pong(4)
        await pool.stop()
        await listener.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('key', 'vm', 'cause'),
    [
        ('some other key of a fleet', 's-1', 'fleet key differs'),
        (FLEET_KEY, 's-2', 's-1 answered'),
    ],
)
def test_link_is_rejected_if_key_or_vm_differs(key, vm, cause):
    async def scenario():
        listener = await start_listener(RecordingHandler())
        pool = make_pool(RecordingHandler(), listener.port, key, vm)
        with pytest.raises(errors.LinkClosed, match=cause):
            await pool.get(vm)
        assert not listener.links
        await listener.stop()

    asyncio.run(scenario())


def test_a_full_send_queue_closes_the_link():
    async def scenario():
        listener = await start_listener(RecordingHandler())
        pool = make_pool(RecordingHandler(), listener.port)
        link = await pool.get('s-1')
        with pytest.raises(errors.LinkClosed, match='queue is full'):
            for number in range(10**6):
                link.send(messages.Chunk('a', number, bytes(1024)))
        assert link.closed
        assert await pool.get('s-1') is not link
        await pool.stop()
        await listener.stop()

    asyncio.run(scenario())


def test_listener_closes_a_link_without_traffic():
    async def scenario():
        remote_handler = RecordingHandler()
        listener = await start_listener(remote_handler, idle_timeout_s=0.05)
        pool = make_pool(RecordingHandler(), listener.port)
        await pool.get('s-1')
        await asyncio.wait_for(remote_handler.closed.wait(), 5)
        assert not listener.links
        await pool.stop()
        await listener.stop()

    asyncio.run(scenario())


def test_pool_closes_an_idle_link_and_reopens_it():
    async def scenario():
        listener = await start_listener(RecordingHandler())
        pool = make_pool(RecordingHandler(), listener.port)
        link = await pool.get('s-1')
        pool.close_idle(link.last_used_at + pool.idle_timeout_s / 2)
        assert await pool.get('s-1') is link
        pool.close_idle(link.last_used_at + pool.idle_timeout_s * 2)
        assert await pool.get('s-1') is not link
        await pool.stop()
        await listener.stop()

    asyncio.run(scenario())
