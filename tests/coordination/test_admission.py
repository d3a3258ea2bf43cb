import asyncio

from arbutusvale.coordination import admission
from arbutusvale.coordination import slots
from arbutusvale.protocol import messages
from arbutusvale.state import pooltable
from tests import helpers_sidecar as helpers


class Bench:
    """One sidecar's admission beside mates with set loads."""

    def __init__(
        self, own=0, mates=(), fresh=(), holder='', hold_s=0.0, grows=False
    ):
        self.clock = helpers.Clock()
        self.table = pooltable.PoolTable('s1', 1, self.clock)
        self.scheduler = slots.SlotScheduler(self.clock, self.table.set_own)
        self.scheduler.average_service_time_s = hold_s
        self.fresh = fresh
        self.grows = grows
        self.holder = holder
        self.refreshes = 0
        self.admission = admission.AdmissionController(
            self.table,
            self.scheduler,
            self.refresh_loads,
            self.find,
            self.clock,
        )
        self.own = own
        self.merge(mates, 1)

    def merge(self, loads, version):
        for index, load in enumerate(loads):
            report = helpers.make_load(f's{index + 2}', load, version=version)
            self.table.merge([report], report.vm, 0.0)

    async def refresh_loads(self):
        self.refreshes += 1
        self.clock.now += 0.1
        if self.grows:
            self.fresh = [self.refreshes] * 2
        self.merge(self.fresh, 1 + self.refreshes)

    async def find(self, submit, pool):
        return self.holder

    async def admit(self, pool=None, **changes):
        pool = pool or helpers.make_pool(slots=20, queue=0)
        organisation = helpers.make_organisation()
        self.scheduler.configure(pool.slots, pool.queue)
        for _ in range(self.own - self.scheduler.load):
            self.scheduler.try_enqueue(slots.Ticket('other', 1.0, 0, 1e9))
        submit = helpers.make_submit(**changes)
        return await self.admission.admit(submit, pool, organisation)


def decide(**arguments):
    async def work():
        changes = arguments.pop('submit', {})
        pool = arguments.pop('pool', None)
        bench = Bench(**arguments)
        return bench, await bench.admit(pool, **changes)

    return asyncio.run(work())


def test_within_fresh_bound_is_admitted_without_refresh():
    bench, decision = decide(own=1, mates=[2, 2])
    assert isinstance(decision, admission.Admitted)
    assert bench.table.own.load == 2
    assert bench.refreshes == 0


def test_refresh_shows_a_burst_that_a_stale_mean_hides():
    bench, decision = decide(own=3, mates=[0, 0], fresh=[3, 3])
    assert bench.refreshes == 1
    assert isinstance(decision, admission.Admitted)


def test_last_hop_waits_until_the_bound_allows_it():
    bench, decision = decide(
        own=3, mates=[0, 0], grows=True, submit={'last_hop': True}
    )
    assert isinstance(decision, admission.Admitted)
    assert bench.refreshes == 2


def test_above_the_bound_is_refused_with_the_least_loaded():
    bench, decision = decide(
        own=3, mates=[1, 0, 2], fresh=[1, 0, 2], submit={'last_hop': True}
    )
    assert decision.reason == messages.Refusal.BUSY
    assert [load.vm for load in decision.alternatives] == ['s3', 's2']
    assert bench.scheduler.load == 3


def test_loads_on_the_submit_are_used():
    loads = [helpers.make_load('s2', 3, 9), helpers.make_load('s3', 3, 9)]
    bench, decision = decide(
        own=3, mates=[0, 0], hold_s=60.0, submit={'loads': loads}
    )
    assert isinstance(decision, admission.Admitted)
    assert bench.refreshes == 0


def test_full_server_refuses_with_retry_after():
    pool = helpers.make_pool(slots=1, queue=0)
    _, decision = decide(own=1, mates=[5, 5], pool=pool)
    assert decision.reason in (
        messages.Refusal.FULL,
        messages.Refusal.BUSY,
    )
    assert decision.reason == messages.Refusal.FULL
    assert decision.retry_after > 0


def test_cache_holder_with_room_gets_a_redirect():
    _, decision = decide(own=0, mates=[0, 1], holder='s2')
    assert decision == messages.Redirect('a1', 's2', 'cache-holder')
    _, decision = decide(own=0, mates=[9, 0], holder='s2')
    assert isinstance(decision, admission.Admitted)


def test_baseline_policy_does_not_redirect():
    pool = helpers.make_pool(kind='rendezvous')
    _, decision = decide(own=0, mates=[0, 1], holder='s2', pool=pool)
    assert isinstance(decision, admission.Admitted)


def test_passed_deadline_is_refused():
    _, decision = decide(submit={'time_left': 0.0})
    assert decision.reason == messages.Refusal.EXPIRED
