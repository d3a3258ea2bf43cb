"""Timeouts for the first byte and between events."""

from arbutusvale.coordination import response_timeouts
from arbutusvale.platform import records
from tests import helpers_edge


def make_route(**changes):
    data = helpers_edge.make_config(
        routes=[helpers_edge.make_route(**changes)]
    )
    return records.read_configuration(data).routes[0]


def test_plain_call_times_out_before_its_latency_target():
    route = make_route(TargetLatencyMs=400)
    assert response_timeouts.first_byte_timeout_s(route, 0.1, 0.0, 0.0) < 0.4


def test_busy_engine_has_a_longer_timeout_than_a_silent_one():
    route = make_route(RouteType='streaming', TargetLatencyMs=1000)
    busy = response_timeouts.first_byte_timeout_s(route, 1.0, 0.05, 0.0)
    silent = response_timeouts.first_byte_timeout_s(route, 1.0, 5.0, 0.0)
    assert busy > 1.0 > silent


def test_engine_that_reads_a_long_prompt_has_as_much_more_time():
    route = make_route(RouteType='streaming', TargetLatencyMs=1000)
    for silent_s in (0.05, 5.0):
        short, long = (
            response_timeouts.first_byte_timeout_s(
                route, 1.0, silent_s, reading_s
            )
            for reading_s in (0.0, 0.6)
        )
        assert long >= short + 0.6


def test_engine_that_hangs_is_given_up_however_long_reading_took():
    route = make_route(RouteType='streaming', TargetLatencyMs=1000)
    timeout_s = response_timeouts.first_byte_timeout_s(route, 1.0, 5.0, 60.0)
    assert timeout_s <= 2.0


def test_event_gap_times_out_before_callers_leave():
    route = make_route(RouteType='streaming', GapAimMs=300)
    assert 0.3 < response_timeouts.event_gap_timeout_s(route) < 8 * 0.3
