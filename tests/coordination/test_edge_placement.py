"""Tests of placing a request with what a router knows of its servers."""

import dataclasses
import types

from arbutusvale import composeedge
from arbutusvale.coordination import edge_placement
from arbutusvale.coordination import edge_reporter
from arbutusvale.platform import headers
from arbutusvale.protocol import edge_settings
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import proxying
from arbutusvale.state import server_warmups
from arbutusvale.state import warmup_shares
from tests import helpers_edge

PROMPT = (proxying.PromptPart('shared', 9000), proxying.PromptPart('own', 9))


def make_context(engines):
    address = edge_settings.Address('10.0.0.1', 1)
    settings = edge_settings.EdgeSettings(
        name='vm',
        data_centre='north',
        host='10.0.0.1',
        callers=address,
        readiness=address,
        store=address,
        seeds=(),
        peer_port=1,
        metrics_port=1,
        memory_bytes=10**8,
        link_mbit_per_s=0,
        max_sockets=1000,
        bounds=helpers_edge.make_bounds(),
    )
    program = composeedge.EdgeProgram('', settings, helpers_edge.Clock())
    for number in range(engines):
        entry = helpers_edge.make_entry(f'10.1.0.1:{number + 1}')
        record = keyed_log.Record(f'e{number + 1}', entry)
        program.server_view.update([record], None)
    return program.context


def record_answer(context, server_id, load):
    """Record an answer whose head tells a load."""
    reporter = edge_reporter.RequestReporter(context, make_request())
    response = [(b'x-arbutusvale-engine-load', load)]
    reporter.record_response_head(
        context.servers.by_id[server_id].server,
        headers.parse_response_head(200, b'', response),
        None,
        context.clock(),
    )


def make_request():
    metadata = proxying.RequestMetadata(
        'id', 'host', '', None, None, '', 'm', PROMPT, ''
    )
    caller_request = proxying.CallerRequest(b'', b'', [], b'', 0.0, False)
    route = types.SimpleNamespace(name='draft', target_latency_s=0.8)
    return types.SimpleNamespace(
        metadata=metadata,
        pool='chat',
        caller_request=caller_request,
        route=route,
    )


def place(context):
    return edge_placement.place_request(context, make_request(), [])


# The best ranked holder was the only one looked at, and nothing was copied.
def test_parts_are_copied_from_a_holder_that_is_not_ejected():
    context = make_context(5)
    ejected = place(context).server.id
    holder = next(each for each in ('e1', 'e2') if each != ejected)
    for server_id in (ejected, holder):
        context.prompts.record('m/shared', server_id)
    context.outlier_detector.record_unreachable(ejected)
    for _ in range(8):
        context.loads.record_start(holder)
    placement = place(context)
    assert placement.server.id not in (ejected, holder)
    address = context.servers.by_id[holder].server.address
    assert placement.cache_source == address


# A request that can't be served waited for most of its objective.
def test_nothing_is_awaited_while_no_server_is_ready():
    context = make_context(1)
    context.prompts.start_reading('m/shared', 'e1')
    assert edge_placement.is_being_read(context, make_request())
    request = make_request()
    request.pool = 'empty'
    assert not edge_placement.is_being_read(context, request)


def test_parts_held_only_in_an_evacuated_data_centre_are_copied():
    context = make_context(3)
    holder = place(context).server
    moved = dataclasses.replace(holder, data_centre='south')
    context.servers.put(moved)
    context.prompts.record('m/shared', holder.id)
    context.servers.evacuations.start('south', keyed_log.Position(1, 1))
    placement = place(context)
    assert placement.server.id != holder.id
    assert placement.cache_source == holder.address


# Bounds refer to the mean of all engines; that of those in use was taken.
def test_hot_prompt_keeps_the_load_bound_while_a_data_centre_is_emptied():
    context = make_context(24)
    for number in range(1, 25):
        server = context.servers.by_id[f'e{number}'].server
        data_centre = 'south' if number <= 8 else 'north'
        context.servers.put(
            dataclasses.replace(server, slots=64, data_centre=data_centre)
        )
    context.servers.evacuations.start('south', keyed_log.Position(1, 1))
    loads = dict.fromkeys(context.servers.by_id, 0)
    factor = context.settings.bounds.load_factor
    for _ in range(300):
        placement = place(context)
        mean = sum(loads.values()) / len(loads)
        assert loads[placement.server.id] <= factor * mean + 3
        loads[placement.server.id] += 1
        context.loads.record_start(placement.server.id)
        context.prompts.record('m/shared', placement.server.id)
    assert not any(loads[f'e{number}'] for number in range(1, 9))


def make_half_returned_pool(warm_load):
    """Return a router's context: 8 loaded engines, 16 cold without credit."""
    context = make_cold_pool(24, 10.0)
    warm = [f'e{number}' for number in range(1, 9)]
    for name in warm:
        server = context.servers.by_id[name].server
        context.servers.put(dataclasses.replace(server, slots=64))
        context.limits.warmups.forget(name)
        for _ in range(warm_load):
            context.loads.record_start(name)
    cold = [
        listed.server
        for listed in context.servers.list_ready_servers('chat')
        if listed.server.id not in warm
    ]
    for server in cold:
        while not context.limits.time_until_free_s(server):
            context.limits.spend(server)
    return context


# Engines that had just returned were left out of the mean.
def test_bound_of_the_others_counts_engines_that_return_cold():
    context = make_half_returned_pool(30)
    for _ in range(30):
        context.loads.record_end('e8')
    placement = place(context)
    mean = 7 * 30 / 24
    factor = context.settings.bounds.load_factor
    assert placement.server.id == 'e8'
    assert placement.bound <= factor * mean + 3


# All routers sent to the least loaded of the engines above the bound.
def test_request_waits_for_cold_engines_when_the_others_are_above_the_bound():
    context = make_half_returned_pool(30)
    assert place(context) is None
    wait_s = edge_placement.find_shortest_wait_s(context, make_request(), [])
    assert 0 < wait_s <= 1 / 18.0
    context.clock.now += 0.2
    cold = place(context).server
    assert context.limits.is_limited(cold)


def make_cold_pool(engines, seconds_after_start):
    """Return the context of a router, with a pool that has just returned."""
    context = make_context(engines)
    warmup = warmup_shares.Warmup(3.0, 18.0, 32.0)
    warmups = context.limits.warmups
    warmups.list_warmups = lambda: {'chat': warmup}
    context.clock.now += seconds_after_start
    for listed in context.servers.list_ready_servers('chat'):
        warmups.record_listed(listed.server, True)
    return context


def count_placed(context, seconds):
    count = 0
    end = context.clock.now + seconds
    while context.clock.now < end:
        placement = place(context)
        if placement is not None:
            context.limits.spend(placement.server)
            count += 1
        context.clock.now += 0.005
    return count


def test_pool_that_returns_cold_serves_its_rate_and_tells_when_it_has_more():
    context = make_cold_pool(4, 10.0)
    allowed = 4 * 18.0 * 2.0
    assert 0.9 * allowed <= count_placed(context, 2.0) <= allowed + 4
    while place(context) is not None:
        context.limits.spend(place(context).server)
    wait_s = edge_placement.find_shortest_wait_s(context, make_request(), [])
    assert 0 < wait_s <= 1 / 18.0


def test_router_that_may_send_nothing_yet_tells_when_servers_are_warm():
    context = make_cold_pool(4, 1.0)
    assert place(context) is None
    for _ in range(20):
        context.waiters.join('chat')
    wait_s = edge_placement.find_shortest_wait_s(context, make_request(), [])
    assert 2.9 < wait_s <= 3.0 + server_warmups.PACE_LIFE_S


def test_engine_that_tells_to_be_slow_gives_its_prompts_to_the_next():
    context = make_context(5)
    first = place(context).server.id
    context.prompts.record('m/shared', first)
    record_answer(context, first, b'1,0,8,600')
    placement = place(context)
    assert placement.reason == 'faster'
    address = context.servers.by_id[first].server.address
    assert placement.cache_source == address
    # It has told nothing since.
    context.clock.now += 30.0
    assert place(context).server.id == first


# A figure of 0 must not draw all requests, one of a million not repel them.
def test_nonsense_in_place_of_a_slowdown_changes_no_placement():
    context = make_context(5)
    first = place(context).server.id
    for nonsense in (b'0', b'-3', b'1000000', b'nan', b'?'):
        record_answer(context, first, b'0,0,8,' + nonsense)
        record_answer(context, 'e1', b'0,0,8,' + nonsense)
        assert place(context).server.id == first
    assert context.metrics.counters['malformed_slowdowns', ''] == 10
