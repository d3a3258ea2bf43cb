"""Engines that start during traffic and are cold for a while."""

import time

import pytest

from arbutusvale.state import server_warmups
from tests import helpers_edge
from tests.platform import test_edge_server_limits

pytestmark = pytest.mark.process

WARMUP_S = 3.0
WARMUP_RATE = 10.0
# The users' rule, for any second of a cold engine.
ALLOWED = 1.5 * WARMUP_RATE + 5
WARM_POOL = {
    'Name': 'chat',
    'HealthCheckPath': '/h',
    'MaxConnections': 50,
    'WarmupS': WARMUP_S,
    'WarmupPerS': WARMUP_RATE,
}


def count_most_in_a_second(arrivals, start, end):
    cold = [at for at in arrivals if start <= at < end]
    return max(
        (sum(at <= other <= at + 1 for other in cold) for at in cold),
        default=0,
    )


def test_whole_pool_that_returns_cold_is_not_flooded(fleet):
    fleet.publish_config(
        routes=[helpers_edge.make_route(TimeoutMs=9000)], Services=[WARM_POOL]
    )
    for number in range(2):
        fleet.add_engine(f'e{number}')
    test_edge_server_limits.add_routers(fleet, 1, 2, 3)
    load = test_edge_server_limits.Load(
        fleet, per_router=12, X_Arbutusvale_Deadline_Ms='1500'
    )
    # Routers that have just started send nothing to cold engines.
    load.play(server_warmups.BINDING_S + 1.0)
    returned_at = time.monotonic()
    for name in fleet.engines:
        fleet.register_engine(name, born=2)
    for router in fleet.routers:
        for name in fleet.engines:
            router.wait_for_log(f'event=server-cold server={name} ')
    listed_at = time.monotonic()
    time.sleep(WARMUP_S + 2.0)
    load.stop()
    for engine in fleet.engines.values():
        most = count_most_in_a_second(
            engine.arrivals, listed_at, returned_at + WARMUP_S
        )
        assert 0 < most <= ALLOWED
    refused = [
        (elapsed_s, float(headers['retry-after']))
        for started_at, elapsed_s, status, headers in load.answers
        if status == 503 and listed_at <= started_at < returned_at + WARMUP_S
    ]
    assert refused
    longest_s = 1.5 * (WARMUP_S + server_warmups.PACE_LIFE_S)
    assert all(retry_after_s <= longest_s for _, retry_after_s in refused)
