import asyncio
import itertools

import numpy
import pytest

from arbutusvale.coordination import caller_request
from arbutusvale.coordination import limits
from arbutusvale.coordination import outlier_detection
from arbutusvale.coordination import placement
from arbutusvale.coordination import retries
from arbutusvale.protocol import bundle
from arbutusvale.protocol import messages
from tests import helpers_router

NAMES = ['s-1', 's-2', 's-3']


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_avoidance(clock):
    generator = numpy.random.default_rng(helpers_router.SEED)
    return outlier_detection.OutlierDetector(generator, clock)


def make_placement(clock):
    return placement.Placement(
        fleet=helpers_router.make_fleet(),
        outlier_detector=make_avoidance(clock),
        generator=numpy.random.default_rng(helpers_router.SEED),
        clock=clock,
    )


def make_work(chat_id='c-1'):
    async def classify():
        return caller_request.resolve(
            helpers_router.chat_request(chat_id=chat_id),
            helpers_router.make_bundle(),
        )

    return asyncio.run(classify())


def order(placed, policy, work=None):
    candidates = placed.order(work or make_work(), policy)
    taken = []
    while (choice := candidates.take()) is not None:
        taken.append(choice.vm)
    return candidates.home, taken


@pytest.mark.parametrize(
    'policy',
    [
        bundle.RandomPolicy(kind='random'),
        bundle.LeastLoadedPolicy(kind='least_loaded'),
        bundle.RendezvousPolicy(kind='rendezvous'),
        bundle.DirectoryPolicy(kind='directory'),
    ],
)
def test_every_policy_offers_each_vm_once_and_avoided_ones_last(policy):
    placed = make_placement(Clock())
    placed.outlier_detector.record_unreachable('s-2')
    _, taken = order(placed, policy)
    assert sorted(taken) == NAMES
    assert taken[-1] == 's-2'


def test_least_loaded_follows_the_loads_that_were_seen():
    placed = make_placement(Clock())
    placed.record_outstanding('s-1', 9)
    placed.record_loads([messages.Load('s-2', 1, 1, 4, 'live')])
    _, taken = order(placed, bundle.LeastLoadedPolicy(kind='least_loaded'))
    assert taken == ['s-3', 's-2', 's-1']


def test_the_holder_of_a_chat_goes_before_its_home():
    placed = make_placement(Clock())
    policy = bundle.DirectoryPolicy(kind='directory')
    work = make_work()
    home, taken = order(placed, policy, work)
    assert taken[0] == home
    holder = taken[2]
    assert placed.record_run(work, home, holder)
    assert not placed.record_run(work, home, holder)
    assert order(placed, policy, work)[1][0] == holder
    assert not placed.record_run(work, home, home)
    assert order(placed, policy, work)[1][0] == home


def test_only_fresh_loads_are_passed_on():
    clock = Clock()
    placed = make_placement(clock)
    placed.record_loads([messages.Load('s-1', 1, 2, 4, 'live')])
    placed.record_loads([messages.Load('s-1', 1, 1, 9, 'live')])
    assert [load.load for load in placed.recent_loads('engines')] == [4]
    clock.now += 5
    assert placed.recent_loads('engines') == []


def test_an_unreachable_vm_is_avoided_for_longer_each_time():
    clock = Clock()
    avoided = make_avoidance(clock)
    spans = []
    for _ in range(4):
        avoided.record_unreachable('s-1')
        start = clock.now
        while avoided.is_ejected('s-1'):
            clock.now += 0.01
        spans.append(clock.now - start)
    pairs = itertools.pairwise(spans)
    assert all(later > 1.1 * first for first, later in pairs)
    avoided.record_success('s-1')
    avoided.record_unreachable('s-1')
    clock.now += 0.4
    assert not avoided.is_ejected('s-1')


def test_a_failing_vm_is_avoided_and_comes_back():
    clock = Clock()
    avoided = make_avoidance(clock)
    for _ in range(3):
        assert not avoided.is_ejected('s-1')
        avoided.record_failure('s-1')
    assert avoided.is_ejected('s-1')
    clock.now += 1
    assert not avoided.is_ejected('s-1')
    avoided.record_failure('s-1')
    assert avoided.is_ejected('s-1')
    clock.now += 1
    avoided.record_success('s-1')
    avoided.record_failure('s-1')
    assert not avoided.is_ejected('s-1')


def test_a_vm_far_slower_than_its_pool_is_avoided():
    clock = Clock()
    avoided = make_avoidance(clock)
    for _ in range(10):
        for vm in NAMES:
            avoided.record_latency(vm, 3.0 if vm == 's-3' else 0.1, 'p')
    assert [avoided.is_ejected(vm) for vm in NAMES] == [False, False, True]
    clock.now += 1
    avoided.record_latency('s-3', 0.1, 'p')
    assert not avoided.is_ejected('s-3')


def test_the_limits_of_an_organisation():
    clock = Clock()
    organisation = helpers_router.make_bundle(
        rate=2, burst=3, concurrency=2
    ).organisations['acme']
    held = limits.OrganisationLimits(clock)
    assert isinstance(held.enter('acme', organisation), limits.Granted)
    assert isinstance(held.enter('acme', organisation), limits.Granted)
    assert held.enter('acme', organisation).limit == 'concurrency'
    held.leave('acme')
    assert isinstance(held.enter('acme', organisation), limits.Granted)
    held.leave('acme')
    assert held.enter('acme', organisation) == limits.Limited('rate', 0.5)
    clock.now += 0.5
    assert isinstance(held.enter('acme', organisation), limits.Granted)


def test_retries_stay_within_their_share():
    budget = retries.RetryBudget()
    taken = 0
    for _ in range(1000):
        budget.add_request(0.1)
        taken += budget.try_spend()
        taken += budget.try_spend()
    assert 100 <= taken <= 103
