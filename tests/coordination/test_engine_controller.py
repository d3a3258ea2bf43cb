import asyncio
import contextlib

import pytest

from arbutusvale import errors
from arbutusvale.coordination import engine_controller
from arbutusvale.protocol import bundle
from arbutusvale.protocol import order_records
from arbutusvale.protocol import ports
from arbutusvale.state import bundle_chain
from tests import helpers_fakes as fakes


@pytest.fixture(autouse=True)
def short_polls(monkeypatch):
    monkeypatch.setattr(engine_controller, 'POLL_WAIT_S', 0.05)


class FakeEngine:
    """Hold a version; counts how many of a pool load at once."""

    loading = 0
    peak = 0

    def __init__(self, checks_fencing=True, version='1'):
        self.checks_fencing = checks_fencing
        self.version = version
        self.fence = -1
        self.orders = []
        self.up = True
        self.breaks = False

    async def read_load(self):
        if not self.up:
            raise errors.ServerUnreachable('e', 'refused')
        return ports.EngineLoad(0, 0, 'small', self.version)

    async def healthy(self):
        return self.up

    async def send_command(self, order):
        if self.checks_fencing and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        self.orders.append(order)
        kind = type(self)
        kind.loading += 1
        kind.peak = max(kind.peak, kind.loading)
        await asyncio.sleep(0.02)
        kind.loading -= 1
        if self.breaks:
            self.up = False
            raise errors.ServerResponseError('e', 'crashed')
        if order.kind == 'load_model':
            self.version = order.version
        return True


class FakeWeights:
    """Grant weights after the waits in ``waits`` are used up."""

    def __init__(self, waits=()):
        self.waits = list(waits)
        self.granted = 0

    async def request_weights(self, model, version):
        if self.waits:
            return self.waits.pop(0)
        self.granted += 1
        return 0.0


class FakePause:
    def __init__(self):
        self.paused = False
        self.on_begin = None

    async def begin(self):
        self.paused = True
        if self.on_begin is not None:
            await self.on_begin()

    def end(self):
        self.paused = False


class Wanted:
    """Hold the pool that the bundle in force wants."""

    def __init__(self, version='2', **fields):
        self.change(version, **fields)

    def change(self, version, **fields):
        pool = bundle.Pool(
            policy=bundle.DirectoryPolicy(kind='directory'),
            models=[bundle.Model(name='small', version=version)],
            **fields,
        )
        held = bundle.Bundle(
            version=version,
            organisations={},
            services={},
            pools={'models': pool},
            operators={'ana': '00' * 32},
        )
        self.head = bundle_chain.ActiveBundle(
            0, b'', version, held, b'', 'ana', 'p'
        )


class Fleet:
    """Build keepers that share a log, a bundle and a VM list."""

    def __init__(self, **fields):
        self.log = fakes.FakeLog()
        self.wanted = Wanted(**fields)
        self.weights = FakeWeights()
        self.listed = {'a', 'b', 'c', 'd'}
        FakeEngine.loading = FakeEngine.peak = 0

    def keeper(self, vm, engine):
        return engine_controller.EngineController(
            vm=vm,
            pool='models',
            log=self.log,
            weights=self.weights,
            engine=engine,
            get_head=lambda: self.wanted.head,
            list_vms=lambda: self.listed,
            pause=FakePause(),
        )

    def records(self):
        stream = self.log.streams.get('orders', [])
        return [order_records.decode(record.data) for record in stream]


@contextlib.asynccontextmanager
async def running(*keepers):
    tasks = [asyncio.create_task(keeper.run()) for keeper in keepers]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize('max_unavailable', [1, 2])
@fakes.asynchronous
async def test_version_passes_through_the_pool_in_turns(max_unavailable):
    fleet = Fleet(max_unavailable=max_unavailable)
    engines = [FakeEngine() for _ in 'abcd']
    keepers = [
        fleet.keeper(vm, engine)
        for vm, engine in zip('abcd', engines, strict=True)
    ]
    async with running(*keepers):
        await fakes.wait_for(lambda: all(e.version == '2' for e in engines))
    assert FakeEngine.peak == max_unavailable
    assert [len(engine.orders) for engine in engines] == [1, 1, 1, 1]


@fakes.asynchronous
async def test_engine_that_has_the_version_is_skipped():
    fleet = Fleet()
    old, new = FakeEngine(), FakeEngine(version='2')
    async with running(fleet.keeper('a', new), fleet.keeper('b', old)):
        await fakes.wait_for(lambda: old.version == '2')
    assert not new.orders
    claims = [
        record.vm
        for record in fleet.records()
        if isinstance(record, order_records.TurnClaim)
    ]
    assert claims == ['b']


@fakes.asynchronous
async def test_weight_store_is_asked_again_after_its_wait():
    fleet = Fleet()
    fleet.weights = FakeWeights([0.01, 0.02])
    engine = FakeEngine()
    async with running(fleet.keeper('a', engine)):
        await fakes.wait_for(lambda: engine.version == '2')
    assert fleet.weights.granted == 1
    assert not fleet.weights.waits


async def wake_after_a_newer_sidecar(engine):
    """Pause an old sidecar inside its turn while a newer one starts."""
    fleet = Fleet(checks_fencing=engine.checks_fencing)
    old = fleet.keeper('a', engine)
    woken = asyncio.Event()
    old.pause.on_begin = woken.wait
    async with running(old) as (old_task,):
        await fakes.wait_for(lambda: old.pause.paused)
        new = fleet.keeper('a', engine)
        async with running(new):
            await fakes.wait_for(lambda: engine.version == '2')
            fleet.wanted.change('3', checks_fencing=engine.checks_fencing)
            woken.set()
            await fakes.wait_for(lambda: old_task.done())
            await fakes.wait_for(lambda: engine.version == '3')
    assert {order.fence for order in engine.orders} == {new.log.fence}
    assert old.stopped
    assert not old.pause.paused


@pytest.mark.parametrize('checks_fencing', [True, False])
@fakes.asynchronous
async def test_paused_sidecar_that_wakes_gives_no_order(checks_fencing):
    await wake_after_a_newer_sidecar(FakeEngine(checks_fencing))


@fakes.asynchronous
async def test_checking_engine_refuses_what_slips_through():
    fleet = Fleet(checks_fencing=True)
    engine = FakeEngine()
    engine.fence = 100
    keeper = fleet.keeper('a', engine)
    async with running(keeper) as (task,):
        await fakes.wait_for(lambda: task.done())
    assert keeper.refused
    assert not engine.orders


@fakes.asynchronous
async def test_role_is_ordered_once():
    fleet = Fleet(version='1', role='prefill')
    engine = FakeEngine()
    keeper = fleet.keeper('a', engine)
    await keeper.log.take_number()
    for _ in range(2):
        await keeper.step()
    assert [order.role for order in engine.orders] == ['prefill']


@fakes.asynchronous
async def test_version_that_breaks_its_engine_stops_there():
    fleet = Fleet()
    bad, good = FakeEngine(), FakeEngine()
    bad.breaks = True
    first, second = fleet.keeper('a', bad), fleet.keeper('b', good)
    async with running(first):
        await fakes.wait_for(lambda: not bad.up)
        async with running(second):
            await fakes.wait_for(lambda: len(second.log.book.turns) == 2)
            turns = second.log.book.list_holders('models', 1)
    assert [turn.vm for turn in turns] == ['a']
    assert good.version == '1'


@fakes.asynchronous
async def test_turn_of_a_vm_off_the_list_is_ended(monkeypatch):
    monkeypatch.setattr(engine_controller, 'GONE_S', 0.1)
    fleet = Fleet()
    dead = order_records.TurnClaim('gone', 0, 'models')
    await fleet.log.append('orders', order_records.encode(dead))
    engine = FakeEngine()
    async with running(fleet.keeper('a', engine)):
        await fakes.wait_for(lambda: engine.version == '2')


@fakes.asynchronous
async def test_number_is_found_after_a_lost_answer():
    fleet = Fleet()
    fleet.log.lose_answers = 1
    engine = FakeEngine()
    keeper = fleet.keeper('a', engine)
    async with running(keeper):
        await fakes.wait_for(lambda: engine.version == '2')
    assert keeper.log.fence == 0
    assert len(fleet.records()) == 3


@fakes.asynchronous
async def test_sidecar_with_a_hole_gives_no_more_orders():
    fleet = Fleet(version='1')
    engine = FakeEngine()
    keeper = fleet.keeper('a', engine)
    await keeper.log.take_number()
    record = order_records.encode(order_records.Incarnation('x', 't'))
    for _ in range(3):
        await fleet.log.append('orders', record)
    fleet.log.oldest['orders'] = 3
    fleet.wanted.change('2')
    await keeper.step()
    assert keeper.stopped
    assert not engine.orders
