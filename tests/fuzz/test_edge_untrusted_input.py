"""Property tests of the edge router's decoders of untrusted input.

No input may raise an undocumented error or mix up answers.
"""

import asyncio
import itertools
import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from arbutusvale import errors
from arbutusvale.platform import headers
from arbutusvale.platform import records
from arbutusvale.platform import store
from arbutusvale.protocol import crash_report
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import limit_message
from arbutusvale.protocol import list_update
from arbutusvale.protocol import peer_message
from arbutusvale.protocol import routing
from arbutusvale.protocol import stream_origin
from arbutusvale.state import server_speeds
from arbutusvale.transport import edge_server
from arbutusvale.transport import http_connection
from tests import helpers_edge

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)
CONFIG = json.loads(helpers_edge.make_config())
SERVER_RECORD = json.loads(helpers_edge.make_entry('1.1.1.1:1'))


def mutate(document, path, value):
    """Return a copy of a document with one value replaced at a path."""
    mutated = json.loads(json.dumps(document))
    target = mutated
    for step in path:
        if isinstance(target, dict) and target:
            key = sorted(target)[step % len(target)]
        elif isinstance(target, list) and target:
            key = step % len(target)
        else:
            return mutated
        if step % 3 == 0 or not isinstance(target[key], dict | list):
            target[key] = value
            return mutated
        target = target[key]
    return mutated


@given(strategies.lists(strategies.integers(0, 50), max_size=5), JSON)
def test_configuration_is_decoded_or_rejected(path, value):
    data = json.dumps(mutate(CONFIG, path, value)).encode()
    try:
        assert isinstance(
            records.read_configuration(data), routing.Configuration
        )
    except errors.RecordError as error:
        assert error.remedy


@given(strategies.lists(strategies.integers(0, 50), max_size=4), JSON)
def test_limit_message_is_decoded_or_rejected(path, value):
    message = limit_message.LimitMessage(
        'h',
        {'chat': 2.5},
        (limit_message.NamedLimit('e', 1, 'chat', 0.5, 30),),
    )
    document = json.loads(limit_message.encode(message))
    data = json.dumps(
        mutate(document, path, value), separators=(',', ':')
    ).encode()
    try:
        decoded = limit_message.decode(data)
    except errors.FrameError as error:
        assert error.remedy
        return
    assert decoded is None or isinstance(decoded, limit_message.LimitMessage)


@given(strategies.lists(strategies.integers(0, 50), max_size=4), JSON)
def test_crash_report_is_decoded_or_rejected(path, value):
    message = crash_report.CrashMessage(
        'h',
        (crash_report.CrashReport('e/1', 5, (b'rx', b'px'), (b'px',)),),
        (crash_report.Completion(b'px', 3),),
    )
    document = json.loads(crash_report.encode(message))
    data = json.dumps(
        mutate(document, path, value), separators=(',', ':')
    ).encode()
    try:
        decoded = crash_report.decode(data)
    except errors.FrameError as error:
        assert error.remedy
        return
    assert decoded is None or isinstance(decoded, crash_report.CrashMessage)


@given(strategies.lists(strategies.integers(0, 50), max_size=2), JSON)
def test_server_record_is_decoded_or_rejected(path, value):
    data = json.dumps(mutate(SERVER_RECORD, path, value)).encode()
    try:
        records.read_server('i', data).endpoint  # noqa: B018
    except errors.RecordError as error:
        assert error.remedy


@given(strategies.binary(max_size=200))
def test_raw_records_are_decoded_or_skipped(data):
    decoded, count = store._decode_records(data, 7)
    assert len(decoded) <= count
    offsets = [record.offset for record in decoded]
    assert offsets == sorted(offsets)
    assert all(7 <= offset < 7 + count for offset in offsets)


@given(JSON)
def test_peer_message_is_decoded_or_rejected(value):
    try:
        peer_message.decode(json.dumps(value).encode())
    except errors.FrameError:
        pass


@given(strategies.lists(strategies.integers(0, 50), max_size=4), JSON)
def test_speeds_of_a_peer_are_decoded_or_rejected(path, value):
    message = peer_message.PeerMessage(
        'r', 'h', {}, {}, (), speeds=(peer_message.SpeedNews('e', 2.5, 3),)
    )
    document = json.loads(peer_message.encode(message))
    speeds = server_speeds.ServerSpeeds(helpers_edge.Clock())
    server = helpers_edge.make_server('e')
    try:
        decoded = peer_message.decode(
            json.dumps(mutate(document, path, value)).encode()
        )
    except errors.FrameError:
        return
    for news in decoded.speeds:
        speeds.merge(news, server.started_at_ms)
    assert (
        server_speeds.MIN_SLOWDOWN
        <= speeds.estimate(server)
        <= server_speeds.MAX_SLOWDOWN
    )


@given(strategies.sampled_from(['origin', 'origin-query']), JSON, JSON, JSON)
def test_message_on_a_stream_is_decoded_or_rejected(
    kind, attempt, pool, version
):
    document = {
        'kind': kind, 'attempt': attempt, 'pool': pool, 'version': version,
        'host': pool,
    }  # fmt: skip
    data = json.dumps(document, separators=(',', ':')).encode()
    try:
        message = stream_origin.decode(data)
    except errors.FrameError:
        return
    assert stream_origin.decode(stream_origin.encode(message)) == message


LIST_UPDATE_ROWS = strategies.lists(
    strategies.tuples(JSON, JSON, JSON).map(list) | JSON, max_size=3
)


@given(JSON, JSON, JSON, JSON, LIST_UPDATE_ROWS)
def test_list_update_is_decoded_or_rejected(
    start_offset, end_offset, age_ms, topic, rows
):
    document = {
        'kind': 'list', 'host': '10.0.0.1', 'topic': topic,
        'since': start_offset, 'until': end_offset, 'age_ms': age_ms,
        'records': rows,
    }  # fmt: skip
    data = json.dumps(document, separators=(',', ':')).encode()
    try:
        update = list_update.decode(data)
    except errors.FrameError:
        return
    assert update.start_offset <= update.end_offset
    assert update.age_s >= 0


@given(
    strategies.lists(
        strategies.tuples(
            strategies.text(max_size=20),
            strategies.none() | strategies.binary(min_size=1, max_size=400),
        ),
        max_size=20,
    )
)
def test_list_update_is_unchanged_by_splitting_into_datagrams(entries):
    records = tuple(
        keyed_log.Record(key, value, 10 + 3 * index)
        for index, (key, value) in enumerate(entries)
    )
    update = list_update.ListUpdate('10.0.0.1', 'topic', 4, 90, 0.0, records)
    parts = [
        list_update.decode(list_update.encode(part))
        for part in list_update.split(update)
    ]
    assert [parts[0].start_offset, parts[-1].end_offset] == [4, 90]
    for before, after in itertools.pairwise(parts):
        assert before.end_offset == after.start_offset
    assert sum((part.records for part in parts), ()) == records


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [
                    headers.ATTEMPT_ID,
                    headers.DEADLINE_MS,
                    headers.PROMPT_PREFIX,
                    headers.TOKEN_COUNT,
                    headers.ENGINE_LOAD,
                    b'host',
                    b'keep-alive',
                    b'connection',
                    b'authorization',
                ]
            ),
            strategies.binary(max_size=30),
        ),
        max_size=8,
    )
)
def test_header_parsers_never_raise(header_pairs):
    headers.parse_request(header_pairs)
    headers.parse_response_head(200, b'OK', header_pairs)


def _ignore_callback(*arguments, **fields):
    """Ignore the server's callbacks."""


REQUEST = (
    b'POST /chat/x HTTP/1.1\r\nHost: a\r\nX: y\r\n'
    b'Content-Length: 5\r\n\r\nhello'
)


def corrupt(data, edits):
    """Return a copy of ``data`` with bytes replaced, deleted and inserted."""
    corrupted = bytearray(data)
    for position, byte, kind in edits:
        index = position % (len(corrupted) + 1)
        if kind == 0 and index < len(corrupted):
            corrupted[index] = byte
        elif kind == 1 and index < len(corrupted):
            del corrupted[index]
        else:
            corrupted.insert(index, byte)
    return bytes(corrupted)


EDITS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 300),
        strategies.integers(0, 255),
        strategies.integers(0, 2),
    ),
    max_size=6,
)


@settings(max_examples=200)
@given(EDITS, strategies.integers(1, 40))
def test_corrupt_request_is_complete_or_rejected(edits, size):
    async def run():
        received_requests = []

        async def serve(request, caller):
            received_requests.append(request)
            caller.send_response(200, [], b'')

        server = edge_server.EdgeServer(
            serve,
            routing.CallerLimits,
            1 << 20,
            _ignore_callback,
            _ignore_callback,
            100,
        )
        connection = server.make_connection()
        transport = helpers_edge.RecordingTransport()
        connection.connection_made(transport)
        data = corrupt(REQUEST, edits)
        for start in range(0, len(data), size):
            connection.data_received(data[start : start + size])
            for _ in range(3):
                await asyncio.sleep(0)
        for request in received_requests:
            assert len(request.body) <= len(data)
        rejected = transport.written.startswith(b'HTTP/1.1 4')
        assert not (rejected and received_requests)
        connection.connection_lost(None)

    asyncio.run(run())


RESPONSE = (
    b'HTTP/1.1 200 OK\r\nX-Arbutusvale-Attempt-Id: a\r\n'
    b'Content-Length: 5\r\n\r\nhello'
)


@settings(max_examples=200)
@given(EDITS, strategies.integers(1, 40), strategies.booleans())
def test_corrupt_response_is_complete_or_fails(edits, size, reset):
    async def run():
        connection = http_connection.HttpConnection()
        connection.connection_made(helpers_edge.RecordingTransport())
        fields = {}

        def decode(status, reason, pairs):
            fields.update(pairs)
            return headers.parse_response_head(status, reason, pairs)

        exchange = connection.send(b'x', decode)
        data = corrupt(RESPONSE, edits)
        for start in range(0, len(data), size):
            connection.data_received(data[start : start + size])
        connection.connection_lost(OSError() if reset else None)
        assert exchange.ended or exchange.error is not None
        if exchange.ended and exchange.head.result().status == 200:
            length = fields.get(b'content-length')
            if length is not None and length.strip().isdigit():
                assert len(exchange.read_buffered()) == int(length)

    asyncio.run(run())
