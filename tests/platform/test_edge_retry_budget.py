"""Retries of all routers to a failing pool, counted where they arrive."""

import concurrent.futures
import signal
import time

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

WINDOW_S = 4
RATIO, RESERVE = 0.2, 50
ROUTERS = 3
ENGINES = 4
REQUESTS = 100
ROUTE = helpers_edge.make_route(TimeoutMs=10_000, TargetLatencyMs=5000)


@pytest.fixture
def edge(fleet):
    """A configured fleet of engines that fail each request."""
    fleet.retry_window_s = WINDOW_S
    fleet.sent_at = []
    fleet.publish_config(routes=[ROUTE])
    for number in range(ENGINES):
        fleet.add_engine(f'e{number}').default_fault = 'error'
    return fleet


def add_routers(fleet, count=ROUTERS):
    for number in range(1, count + 1):
        fleet.add_router(number, wait=False)
    for router in fleet.routers:
        router.wait_until_ready()
        for name in fleet.engines:
            router.wait_for_log(f'event=server-listed server={name} ')


def send(fleet, routers, count=REQUESTS):
    """Send requests to some routers by turns, side by side."""

    def send_one(number):
        fleet.sent_at.append(time.monotonic())
        return routers[number % len(routers)].send_request(
            X_Arbutusvale_Deadline_Ms='8000'
        )[0]

    with concurrent.futures.ThreadPoolExecutor(REQUESTS) as pool:
        return list(pool.map(send_one, range(count)))


def list_repeats(fleet):
    """List when a request reached another engine than its first."""
    seen = set()
    repeats = []
    for arrived_at, attempt_id in sorted(
        (arrived_at, request.attempt_id)
        for engine in fleet.engines.values()
        for arrived_at, request in zip(
            engine.arrivals, engine.received, strict=True
        )
    ):
        if attempt_id in seen:
            repeats.append(arrived_at)
        seen.add(attempt_id)
    return repeats


def list_breaches(fleet):
    """List repeats, requests and bound of windows with too many repeats.

    The requests are those of that window, the one before it or the one half
    a window before it, whichever has most.
    """
    repeats = list_repeats(fleet)
    breaches = []
    for end in repeats:
        count = sum(end - WINDOW_S < at <= end for at in repeats)
        requests = max(
            sum(
                end - shift - WINDOW_S < at <= end - shift
                for at in fleet.sent_at
            )
            for shift in (0, WINDOW_S / 2, WINDOW_S)
        )
        if count > RATIO * requests + RESERVE:
            breaches.append((count, requests, RATIO * requests + RESERVE))
    return breaches


def test_failing_pool_gets_no_more_retries_than_allowed(edge):
    add_routers(edge)
    send(edge, edge.routers)
    send(edge, edge.routers)
    assert len(list_repeats(edge)) > RESERVE / 2
    assert not list_breaches(edge)


def test_restarted_routers_spend_the_retry_budget_once(edge):
    add_routers(edge)
    send(edge, edge.routers)
    for router in edge.routers:
        router.kill()
        router.start()
    for router in edge.routers:
        router.wait_until_ready()
    send(edge, edge.routers)
    assert not list_breaches(edge)


def test_router_that_hears_no_peer_keeps_to_its_share_of_retries(edge):
    add_routers(edge)
    send(edge, edge.routers)
    for router in edge.routers[1:]:
        router.send_signal(signal.SIGSTOP)
    # Until the others no longer count as live.
    time.sleep(1.5)
    send(edge, edge.routers[:1])
    assert not list_breaches(edge)


def test_routers_that_leave_hand_on_no_spent_retries(edge):
    add_routers(edge)
    send(edge, edge.routers)
    for router in edge.routers[1:]:
        router.send_signal(signal.SIGTERM)
    for router in edge.routers[1:]:
        edge_fleet.wait_for(
            lambda router=router: router.process.poll() is not None,
            'end of a router',
        )
    send(edge, edge.routers[:1])
    assert not list_breaches(edge)


def test_retries_that_wait_for_a_server_count_when_they_are_sent(edge):
    add_routers(edge, 1)
    router = edge.routers[0]
    paused = [edge.engines[f'e{number}'] for number in range(1, ENGINES)]
    for engine in paused:
        engine.default_fault = f'pause={0.8 * WINDOW_S}'
    while not all(engine.received for engine in paused):
        router.send_request()
    for engine in paused:
        engine.default_fault = ''
    send(edge, [router])
    for engine in paused:
        engine.default_fault = 'error'
    time.sleep(max(0.0, edge.sent_at[0] + 1.1 * WINDOW_S - time.monotonic()))
    send(edge, [router])
    assert not list_breaches(edge)
