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
    """Engine that counts how many of its pool load a model at once."""

    loading = 0
    peak = 0

    def __init__(self, checks_fencing=True, version='1'):
        self.checks_fencing = checks_fencing
        self.version = version
        self.fence = -1
        self.orders = []
        self.is_up = True
        self.crashes = False

    async def read_load(self):
        if not self.is_up:
            raise errors.ServerUnreachable('e', 'refused')
        return ports.EngineLoad(0, 0, 'small', self.version)

    async def healthy(self):
        return self.is_up

    async def send_order(self, order):
        if self.checks_fencing and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        self.orders.append(order)
        engine_class = type(self)
        engine_class.loading += 1
        engine_class.peak = max(engine_class.peak, engine_class.loading)
        await asyncio.sleep(0.02)
        engine_class.loading -= 1
        if self.crashes:
            self.is_up = False
            raise errors.ServerResponseError('e', 'crashed')
        if order.kind == 'load_model':
            self.version = order.version
        return True


class FakeWeights:
    """Weight store that requests the delays in ``waits``, then grants."""

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


class DesiredPool:
    """Active bundle with one pool, whose model version can change."""

    def __init__(self, version='2', **fields):
        self.change(version, **fields)

    def change(self, version, **fields):
        pool = bundle.Pool(
            policy=bundle.DirectoryPolicy(kind='directory'),
            models=[bundle.Model(name='small', version=version)],
            **fields,
        )
        desired_bundle = bundle.Bundle(
            version=version,
            organisations={},
            services={},
            pools={'models': pool},
            operators={'ana': '00' * 32},
        )
        self.head = bundle_chain.ActiveBundle(
            0, b'', version, desired_bundle, b'', 'ana', 'p'
        )


class Fleet:
    """Controllers that share a log, a bundle and a VM list."""

    def __init__(self, **fields):
        self.log = fakes.FakeLog()
        self.desired = DesiredPool(**fields)
        self.weights = FakeWeights()
        self.listed = {'a', 'b', 'c', 'd'}
        FakeEngine.loading = FakeEngine.peak = 0

    def make_controller(self, vm, engine):
        return engine_controller.EngineController(
            vm=vm,
            pool='models',
            log=self.log,
            weights=self.weights,
            engine=engine,
            get_head=lambda: self.desired.head,
            list_vms=lambda: self.listed,
            pause=FakePause(),
        )

    def records(self):
        stream = self.log.streams.get('orders', [])
        return [order_records.decode(record.data) for record in stream]


@contextlib.asynccontextmanager
async def running(*controllers):
    tasks = [
        asyncio.create_task(controller.run()) for controller in controllers
    ]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize('max_unavailable', [1, 2])
@fakes.asynchronous
async def test_at_most_max_unavailable_engines_load_at_once(max_unavailable):
    fleet = Fleet(max_unavailable=max_unavailable)
    engines = [FakeEngine() for _ in 'abcd']
    controllers = [
        fleet.make_controller(vm, engine)
        for vm, engine in zip('abcd', engines, strict=True)
    ]
    async with running(*controllers):
        await fakes.wait_for(lambda: all(e.version == '2' for e in engines))
    assert FakeEngine.peak == max_unavailable
    assert [len(engine.orders) for engine in engines] == [1, 1, 1, 1]


@fakes.asynchronous
async def test_engine_that_already_has_the_version_claims_no_turn():
    fleet = Fleet()
    old, new = FakeEngine(), FakeEngine(version='2')
    async with running(
        fleet.make_controller('a', new), fleet.make_controller('b', old)
    ):
        await fakes.wait_for(lambda: old.version == '2')
    assert not new.orders
    claims = [
        record.vm
        for record in fleet.records()
        if isinstance(record, order_records.TurnClaim)
    ]
    assert claims == ['b']


@fakes.asynchronous
async def test_weight_fetch_is_retried_after_the_requested_delay():
    fleet = Fleet()
    fleet.weights = FakeWeights([0.01, 0.02])
    engine = FakeEngine()
    async with running(fleet.make_controller('a', engine)):
        await fakes.wait_for(lambda: engine.version == '2')
    assert fleet.weights.granted == 1
    assert not fleet.weights.waits


async def resume_after_a_newer_sidecar_started(engine):
    """Pause an old sidecar during its turn while a newer one starts.

    Once resumed it must not send the order that it was about to send.
    """
    fleet = Fleet(checks_fencing=engine.checks_fencing)
    old = fleet.make_controller('a', engine)
    resumed = asyncio.Event()
    old.pause.on_begin = resumed.wait
    async with running(old) as (old_task,):
        await fakes.wait_for(lambda: old.pause.paused)
        new = fleet.make_controller('a', engine)
        async with running(new):
            await fakes.wait_for(lambda: engine.version == '2')
            fleet.desired.change('3', checks_fencing=engine.checks_fencing)
            resumed.set()
            await fakes.wait_for(lambda: old_task.done())
            await fakes.wait_for(lambda: engine.version == '3')
    assert {order.fence for order in engine.orders} == {new.stream.fence}
    assert old.is_stopped
    assert not old.pause.paused


@pytest.mark.parametrize('checks_fencing', [True, False])
@fakes.asynchronous
async def test_superseded_sidecar_sends_no_order_when_it_resumes(
    checks_fencing,
):
    await resume_after_a_newer_sidecar_started(FakeEngine(checks_fencing))


@fakes.asynchronous
async def test_engine_refuses_an_order_with_an_old_fencing_number():
    fleet = Fleet(checks_fencing=True)
    engine = FakeEngine()
    engine.fence = 100
    controller = fleet.make_controller('a', engine)
    async with running(controller) as (task,):
        await fakes.wait_for(lambda: task.done())
    assert controller.order_refused
    assert not engine.orders


@fakes.asynchronous
async def test_role_order_is_sent_once():
    fleet = Fleet(version='1', role='prefill')
    engine = FakeEngine()
    controller = fleet.make_controller('a', engine)
    await controller.stream.acquire_fence()
    for _ in range(2):
        await controller.reconcile()
    assert [order.role for order in engine.orders] == ['prefill']


@fakes.asynchronous
async def test_version_that_crashes_its_engine_is_not_loaded_elsewhere():
    fleet = Fleet()
    bad, good = FakeEngine(), FakeEngine()
    bad.crashes = True
    first, second = (
        fleet.make_controller('a', bad),
        fleet.make_controller('b', good),
    )
    async with running(first):
        await fakes.wait_for(lambda: not bad.is_up)
        async with running(second):
            await fakes.wait_for(lambda: len(second.stream.state.turns) == 2)
            turns = second.stream.state.list_active_turns('models', 1)
    assert [turn.vm for turn in turns] == ['a']
    assert good.version == '1'


@fakes.asynchronous
async def test_turn_of_an_unlisted_vm_is_ended(monkeypatch):
    monkeypatch.setattr(engine_controller, 'UNLISTED_GRACE_S', 0.1)
    fleet = Fleet()
    stale_claim = order_records.TurnClaim('gone', 0, 'models')
    await fleet.log.append('orders', order_records.encode(stale_claim))
    engine = FakeEngine()
    async with running(fleet.make_controller('a', engine)):
        await fakes.wait_for(lambda: engine.version == '2')


@fakes.asynchronous
async def test_fencing_number_is_found_after_a_lost_append_response():
    fleet = Fleet()
    fleet.log.lose_answers = 1
    engine = FakeEngine()
    controller = fleet.make_controller('a', engine)
    async with running(controller):
        await fakes.wait_for(lambda: engine.version == '2')
    assert controller.stream.fence == 0
    assert len(fleet.records()) == 3


@fakes.asynchronous
async def test_sidecar_that_missed_records_sends_no_more_orders():
    fleet = Fleet(version='1')
    engine = FakeEngine()
    controller = fleet.make_controller('a', engine)
    await controller.stream.acquire_fence()
    record = order_records.encode(order_records.Incarnation('x', 't'))
    for _ in range(3):
        await fleet.log.append('orders', record)
    fleet.log.oldest['orders'] = 3
    fleet.desired.change('2')
    await controller.reconcile()
    assert controller.is_stopped
    assert not engine.orders
