"""Requests in flight that prompts ask for, as several routers count them."""

import pytest

from arbutusvale.state import prompt_loads
from tests import helpers_edge

SERVICE_TIME_S = 1.0
TTL_S = 1.0


@pytest.fixture
def clock():
    return helpers_edge.Clock()


def ask(loads, clock, requests, gap_s=0.1, prompt='p'):
    for _ in range(requests):
        loads.record(prompt, SERVICE_TIME_S)
        clock.now += gap_s


def test_load_is_rate_times_service_time(clock):
    loads = prompt_loads.PromptLoads(clock)
    ask(loads, clock, 100)
    assert loads.read('p') == pytest.approx(10.0, rel=0.1)
    clock.now += 20.0
    assert loads.read('p') == 0.0
    assert not loads.list_own()
    assert not loads.repeated


def test_prompt_that_is_asked_for_seldom_has_no_load(clock):
    loads = prompt_loads.PromptLoads(clock)
    ask(loads, clock, 10, gap_s=5.0)
    assert loads.read('p') == 0.0


def test_loads_of_peers_add_up_until_they_expire(clock):
    routers = [prompt_loads.PromptLoads(clock) for _ in range(3)]
    for loads in routers:
        ask(loads, clock, 20, gap_s=0.0)
    for number, loads in enumerate(routers[1:]):
        routers[0].record_peer(str(number), loads.list_own(), TTL_S)
    assert routers[0].read('p') == pytest.approx(3 * routers[1].read('p'))
    clock.now += 2 * TTL_S
    assert routers[0].read('p') == pytest.approx(routers[1].read('p'))


def test_memory_and_messages_are_bounded(clock):
    loads = prompt_loads.PromptLoads(clock)
    for number in range(2 * prompt_loads.MAX_PROMPTS):
        ask(loads, clock, 2, 0.0, f'p{number}')
    assert len(loads.demands) <= prompt_loads.MAX_PROMPTS
    assert len(loads.repeated) <= prompt_loads.MAX_PROMPTS
    assert len(loads.list_own()) <= prompt_loads.MAX_TOLD_PROMPTS
    loads.record_peer('peer', {'q': 1e300, 'r': -5.0}, TTL_S)
    assert loads.read('q') <= prompt_loads.MAX_PEER_LOAD
    assert loads.read('r') == 0.0
