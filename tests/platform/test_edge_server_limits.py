"""Engines that name the requests a second that they take."""

import http.client
import threading
import time

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

PLAIN = helpers_edge.make_route(TimeoutMs=9000)
STREAM = helpers_edge.make_route(
    'stream',
    '/stream/',
    RouteType='streaming',
    StreamResume=True,
    TimeoutMs=8000,
)
CONTACT_S = 3.0
WINDOW_S = 4.0


@pytest.fixture
def edge(fleet):
    """Three routers; two engines."""
    fleet.publish_config(routes=[PLAIN, STREAM])
    for number in range(2):
        engine = fleet.add_engine(f'e{number}')
        engine.stream_prefix = '/stream/'
    add_routers(fleet, 1, 2, 3)
    return fleet


def add_routers(fleet, *numbers):
    for number in numbers:
        fleet.add_router(number, wait=False)
    for router in fleet.routers:
        router.wait_until_ready()
        for name in fleet.engines:
            router.wait_for_log(f'event=server-listed server={name} ')


def count_most_in_window(arrivals, since):
    """Return the most arrivals in any window after a time."""
    late = [at for at in arrivals if at >= since]
    return max(
        (sum(at <= other < at + WINDOW_S for other in late) for at in late),
        default=0,
    )


def allowed(rate):
    """Return the requests that the rule allows in a window."""
    return 1.5 * rate * WINDOW_S + 5


class Load:
    """Callers that each send at one router, again and again."""

    def __init__(self, fleet, per_router=3, pause_s=0.05, **options):
        self.fleet = fleet
        self.statuses = []
        self.answers = []
        self.options = options
        self.pause_s = pause_s
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(router,), daemon=True)
            for router in fleet.routers
            for _ in range(per_router)
        ]

    def run(self, router):
        while not self.stopping.is_set():
            started_at = time.monotonic()
            try:
                status, headers, _ = router.send_request(**self.options)
            except (OSError, http.client.HTTPException, ValueError):
                status, headers = 0, {}
            elapsed_s = time.monotonic() - started_at
            self.answers.append((started_at, elapsed_s, status, headers))
            time.sleep(self.pause_s)

    def play(self, seconds):
        for thread in self.threads:
            thread.start()
        time.sleep(seconds)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(12)


def test_engine_gets_more_from_all_routers_than_the_limit_it_names(edge):
    limited = edge.engines['e0']
    limited.limit = '2.5'
    load = Load(edge)
    named_at = time.monotonic()
    load.play(CONTACT_S + 2 * WINDOW_S)
    load.stop()
    most = count_most_in_window(limited.arrivals, named_at + CONTACT_S)
    assert 0 < most <= allowed(2.5)
    statuses = [answer[2] for answer in load.answers]
    assert statuses.count(200) >= 0.99 * len(statuses)


def name_limits(fleet, *limits):
    for engine, limit in zip(fleet.engines.values(), limits, strict=True):
        engine.limit = limit


def test_whole_pool_with_limits_refuses_at_once_what_it_cannot_serve(edge):
    """The rest waits; refusals tell when to come back, spread out."""
    name_limits(edge, '2', '2')
    load = Load(edge, per_router=16, X_Arbutusvale_Deadline_Ms='1500')
    named_at = time.monotonic()
    load.play(CONTACT_S + 2 * WINDOW_S)
    load.stop()
    for engine in edge.engines.values():
        most = count_most_in_window(engine.arrivals, named_at + CONTACT_S)
        assert 0 < most <= allowed(2)
    late = [
        answer for answer in load.answers if answer[0] > named_at + CONTACT_S
    ]
    refused = [answer for answer in late if answer[2] == 503]
    served = [answer for answer in late if answer[2] == 200]
    others = [answer for answer in late if answer[2] not in (200, 503)]
    assert not others, edge.routers[0].read_log()[-2000:]
    assert refused
    # Some wait first, until shares of the limits have moved elsewhere.
    at_once = [answer for answer in refused if answer[1] < 0.25]
    assert len(at_once) >= 0.9 * len(refused)
    assert max(answer[1] for answer in served) > 0.3
    delays = [float(answer[3]['retry-after']) for answer in refused]
    assert min(delays) > 0
    assert max(delays) - min(delays) > 0.3


def test_requests_wait_for_a_limit_below_one_a_second(edge):
    name_limits(edge, '0.8', '0.8')
    for router in edge.routers:
        router.send_request()
    started_at = time.monotonic()
    statuses = [
        edge.routers[0].send_request(X_Arbutusvale_Deadline_Ms='9000')[0]
        for _ in range(4)
    ]
    assert statuses == [200] * 4
    assert time.monotonic() - started_at < 12.0


def test_limit_that_ends_or_does_not_parse_stops_nobody(edge):
    name_limits(edge, '0.5', '0.5')
    router = edge.routers[0]
    router.send_request()
    router.wait_for_log('event=server-limit')
    name_limits(edge, '', '')
    edge_fleet.wait_for(
        lambda: (
            router.send_request()[0] == 200 and 'rate=-' in router.read_log()
        ),
        'the end of a limit',
    )
    for value in ('soon', '-1', 'nan', 'inf', '1e9'):
        name_limits(edge, value, value)
        assert router.send_request()[0] == 200
    router.wait_for_log('event=limit-malformed')
    edge_fleet.wait_for(
        lambda: all(router.send_request()[0] == 200 for _ in range(20)),
        'requests without a limit',
    )


def test_retries_and_resumes_count_against_the_limit(edge):
    name_limits(edge, '1.5', '1.5')
    for engine in edge.engines.values():
        engine.default_fault = 'stream-cut'
    load = Load(
        edge,
        path='/stream/x',
        method='POST',
        body=b'p',
        X_Arbutusvale_Deadline_Ms='3000',
    )
    named_at = time.monotonic()
    load.play(CONTACT_S + WINDOW_S + 2)
    load.stop()
    for engine in edge.engines.values():
        most = count_most_in_window(engine.arrivals, named_at + CONTACT_S)
        assert 0 < most <= allowed(1.5)


def test_limit_holds_while_routers_start_stop_and_lose_the_store(edge):
    name_limits(edge, '2', '2')
    load = Load(edge)
    named_at = time.monotonic()
    load.play(CONTACT_S)
    edge.store.fault = 'silent'
    edge.routers[2].kill()
    time.sleep(1.0)
    edge.store.fault = None
    edge.routers[2].start()
    edge.add_router(4, wait=False)
    time.sleep(WINDOW_S + 1)
    load.stop()
    for engine in edge.engines.values():
        most = count_most_in_window(engine.arrivals, named_at + CONTACT_S)
        assert 0 < most <= allowed(2)
