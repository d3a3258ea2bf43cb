"""Responses of the router, whatever the order in which a handler writes."""

import asyncio

import httptools
from hypothesis import given
from hypothesis import strategies
import pytest

from arbutusvale import errors
from arbutusvale.protocol import routing
from arbutusvale.transport import edge_server
from arbutusvale.transport import response_encoder
from tests import helpers_edge

CALLS = {
    'head': lambda encoder: encoder.encode_head(200, [], False),
    'empty-head': lambda encoder: encoder.encode_head(204, [], False),
    'body': lambda encoder: encoder.encode_body(b'HTTP/1.1 200 OK\r\n\r\n'),
    'end': lambda encoder: encoder.encode_end(),
    'whole': lambda encoder: encoder.encode_whole(502, [], b'error', False),
}


class Parser:
    """A caller's parser, which counts heads and complete responses."""

    def __init__(self):
        self.heads = 0
        self.ends = 0
        self.parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self):
        self.heads += 1

    def on_message_complete(self):
        self.ends += 1


# The end of a chunked body was sent to HEAD, and began the next response.
@given(
    strategies.lists(strategies.sampled_from(sorted(CALLS)), max_size=8),
    strategies.booleans(),
    strategies.booleans(),
)
def test_caller_reads_one_response_whatever_is_called(names, is_head, is_old):
    encoder = response_encoder.ResponseEncoder(is_head, is_old)
    sent = b''
    for name in names:
        try:
            sent += CALLS[name](encoder)
        except errors.ResponseOrderError:
            assert encoder.started or name in ('body', 'end')
    head, _, body = sent.partition(b'\r\n\r\n')
    assert bool(head) == encoder.started
    if is_head or head.startswith(b'HTTP/1.1 204'):
        assert body == b''
    elif not encoder.chunked and encoder.started and is_old:
        assert head.startswith(b'HTTP/1.1 502') or b'close' in head
    else:
        parser = Parser()
        parser.parser.feed_data(sent)
        assert parser.heads == encoder.started
        assert parser.ends == encoder.finished


# An error's head came in the middle of a stream, framed as a part of it.
@pytest.mark.parametrize('second', ['start', 'send_response', 'next'])
def test_second_head_closes_the_connection_in_its_place(second):
    async def serve(request, caller):
        caller.start(200, [])
        caller.write(b'event')
        match second:
            case 'start':
                caller.start(500, [])
            case 'send_response':
                caller.send_response(500, [], b'error')
            case 'next':
                caller._reject(408)
        caller.finish()

    async def run():
        server = edge_server.EdgeServer(
            serve,
            routing.CallerLimits,
            1 << 20,
            helpers_edge.Events().write,
            lambda count: None,
            100,
        )
        connection = server.make_connection()
        transport = helpers_edge.RecordingTransport()
        connection.connection_made(transport)
        connection.data_received(b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n')
        async with asyncio.timeout(5):
            with pytest.raises(errors.ResponseOrderError):
                await connection.task
        return transport

    transport = asyncio.run(run())
    assert transport.aborted
    assert transport.written.endswith(b'\r\n\r\n5\r\nevent\r\n')
    assert transport.written.count(b'HTTP/1.1') == 1
