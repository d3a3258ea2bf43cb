"""Responses of servers that break off, on their way to a caller."""

import asyncio
import itertools
import tracemalloc
import types

import pytest

from arbutusvale import errors
from arbutusvale.coordination import edge_relay
from arbutusvale.coordination import edge_requests
from arbutusvale.coordination import event_stream
from arbutusvale.platform import headers
from arbutusvale.state import byte_budget
from arbutusvale.transport import http_connection
from arbutusvale.transport import response_encoder
from tests import helpers_edge

SERVER = helpers_edge.make_server('s')
LIMIT_BYTES = 10_000_000
IDENTITY = (
    b'X-Arbutusvale-Attempt-Id: a\r\nX-Arbutusvale-Engine-Signature: s\r\n'
)
EVENTS = b'id: 1\ndata: one\n\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
# Status and method, what precedes the head, its framing, and the body.
RESPONSES = {
    'length': (200, b'GET', b'', b'Content-Length: 17\r\n', EVENTS),
    'chunks': (
        200, b'GET', b'', CHUNKED, b'11\r\n' + EVENTS + b'\r\n0\r\n\r\n',
    ),
    'trailers': (
        200, b'GET', b'', CHUNKED + b'Trailer: X-End\r\n',
        b'11\r\n' + EVENTS + b'\r\n0\r\nX-End: 1\r\n\r\n',
    ),
    'close': (200, b'GET', b'', b'', EVENTS),
    'interim': (
        200, b'GET', b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n',
        b'Content-Length: 17\r\n', EVENTS,
    ),
    'interim-like': (
        200, b'GET', b'HTTP/1.1 103 Early Hints\r\n' + IDENTITY + b'\r\n',
        CHUNKED, b'11\r\n' + EVENTS + b'\r\n0\r\n\r\n',
    ),
    'head': (200, b'HEAD', b'', b'Content-Length: 17\r\n', b''),
    'head-chunks': (200, b'HEAD', b'', CHUNKED, b''),
    'head-close': (200, b'HEAD', b'', b'', b''),
    'no-content': (204, b'GET', b'', b'', b''),
    'no-content-interim': (
        204, b'GET', b'HTTP/1.1 100 Continue\r\n\r\n', b'', b'',
    ),
}  # fmt: skip


class Caller:
    """A caller's response, as the bytes that were written of it."""

    def __init__(self, method=b'GET'):
        self.encoder = response_encoder.ResponseEncoder(
            method == b'HEAD', False
        )
        self.received = b''
        self.aborted = False

    @property
    def started(self):
        return self.encoder.started

    def send_response(self, status, fields, body):
        self.received += self.encoder.encode_whole(status, fields, body, False)

    def start(self, status, fields):
        self.received += self.encoder.encode_head(status, fields, False)

    def write(self, data):
        self.received += self.encoder.encode_body(data)

    def finish(self):
        self.received += self.encoder.encode_end()

    def abort(self):
        self.aborted = True

    async def wait_until_drained(self):
        pass


class Crashes:
    """A crash tracker that takes each server for alive."""

    async def has_crashed(self, server):
        return False


def make_relay(caller, connection, method, is_stream, held_bytes=0):
    """Return a relay to a caller that resumes after the event 3."""
    held = byte_budget.ByteBudget(LIMIT_BYTES, LIMIT_BYTES // 2)
    held.change(held_bytes)
    context = types.SimpleNamespace(
        clock=asyncio.get_running_loop().time,
        codec=headers,
        crashes=Crashes(),
        held=held,
        last_received_at={},
    )
    request = types.SimpleNamespace(
        caller_request=types.SimpleNamespace(method=method),
        deadline=context.clock() + 60,
        metadata=types.SimpleNamespace(attempt_id='a'),
        pool='chat',
        route=types.SimpleNamespace(
            is_stream=is_stream, resumable=is_stream, retryable=True
        ),
    )
    reporter = types.SimpleNamespace(
        context=context,
        request=request,
        record_mismatched_response=lambda *details: None,
        record_response_head=lambda *details: None,
    )
    return edge_relay.ResponseRelay(
        reporter,
        caller,
        event_stream.EventBuffer(3 if caller.started else None),
        edge_relay.Alternatives(lambda: False, lambda: False, list),
        lambda: None,
        SERVER,
        connection,
        0,
    )


async def relay_response(caller, pieces, error, method, is_stream, **changes):
    """Relay a response that comes in pieces and ends with its connection.

    Return the outcome; it is the second response on its connection.
    """
    connection = http_connection.HttpConnection()
    connection.connection_made(helpers_edge.RecordingTransport())
    first = connection.send(b'x', http_connection.decode_status)
    connection.data_received(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    assert first.ended
    assert connection.release()
    relay = make_relay(caller, connection, method, is_stream, **changes)
    task = asyncio.create_task(relay.run(b'x'))
    await asyncio.sleep(0)
    for piece in pieces:
        connection.data_received(piece)
    connection.connection_lost(error)
    async with asyncio.timeout(5):
        return (await task).outcome


# A server that stopped inside its head was answered as an empty 200.
@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize('kind', RESPONSES)
def test_head_that_breaks_off_is_no_response(kind, is_stream):
    status, method, before, framing, body = RESPONSES[kind]
    head = before + b'HTTP/1.1 %d OK\r\n' % status
    head += IDENTITY + framing + b'\r\n'
    data = head + body

    async def run():
        for size, error in itertools.product(
            range(len(data) + 1), (None, ConnectionResetError())
        ):
            caller = Caller(method)
            # The last byte comes alone if the connection is closed.
            split = size if error else max(0, size - 1)
            pieces = (data[:split], data[split:size])
            outcome = await relay_response(
                caller, filter(None, pieces), error, method, is_stream
            )
            is_delivered = isinstance(outcome, edge_requests.Delivered)
            if size < len(head):
                assert not is_delivered, data[:size]
                assert caller.received == b''
            elif size == len(data) and not (error and kind == 'close'):
                assert is_delivered
            elif kind != 'close' or error:
                assert not is_delivered, data[:size]
                assert not caller.encoder.finished

    asyncio.run(run())


# Its head and text came in the middle of the caller's stream.
@pytest.mark.parametrize('held_share', [0.0, 1.0])
@pytest.mark.parametrize('size', [0, 1, 300_000])
@pytest.mark.parametrize('status', [200, 400, 500, 503])
def test_error_in_a_resumption_is_not_passed_on(status, size, held_share):
    fields = (
        IDENTITY if status != 200 else IDENTITY[: IDENTITY.index(b'\n') + 1]
    )
    head = b'HTTP/1.1 %d Status\r\n%bContent-Length: %d\r\n\r\n' % (
        status, fields, size,
    )  # fmt: skip

    async def run():
        caller = Caller()
        caller.start(200, [])
        caller.write(EVENTS)
        before = caller.received
        outcome = await relay_response(
            caller,
            [head]
            + [b'e' * 10_000] * (size // 10_000)
            + [b'e' * (size % 10_000)],
            None,
            b'GET',
            True,
            held_bytes=int(held_share * LIMIT_BYTES),
        )
        assert isinstance(outcome, edge_requests.Failed)
        assert caller.received == before
        assert not caller.encoder.finished

    asyncio.run(run())


class PieceConnection:
    """A server's connection that yields ``pieces``, then fails."""

    requests = 1

    def __init__(self, pieces):
        self.pieces = pieces
        self.grown_bytes = self.held_bytes = 0

    async def read(self, exchange):
        if not self.pieces:
            self.grown_bytes, _ = tracemalloc.get_traced_memory()
            self.held_bytes = self.held.held_bytes
            raise errors.ServerFailed('connection closed', True)
        return b'%02d' % (self.pieces.pop() % 90 + 10)


# A piece for each of the server's writes was kept, and its payload counted.
def test_buffered_response_counts_what_it_costs():
    async def run():
        caller = Caller()
        connection = PieceConnection(list(range(60_000)))
        relay = make_relay(caller, connection, b'GET', False)
        connection.held = relay.context.held
        head = headers.parse_response_head(200, b'OK', [])
        tracemalloc.start()
        with pytest.raises(errors.ServerFailed):
            await relay._relay_buffered(types.SimpleNamespace(), head)
        tracemalloc.stop()
        assert connection.grown_bytes <= connection.held_bytes + 8 * 1024
        assert relay.context.held.held_bytes == 0
        assert not caller.started

    asyncio.run(run())
