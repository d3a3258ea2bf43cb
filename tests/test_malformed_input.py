"""What other parties write is read, or refused with the reader's own error.

Every field of a valid example is replaced by values that no writer of ours
uses: numbers that no double holds, deep nesting, ports out of range.
"""

import base64
import json
import zlib

import pytest

from arbutusvale import errors
from arbutusvale.coordination import config_copies
from arbutusvale.coordination import config_view
from arbutusvale.coordination import evacuation_view
from arbutusvale.coordination import event_stream
from arbutusvale.coordination import peer_snapshot
from arbutusvale.coordination import peers
from arbutusvale.coordination import server_view
from arbutusvale.platform import engine_caches
from arbutusvale.platform import headers
from arbutusvale.platform import records
from arbutusvale.platform import store
from arbutusvale.protocol import crash_report
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import limit_message
from arbutusvale.protocol import list_update
from arbutusvale.protocol import load_message
from arbutusvale.protocol import peer_message
from arbutusvale.protocol import proxying
from arbutusvale.protocol import stream_origin
from arbutusvale.state import evacuations
from arbutusvale.state import prompt_cache_index
from arbutusvale.state import prompt_loads
from arbutusvale.state import server_list
from arbutusvale.state import server_loads
from tests import helpers_edge

ODD_VALUES = (
    '1' + 400 * '0',
    '-1' + 400 * '0',
    5000 * '9',
    '9007199254740993',
    '1e308',
    '1e400',
    'NaN',
    '-Infinity',
    '-1',
    '0.5',
    'true',
    'null',
    '{}',
    '[]',
    100_000 * '[',
    100_000 * '{"a":',
    '""',
    '"\\u00b2"',
    '"\\ud800"',
    '"\\u4e2d"',
    '"a\\r\\nb: c"',
    '"1.2.3.4:80800"',
    '"1.2.3.4:0"',
    '"1.2.3.4:\\u00b2"',
    '":80"',
    '"example.org:80"',
)
ODD_BYTES = (
    400 * b'9',
    5000 * b'9',
    b'-1',
    b'1e400',
    b'nan',
    b'\xb2',
    b'\xff',
    b'',
    b',,,',
    b'a:' + 400 * b'9',
    400 * b'9' + b',' + 400 * b'9' + b',1,' + 400 * b'9',
    b'timeout=' + 400 * b'9',
)
PEER_MESSAGES = (
    peer_message.PeerMessage(
        name='r1',
        host='10.0.0.1',
        offsets={'t': 3},
        loads={'e1': 2},
        peers=('10.0.0.2',),
        cache_locations=(
            peer_message.CacheLocation('p', 'e1'),
            peer_message.CacheLocation('q', 'e1', True),
        ),
        suspicions=(peer_message.Suspicion(b'f', ('c',), ('d',)),),
        eras={'t': 1},
        leaving_servers=(peer_message.LeavingServer('e1', 5, '1.1.1.1:1'),),
        incarnation=7,
        evacuated=(peer_message.EvacuatedDataCentre('north', 1, 2),),
        warmups={'chat': peer_message.PoolAnnouncement(2.0, 0.5)},
        speeds=(peer_message.SpeedNews('e1', 1.5, 3),),
        prompt_loads={'p': 0.5},
        demand={'chat': 3.5},
    ),
    list_update.ListUpdate(
        '10.0.0.1', 't', 1, 3, 0.5, (keyed_log.Record('k', b'v', 2),), 1
    ),
    stream_origin.StreamOrigin('a', 'chat', 'v1'),
    stream_origin.OriginQuery('10.0.0.1', 'a'),
    stream_origin.HolderQuery('10.0.0.1', 3, 'm', 'p', ('e1',)),
    stream_origin.HolderAnswer('10.0.0.1', 3, {'e1': 5}),
    crash_report.CrashMessage(
        '10.0.0.1',
        (crash_report.CrashReport('e1 1', 5, (b'a',), (b'a',)),),
        (crash_report.Completion(b'b', 5),),
    ),
    limit_message.LimitMessage(
        '10.0.0.1',
        {'chat': 2.5},
        (limit_message.NamedLimit('e1', 5, 'chat', 3.5, 9),),
        (limit_message.PaceEvidence('e1', 5, 'chat', 1, 2),),
    ),
    load_message.LoadReport('10.0.0.1', {'e1': 4}),
    load_message.LoadSummary('10.0.0.1', {'e1': 4}),
)
CODECS = {
    peer_message.PeerMessage: peer_message,
    list_update.ListUpdate: list_update,
    stream_origin.StreamOrigin: stream_origin,
    stream_origin.OriginQuery: stream_origin,
    stream_origin.HolderQuery: stream_origin,
    stream_origin.HolderAnswer: stream_origin,
    crash_report.CrashMessage: crash_report,
    limit_message.LimitMessage: limit_message,
    load_message.LoadReport: load_message,
    load_message.LoadSummary: load_message,
}


def list_variants(data):
    """List a JSON document with each of its values replaced in turn."""
    document = json.loads(data)
    variants = []
    for parent, key in list_places(document):
        original = parent[key]
        parent[key] = '@odd@'
        text = json.dumps(document, separators=(',', ':'))
        parent[key] = original
        variants.extend(text.replace('"@odd@"', odd) for odd in ODD_VALUES)
    return [variant.encode() for variant in (*variants, *ODD_VALUES)]


def list_places(node):
    """List all values of a document, each by its parent and its key."""
    match node:
        case dict():
            keys = list(node)
        case list():
            keys = range(len(node))
        case _:
            return []
    return [
        place
        for key in keys
        for place in ((node, key), *list_places(node[key]))
    ]


def test_entries_of_servers_are_read_or_refused():
    accepted = []
    entry = helpers_edge.make_entry('1.2.3.4:80')
    for data in list_variants(entry):
        try:
            accepted.append(records.read_server('e1', data))
        except errors.RecordError:
            continue
    for server in accepted:
        host, port = server.endpoint
        assert host == '1.2.3.4'
        assert port == 80
        assert 1 <= server.slots <= records.MAX_SLOTS
        assert 0 <= server.started_at_ms < 2**53
        assert 0 <= server.cold_for_s <= records.MAX_COLD_S
        for text in (server.pool, server.data_centre, server.software_version):
            text.encode()
    assert accepted


@pytest.mark.parametrize('key', ['', 'a\r\nb: c', 'a b', '\u4e2d', 'a' * 300])
def test_entry_of_an_id_that_no_header_can_hold_is_refused(key):
    with pytest.raises(errors.RecordError):
        records.read_server(key, helpers_edge.make_entry('1.2.3.4:80'))


def test_configurations_are_read_or_refused():
    route = helpers_edge.make_route(
        TrafficSplit=[{'Service': 's', 'Weight': 1}]
    )
    service = {
        'Name': 's',
        'MaxConnections': 5,
        'WarmupS': 2,
        'WarmupPerS': 3,
        'EngineId': {'KvCapacityTokens': 5},
    }
    data = helpers_edge.make_config(1, [route], Services=[service])
    for variant in list_variants(data):
        try:
            configuration = records.read_configuration(variant)
        except errors.RecordError:
            continue
        assert configuration.version < 2**53


def test_server_list_goes_on_after_entries_that_cannot_be_read():
    clock = helpers_edge.Clock()
    servers = server_list.ServerList(clock)
    view = server_view.ServerView(
        servers, records.read_server, helpers_edge.Events(), lambda _: None
    )
    entry = helpers_edge.make_entry('1.2.3.4:80')
    for number, data in enumerate(list_variants(entry)):
        view.update([keyed_log.Record(f'odd-{number}', data)], None)
    sound = keyed_log.Record('e1', entry)
    view.update([sound], None)
    assert 'e1' in servers.by_id
    odd = [
        keyed_log.Record(f'odd-{number}', data)
        for number, data in enumerate(list_variants(entry))
    ]
    view.replace([*odd, sound], None)
    assert 'e1' in servers.by_id


@pytest.mark.parametrize(
    'message', PEER_MESSAGES, ids=lambda message: type(message).__name__
)
def test_messages_of_peers_are_read_or_refused(message):
    codec = CODECS[type(message)]
    clock = helpers_edge.Clock()
    router = peers.Peers(
        'r', '10.0.0.9', ('10.0.0.1',), helpers_edge.Events(), clock
    )
    router.loads = server_loads.ServerLoads(clock)
    router.prompts = prompt_cache_index.PromptCacheIndex(clock)
    router.prompt_loads = prompt_loads.PromptLoads(clock)
    router.receive(codec.encode(message))
    assert not router.malformed_count
    for data in list_variants(codec.encode(message)):
        try:
            codec.decode(data)
        except errors.FrameError:
            pass
        router.receive(data)
    router.broadcast()
    router.loads.estimate('e1')
    assert router.malformed_count


class Follower:
    offset = 1
    era = 1

    def adopt(self, offset, era):
        self.offset = offset


def make_snapshot_exchange():
    clock = helpers_edge.Clock()
    events = helpers_edge.Events()
    evacuated = evacuation_view.EvacuationView(
        evacuations.Evacuations(clock),
        records.read_evacuated_data_centre,
        lambda: keyed_log.Position(1, 1),
        events,
    )
    config = config_view.ConfigView(
        config_view.ConfigSource('config', records.read_configuration),
        events,
        clock,
    )
    view = server_view.ServerView(
        server_list.ServerList(clock),
        records.read_server,
        events,
        lambda _: None,
    )
    state = peer_snapshot.LocalState(
        config,
        view,
        Follower(),
        Follower(),
        prompt_cache_index.PromptCacheIndex(clock),
        evacuated,
    )
    return peer_snapshot.SnapshotExchange(state, events)


def test_snapshots_of_peers_are_read_or_refused():
    document = {
        'config': base64.b64encode(helpers_edge.make_config()).decode(),
        'config_offset': 5,
        'config_era': 1,
        'evacuated': {'north': [1, 2]},
        'servers': {
            'e1': base64.b64encode(
                helpers_edge.make_entry('1.2.3.4:80')
            ).decode()
        },
        'server_offset': 5,
        'server_era': 1,
        'places': {'p': ['e1']},
    }
    data = json.dumps(document).encode()
    assert make_snapshot_exchange().apply_snapshot('peer', data)
    for variant in list_variants(data):
        make_snapshot_exchange().apply_snapshot('peer', variant)


def test_copies_of_the_configuration_are_read_or_refused():
    exchange = make_snapshot_exchange()
    copies = config_copies.ConfigCopies(
        '10.0.0.1',
        exchange.state.config,
        exchange.state.evacuations,
        [],
        list,
        lambda: False,
        helpers_edge.Events(),
    )
    document = {
        'config': base64.b64encode(helpers_edge.make_config()).decode(),
        'evacuated': {'north': [1, 2]},
    }
    for variant in list_variants(json.dumps(document)):
        copies.apply(zlib.compress(variant))


def test_cache_lists_of_engines_are_read_or_refused():
    data = json.dumps({'epoch': 1, 'held': [['', 'p', 5, 'm']]})
    assert engine_caches.decode_list(data.encode()) == {('m', 'p'): 5}
    for variant in list_variants(data):
        try:
            engine_caches.decode_list(variant)
        except errors.ServerFailed:
            continue


def test_pages_of_the_store_are_read_or_refused():
    data = json.dumps(
        {
            'Entries': [{'Key': 'k', 'Data': 'dg==', 'Offset': 3}],
            'EndOffset': 5,
        }
    )
    for variant in list_variants(data):
        try:
            store.decode_newest_page(variant)
        except errors.StoreUnavailable:
            continue


@pytest.mark.parametrize('value', ODD_BYTES)
def test_headers_of_requests_and_responses_are_read(value):
    names = (
        headers.DEADLINE_MS,
        headers.LAST_EVENT_ID,
        headers.RESUMES,
        headers.TOKEN_COUNT,
        headers.PROMPT_PREFIX,
        headers.ENGINE_LOAD,
        headers.SERVER_LIMIT,
        headers.SERVER_LEAVING,
        headers.WARMUP_MS,
        headers.ATTEMPT_ID,
        b'retry-after',
        b'keep-alive',
        b'connection',
        b'host',
        b'authorization',
    )
    for name in names:
        metadata = headers.parse_request([(name, value)])
        assert metadata.time_left_s is None or metadata.time_left_s < 2**53
        assert metadata.total_tokens < 2**60
        for status in (200, 421, 503):
            head = headers.parse_response_head(status, b'', [(name, value)])
            assert head.load is None or head.load.running < 2**53


def test_event_with_an_id_of_thousands_of_digits_is_refused():
    buffer = event_stream.EventBuffer(3)
    buffer.feed(b'id: ' + 5000 * b'9' + b'\ndata: x\n\n')
    assert buffer.is_unusable
    assert buffer.last_event_id == 3


def test_ids_of_events_may_be_times_in_nanoseconds():
    buffer = event_stream.EventBuffer(None)
    buffer.feed(b'id: 1796445000000000001\ndata: x\n\n')
    assert buffer.last_event_id == 1796445000000000001
    metadata = headers.parse_request(
        [(headers.LAST_EVENT_ID, b'1796445000000000001')]
    )
    assert metadata.last_event_id == 1796445000000000001


def test_largest_valid_numbers_are_still_read():
    data = helpers_edge.make_entry('1.2.3.4:65535', Slots=1.0, born=2**53 - 1)
    server = records.read_server('e1', data)
    assert server.state is proxying.ServerState.READY
    assert server.started_at_ms == 2**53 - 1


# An error that no decoder foresaw ended the reader, each time at that record.
@pytest.mark.parametrize('error', [OverflowError, ZeroDivisionError, OSError])
@pytest.mark.parametrize(
    'read',
    [
        lambda: records.read_configuration(b'{}'),
        lambda: records.read_server('s', b'{}'),
    ],
)
def test_record_that_can_not_be_decoded_is_refused(monkeypatch, read, error):
    def fail(data):
        raise error('unforeseen')

    monkeypatch.setattr(records.json, 'loads', fail)
    with pytest.raises(errors.RecordError, match='unforeseen'):
        read()
