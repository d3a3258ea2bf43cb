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


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_detector(clock):
    generator = numpy.random.default_rng(helpers_router.SEED)
    return outlier_detection.OutlierDetector(generator, clock)


def make_placement(clock):
    return placement.Placement(
        fleet=helpers_router.make_fleet(),
        outlier_detector=make_detector(clock),
        generator=numpy.random.default_rng(helpers_router.SEED),
        clock=clock,
    )


def make_resolved(chat_id='c-1'):
    async def classify():
        return caller_request.resolve(
            helpers_router.chat_request(chat_id=chat_id),
            helpers_router.make_bundle(),
        )

    return asyncio.run(classify())


def list_in_order(router_placement, policy, resolved=None):
    candidates = router_placement.list_candidates(
        resolved or make_resolved(), policy
    )
    vms = []
    while (choice := candidates.pop_next()) is not None:
        vms.append(choice.vm)
    return candidates.home, vms


@pytest.mark.parametrize(
    'policy',
    [
        bundle.RandomPolicy(kind='random'),
        bundle.LeastLoadedPolicy(kind='least_loaded'),
        bundle.RendezvousPolicy(kind='rendezvous'),
        bundle.DirectoryPolicy(kind='directory'),
    ],
)
def test_every_policy_lists_each_vm_once_with_ejected_vms_last(policy):
    router_placement = make_placement(FakeClock())
    router_placement.outlier_detector.record_unreachable('s-2')
    _, vms = list_in_order(router_placement, policy)
    assert sorted(vms) == NAMES
    assert vms[-1] == 's-2'


def test_least_loaded_policy_uses_the_recorded_loads():
    router_placement = make_placement(FakeClock())
    router_placement.record_outstanding('s-1', 9)
    router_placement.record_loads([messages.Load('s-2', 1, 1, 4, 'live')])
    _, vms = list_in_order(
        router_placement, bundle.LeastLoadedPolicy(kind='least_loaded')
    )
    assert vms == ['s-3', 's-2', 's-1']


def test_vm_that_last_ran_a_chat_precedes_its_home():
    router_placement = make_placement(FakeClock())
    policy = bundle.DirectoryPolicy(kind='directory')
    resolved = make_resolved()
    home, vms = list_in_order(router_placement, policy, resolved)
    assert vms[0] == home
    holder = vms[2]
    assert router_placement.record_run(resolved, home, holder)
    assert not router_placement.record_run(resolved, home, holder)
    assert list_in_order(router_placement, policy, resolved)[1][0] == holder
    assert not router_placement.record_run(resolved, home, home)
    assert list_in_order(router_placement, policy, resolved)[1][0] == home


def test_recent_loads_omit_superseded_and_expired_loads():
    clock = FakeClock()
    router_placement = make_placement(clock)
    router_placement.record_loads([messages.Load('s-1', 1, 2, 4, 'live')])
    router_placement.record_loads([messages.Load('s-1', 1, 1, 9, 'live')])
    assert [
        load.load for load in router_placement.recent_loads('engines')
    ] == [4]
    clock.now += 5
    assert router_placement.recent_loads('engines') == []


def test_unreachable_vm_is_ejected_for_longer_each_time():
    clock = FakeClock()
    detector = make_detector(clock)
    ejection_durations_s = []
    for _ in range(4):
        detector.record_unreachable('s-1')
        start = clock.now
        while detector.is_ejected('s-1'):
            clock.now += 0.01
        ejection_durations_s.append(clock.now - start)
    pairs = itertools.pairwise(ejection_durations_s)
    assert all(later > 1.1 * first for first, later in pairs)
    detector.record_success('s-1')
    detector.record_unreachable('s-1')
    clock.now += 0.4
    assert not detector.is_ejected('s-1')


def test_failing_vm_is_ejected_and_readmitted_after_its_backoff():
    clock = FakeClock()
    detector = make_detector(clock)
    for _ in range(3):
        assert not detector.is_ejected('s-1')
        detector.record_failure('s-1')
    assert detector.is_ejected('s-1')
    clock.now += 1
    assert not detector.is_ejected('s-1')
    detector.record_failure('s-1')
    assert detector.is_ejected('s-1')
    clock.now += 1
    detector.record_success('s-1')
    detector.record_failure('s-1')
    assert not detector.is_ejected('s-1')


def test_vm_far_slower_than_its_pool_is_ejected():
    clock = FakeClock()
    detector = make_detector(clock)
    for _ in range(10):
        for vm in NAMES:
            detector.record_latency(vm, 3.0 if vm == 's-3' else 0.1, 'p')
    assert [detector.is_ejected(vm) for vm in NAMES] == [False, False, True]
    clock.now += 1
    detector.record_latency('s-3', 0.1, 'p')
    assert not detector.is_ejected('s-3')


def test_organisation_limits_apply_to_rate_and_concurrency():
    clock = FakeClock()
    organisation = helpers_router.make_bundle(
        rate=2, burst=3, concurrency=2
    ).organisations['acme']
    organisation_limits = limits.OrganisationLimits(clock)
    assert isinstance(
        organisation_limits.admit('acme', organisation), limits.Admitted
    )
    assert isinstance(
        organisation_limits.admit('acme', organisation), limits.Admitted
    )
    assert (
        organisation_limits.admit('acme', organisation).limit == 'concurrency'
    )
    organisation_limits.release('acme')
    assert isinstance(
        organisation_limits.admit('acme', organisation), limits.Admitted
    )
    organisation_limits.release('acme')
    assert organisation_limits.admit(
        'acme', organisation
    ) == limits.LimitExceeded('rate', 0.5)
    clock.now += 0.5
    assert isinstance(
        organisation_limits.admit('acme', organisation), limits.Admitted
    )


def test_retry_budget_caps_retries_at_its_share():
    budget = retries.RetryBudget()
    taken = 0
    for _ in range(1000):
        budget.add_request(0.1)
        taken += budget.try_spend()
        taken += budget.try_spend()
    assert 100 <= taken <= 103
