import asyncio

from arbutusvale.coordination import admission
from arbutusvale.coordination import slots
from arbutusvale.protocol import messages
from arbutusvale.state import pool_load_table
from tests import helpers_sidecar as helpers


class Bench:
    """One sidecar's admission control, with given loads of its peers."""

    def __init__(
        self,
        own=0,
        peer_loads=(),
        refreshed_loads=(),
        holder='',
        service_time_s=0.0,
        loads_grow=False,
    ):
        self.clock = helpers.Clock()
        self.table = pool_load_table.PoolLoadTable('s1', 1, self.clock)
        self.scheduler = slots.SlotScheduler(
            self.clock, self.table.set_own_load
        )
        self.scheduler.observed_service_time_s = service_time_s
        self.refreshed_loads = refreshed_loads
        self.loads_grow = loads_grow
        self.holder = holder
        self.refreshes = 0
        self.admission = admission.AdmissionController(
            self.table,
            self.scheduler,
            self.refresh_loads,
            self.find_cache_holder,
            self.clock,
        )
        self.own = own
        self.merge(peer_loads, 1)

    def merge(self, loads, version):
        for index, load in enumerate(loads):
            report = helpers.make_load(f's{index + 2}', load, version=version)
            self.table.merge([report], report.vm, 0.0)

    async def refresh_loads(self):
        self.refreshes += 1
        self.clock.now += 0.1
        if self.loads_grow:
            self.refreshed_loads = [self.refreshes] * 2
        self.merge(self.refreshed_loads, 1 + self.refreshes)

    async def find_cache_holder(self, submit, pool):
        return self.holder

    async def admit(self, pool=None, **changes):
        pool = pool or helpers.make_pool(slots=20, queue=0)
        organisation = helpers.make_organisation()
        self.scheduler.configure(pool.slots, pool.queue)
        for _ in range(self.own - self.scheduler.load):
            self.scheduler.try_enqueue(slots.Ticket('other', 1.0, 0, 1e9))
        submit = helpers.make_submit(**changes)
        return await self.admission.admit(submit, pool, organisation)


def admit_once(**arguments):
    async def work():
        changes = arguments.pop('submit', {})
        pool = arguments.pop('pool', None)
        bench = Bench(**arguments)
        return bench, await bench.admit(pool, **changes)

    return asyncio.run(work())


def test_request_within_the_bound_is_admitted_without_refresh():
    bench, decision = admit_once(own=1, peer_loads=[2, 2])
    assert isinstance(decision, admission.Admitted)
    assert bench.table.own.load == 2
    assert bench.refreshes == 0


def test_request_above_a_stale_bound_is_admitted_after_a_refresh():
    bench, decision = admit_once(
        own=3, peer_loads=[0, 0], refreshed_loads=[3, 3]
    )
    assert bench.refreshes == 1
    assert isinstance(decision, admission.Admitted)


def test_last_hop_waits_until_the_bound_allows_it():
    bench, decision = admit_once(
        own=3, peer_loads=[0, 0], loads_grow=True, submit={'last_hop': True}
    )
    assert isinstance(decision, admission.Admitted)
    assert bench.refreshes == 2


def test_request_above_the_bound_is_refused_with_alternatives():
    bench, decision = admit_once(
        own=3,
        peer_loads=[1, 0, 2],
        refreshed_loads=[1, 0, 2],
        submit={'last_hop': True},
    )
    assert decision.reason == messages.Refusal.BUSY
    assert [load.vm for load in decision.alternatives] == ['s3', 's2']
    assert bench.scheduler.load == 3


def test_loads_carried_by_the_submit_are_used():
    loads = [helpers.make_load('s2', 3, 9), helpers.make_load('s3', 3, 9)]
    bench, decision = admit_once(
        own=3, peer_loads=[0, 0], service_time_s=60.0, submit={'loads': loads}
    )
    assert isinstance(decision, admission.Admitted)
    assert bench.refreshes == 0


def test_full_server_refuses_with_retry_after():
    pool = helpers.make_pool(slots=1, queue=0)
    _, decision = admit_once(own=1, peer_loads=[5, 5], pool=pool)
    assert decision.reason in (
        messages.Refusal.FULL,
        messages.Refusal.BUSY,
    )
    assert decision.reason == messages.Refusal.FULL
    assert decision.retry_after > 0


def test_request_is_redirected_to_a_cache_holder_within_the_bound():
    _, decision = admit_once(own=0, peer_loads=[0, 1], holder='s2')
    assert decision == messages.Redirect('a1', 's2', 'cache-holder')
    _, decision = admit_once(own=0, peer_loads=[9, 0], holder='s2')
    assert isinstance(decision, admission.Admitted)


def test_rendezvous_policy_does_not_redirect():
    pool = helpers.make_pool(kind='rendezvous')
    _, decision = admit_once(own=0, peer_loads=[0, 1], holder='s2', pool=pool)
    assert isinstance(decision, admission.Admitted)


def test_expired_request_is_refused():
    _, decision = admit_once(submit={'time_left': 0.0})
    assert decision.reason == messages.Refusal.EXPIRED


def test_server_gets_no_more_requests_than_the_rate_that_it_names():
    async def admit_five():
        bench = Bench(peer_loads=[5, 5])
        bench.admission.server_rate.observe(1.0, bench.clock.now)
        bench.clock.now += 1.0
        return [await bench.admit() for _ in range(5)]

    first, *others = asyncio.run(admit_five())
    assert isinstance(first, admission.Admitted)
    assert {other.reason for other in others} == {messages.Refusal.BUSY}
