"""Responses of the router, whatever the order in which a handler writes."""

import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.protocol import routing
from arbutusvale.transport import edge_server
from tests import helpers_edge


class Transport(asyncio.Transport):
    """A transport that keeps what is written until it is closed."""

    def __init__(self):
        super().__init__()
        self.written = b''
        self.aborted = False

    def write(self, data):
        if not self.aborted:
            self.written += data

    def abort(self):
        self.aborted = True

    def get_write_buffer_size(self):
        return 0


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
        transport = Transport()
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
