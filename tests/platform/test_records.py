"""Decoding of the platform's records, valid and malformed."""

import json

import pytest

from arbutusvale import errors
from arbutusvale.platform import records
from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing
from tests import helpers_edge


def make_configuration(**changes):
    return records.read_configuration(helpers_edge.make_config(**changes))


def test_a_configuration_is_decoded():
    route = helpers_edge.make_route(
        RouteType='streaming',
        StreamResume=True,
        TrafficSplit=[
            {'Service': 'a', 'Weight': 90},
            {'Service': 'b', 'Weight': 10},
            {'Service': 'c', 'Weight': 0},
        ],
    )
    configuration = make_configuration(version=7, routes=[route])
    assert configuration.version == 7
    [decoded_route] = configuration.routes
    assert decoded_route.kind is routing.RouteKind.STREAM
    assert decoded_route.retryable
    assert [split.pool for split in decoded_route.splits] == ['a', 'b']
    assert decoded_route.timeout_s == 2.0
    assert configuration.organisations['key-1'].priority == 2
    assert configuration.limits.idle_timeout_s == 3.0


@pytest.mark.parametrize(
    ('engine', 'tokens'),
    [
        ({'Slots': 8, 'KvCapacityTokens': 9000}, 9000),
        ({'KvCapacityTokens': -1}, 0),
        ({'KvCapacityTokens': 'much'}, 0),
        ({'KvCapacityTokens': float('inf')}, 0),
        ([], 0),
        (None, 0),
    ],
)
def test_the_memory_of_engines_is_decoded(engine, tokens):
    service = {'Name': 'chat', 'EngineId': engine}
    configuration = make_configuration(Services=[service])
    assert configuration.pools['chat'].memory_tokens == tokens


def test_a_route_of_unknown_kind_is_not_retryable():
    [route] = make_configuration(
        routes=[helpers_edge.make_route(RouteType='new')]
    ).routes
    assert not route.retryable


def test_without_organisations_no_api_key_is_required():
    assert make_configuration(Tenants=None).organisations is None
    assert make_configuration(Tenants=[]).organisations == {}


@pytest.mark.parametrize(
    ('changes', 'field'),
    [
        ({'Version': '7'}, 'Version'),
        ({'Version': True}, 'Version'),
        ({'Routes': None}, 'Routes'),
        ({'Routes': ['x']}, 'Routes'),
        ({'Routes': [helpers_edge.make_route(Host='')]}, 'Host'),
        ({'Routes': [helpers_edge.make_route(Service=None)]}, 'Service'),
        ({'Routes': [helpers_edge.make_route(TimeoutMs='x')]}, 'TimeoutMs'),
        ({'Services': [{'Name': 5}]}, 'Name'),
        ({'Tenants': {}}, 'Tenants'),
        ({'Tenants': [{'Name': 'a', 'ApiKeys': 'k'}]}, 'ApiKeys'),
    ],
)
def test_a_malformed_configuration_names_the_field(changes, field):
    with pytest.raises(errors.RecordError) as caught:
        make_configuration(**changes)
    assert caught.value.field == field
    assert caught.value.remedy


def test_bytes_that_are_not_a_json_object_are_malformed():
    for data in (b'', b'[]', b'\xff\xfe', b'"x"', b'[' * 100_000):
        with pytest.raises(errors.RecordError):
            records.read_configuration(data)


def test_a_server_entry_is_decoded():
    entry = helpers_edge.make_entry('10.1.1.1:80', State='draining', New=1)
    server = records.read_server('i-1', entry)
    assert server.state is proxying.ServerState.DRAINING
    assert server.endpoint == ('10.1.1.1', 80)


@pytest.mark.parametrize(
    'field', ['Service', 'Address', 'Zone', 'Slots', 'State', 'Version']
)
def test_a_server_entry_without_a_field_is_malformed(field):
    entry = json.loads(helpers_edge.make_entry('10.1.1.1:80'))
    del entry[field]
    with pytest.raises(errors.RecordError) as caught:
        records.read_server('i-1', json.dumps(entry).encode())
    assert caught.value.field == field


def make_warmup(**changes):
    service = {'Name': 'chat', 'MaxConnections': 9} | changes
    pool = make_configuration(Services=[service]).pools['chat']
    return pool.warmup_s, pool.warmup_rate


def test_declared_warmup_is_decoded():
    assert make_warmup(WarmupS=3.0, WarmupPerS=18) == (3.0, 18.0)
    assert make_warmup() == (0.0, 0.0)
    entry = helpers_edge.make_entry('10.1.0.1:1', WarmupLeftMs=1500)
    assert records.read_server('e', entry).cold_for_s == 1.5


@pytest.mark.parametrize(
    'value', [None, -1, True, 'x', [], float('nan'), float('inf')]
)
def test_nonsense_of_a_warmup_counts_as_absent(value):
    assert make_warmup(WarmupS=value, WarmupPerS=value) == (0.0, 0.0)
    entry = helpers_edge.make_entry('10.1.0.1:1', WarmupLeftMs=value)
    assert records.read_server('e', entry).cold_for_s == 0.0


def test_server_is_not_cold_for_ever():
    entry = helpers_edge.make_entry('10.1.0.1:1', WarmupLeftMs=1e15)
    assert records.read_server('e', entry).cold_for_s == records.MAX_COLD_S
