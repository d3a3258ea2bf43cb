"""Requests that crash each server that runs them, with running routers."""

import concurrent.futures
import http.client
import signal
import time

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

ENGINE_COUNT = 3
ROUTER_COUNT = 3
CRASHES = 3
CONTACT_S = 3.0
MAX_LATE_RETRIES = 3
BODY = b'crashes what runs it'
OTHER_BODY = b'crashes it, too'


class CrashingPool:
    """Three routers, and three engines that restart after a crash."""

    def __init__(self, fleet, down_s=0.4, new_ids=False, max_attempts=2):
        self.fleet = fleet
        self.routes = [helpers_edge.make_route(MaxAttempts=max_attempts)]
        fleet.publish_config(routes=self.routes)
        self.engines = [
            fleet.add_engine(f'e{number}') for number in range(ENGINE_COUNT)
        ]
        fleet.restart_crashed_engines(down_s, new_ids)
        for number in range(1, ROUTER_COUNT + 1):
            fleet.add_router(number, wait=False)
        for router in fleet.routers:
            router.wait_until_ready()
            for name in fleet.engines:
                router.wait_for_log(f'event=server-listed server={name} ')
        for router in fleet.routers:
            for peer in fleet.routers:
                if peer is not router:
                    router.wait_for_log(f'host={peer.host}')
        self.executor = concurrent.futures.ThreadPoolExecutor(16)

    def send(self, body, router, timeout=10, **headers):
        """Return the status; 0 if the caller left or got no answer."""
        try:
            return router.send_request(
                '/chat/x', 'POST', body, timeout=timeout, **headers
            )[0]
        except (OSError, http.client.HTTPException):
            return 0

    def send_to_all(self, *bodies, **options):
        """Send each body at each router at once; return the statuses."""
        futures = [
            self.executor.submit(self.send, body, router, **options)
            for router in self.fleet.routers
            for body in bodies
        ]
        return [future.result() for future in futures]

    def wait_until_up(self):
        def all_accept():
            return all(
                engine.server.server.is_serving() for engine in self.engines
            )

        edge_fleet.wait_for(all_accept, 'restart of all engines')

    def set_crashing(self, *bodies):
        for engine in self.engines:
            engine.crashing_bodies = set(bodies)

    def count_crashes(self, body):
        return sum(
            cause.request.body == body
            for engine in self.engines
            for cause in engine.crash_causes
        )

    def count_arrivals(self, body):
        return sum(
            received.request.body == body
            for engine in self.engines
            for received in engine.received
        )

    def count_late_retries(self, *bodies, rounds=8, **options):
        """Crash three engines; return how often each body reaches one later.

        All routers get it at once, again and again.
        """
        deadline = time.monotonic() + 30
        while min(map(self.count_crashes, bodies)) < CRASHES:
            assert time.monotonic() < deadline, 'three crashes'
            self.wait_until_up()
            self.send_to_all(*bodies, **options)
        time.sleep(CONTACT_S)
        before = {body: self.count_arrivals(body) for body in bodies}
        for _ in range(rounds):
            self.wait_until_up()
            self.send_to_all(*bodies, **options)
            time.sleep(0.1)
        return max(self.count_arrivals(body) - before[body] for body in bodies)


@pytest.mark.parametrize('new_ids', [False, True])
def test_completed_request_that_fells_a_pool_at_once_goes_on(fleet, new_ids):
    pool = CrashingPool(fleet, new_ids=new_ids)
    assert pool.send_to_all(BODY) == [200] * ROUTER_COUNT
    pool.set_crashing(BODY)
    assert pool.count_late_retries(BODY) <= MAX_LATE_RETRIES


def test_request_whose_callers_leave_goes_on_felling_engines(fleet):
    pool = CrashingPool(fleet)
    pool.set_crashing(BODY)
    for engine in pool.engines:
        engine.crash_delay_s = 0.15
    late = pool.count_late_retries(BODY, timeout=0.08)
    assert late <= MAX_LATE_RETRIES


def test_two_requests_always_together_go_on_felling_engines(fleet):
    pool = CrashingPool(fleet)
    pool.set_crashing(BODY, OTHER_BODY)
    late = pool.count_late_retries(BODY, OTHER_BODY)
    assert late <= MAX_LATE_RETRIES


def test_request_of_a_renamed_organisation_goes_on(fleet):
    """Its key stays the same."""
    pool = CrashingPool(fleet)
    pool.set_crashing(BODY)
    assert pool.count_late_retries(BODY) <= MAX_LATE_RETRIES
    before = pool.count_arrivals(BODY)
    for number in range(MAX_LATE_RETRIES + 1):
        tenants = [{'Name': f'renamed-{number}', 'ApiKeys': ['key-1']}]
        version = fleet.publish_config(routes=pool.routes, Tenants=tenants)
        for router in fleet.routers:
            router.wait_for_log(f'event=config-applied version={version} ')
        pool.wait_until_up()
        pool.send_to_all(BODY)
    assert pool.count_arrivals(BODY) - before <= MAX_LATE_RETRIES


def test_request_that_is_answered_with_an_error_first_goes_on(fleet):
    """Only a success shows that an engine has run it through."""
    pool = CrashingPool(fleet, max_attempts=1)
    for engine in pool.engines:
        engine.default_fault = 'not-found'
    router = fleet.routers[0]

    def crash_and_err():
        pool.set_crashing(BODY)
        pool.wait_until_up()
        pool.send(BODY, router)
        pool.set_crashing()
        pool.wait_until_up()
        pool.send(BODY, router)

    for _ in range(CRASHES):
        crash_and_err()
    time.sleep(CONTACT_S)
    before = pool.count_crashes(BODY)
    for _ in range(MAX_LATE_RETRIES + 2):
        crash_and_err()
    assert pool.count_crashes(BODY) - before <= MAX_LATE_RETRIES


@pytest.mark.parametrize('fault', ['kill', 'freeze'])
def test_router_that_starts_or_wakes_sends_no_crashing_request_on(
    fleet, fault
):
    pool = CrashingPool(fleet)
    pool.set_crashing(BODY)
    victim = fleet.routers[-1]
    if fault == 'freeze':
        victim.send_signal(signal.SIGSTOP)
    while pool.count_crashes(BODY) < 2:
        pool.wait_until_up()
        pool.send(BODY, fleet.routers[0])
    if fault == 'kill':
        victim.kill()
        victim.start().wait_until_ready()
    else:
        victim.send_signal(signal.SIGCONT)
    time.sleep(CONTACT_S)
    before = pool.count_arrivals(BODY)
    for _ in range(8):
        pool.wait_until_up()
        pool.send(BODY, victim)
    assert pool.count_arrivals(BODY) - before <= MAX_LATE_RETRIES


def test_sound_requests_beside_a_crashing_one_are_served(fleet):
    """Counted before and after; the engines are up at each."""
    pool = CrashingPool(fleet)

    def count_served():
        statuses = []
        for number in range(20):
            statuses += pool.send_to_all(b'read', b'unique-%d' % number)
        return statuses.count(200)

    before = count_served()
    pool.set_crashing(BODY)
    for _ in range(6):
        pool.wait_until_up()
        pool.send_to_all(BODY, b'read')
    pool.wait_until_up()
    assert pool.send(BODY, fleet.routers[0]) == 503
    time.sleep(CONTACT_S)
    assert (before, count_served()) == (120, 120)
