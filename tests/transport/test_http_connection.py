"""Memory and work that servers' responses cost, however they are split."""

import asyncio
import tracemalloc

import pytest

from arbutusvale.state import byte_budget
from arbutusvale.transport import http_connection
from tests import helpers_edge

READ_BYTES = 64 * 1024
# Beside the body: the exchange and what the parser keeps.
FIXED_BYTES = 8 * 1024
# Twice the bytes that a head may have, and the objects of its fields.
MAX_HEAD_MEMORY = 2 * 64 * 1024 + 1024 * 256
HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


def open_connection():
    connection = http_connection.HttpConnection()
    connection.connection_made(helpers_edge.RecordingTransport())
    connection.budget = byte_budget.ByteBudget()
    return connection


async def feed_measured(data):
    """Return the connection, and how many bytes more it allocated."""
    connection = open_connection()
    connection.send(b'x', http_connection.decode_status)
    tracemalloc.start()
    for start in range(0, len(data), READ_BYTES):
        connection.data_received(data[start : start + READ_BYTES])
    grown_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return connection, grown_bytes


# An object was kept for each chunk, and only its payload counted.
@pytest.mark.parametrize('size', [1, 2, 1000])
def test_unread_body_counts_what_it_costs(size):
    chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
    payload_bytes = 200_000

    async def run():
        connection, grown_bytes = await feed_measured(
            HEAD + chunk * (payload_bytes // size)
        )
        held_bytes = connection.budget.held_bytes
        assert grown_bytes <= held_bytes + FIXED_BYTES
        assert held_bytes <= 1.25 * payload_bytes
        body = await connection.read(connection.exchange)
        assert body == b'x' * payload_bytes
        assert connection.budget.held_bytes == 0

    asyncio.run(run())


def test_one_read_is_bounded():
    assert len(open_connection().get_buffer(-1)) <= READ_BYTES


# Tens of thousands were kept for each connection.
@pytest.mark.parametrize('end', [b'', b'\r\n'])
def test_head_of_many_fields_fails_within_its_memory(end):
    async def run():
        head = b'HTTP/1.1 200 OK\r\n' + b'a:\r\n' * 15_000 + end
        connection, grown_bytes = await feed_measured(head)
        assert connection.transport.aborted
        assert connection.exchange.error is not None
        assert grown_bytes <= MAX_HEAD_MEMORY

    asyncio.run(run())


def test_fields_of_a_head_are_not_kept_with_its_connection():
    async def run():
        connection, _ = await feed_measured(HEAD)
        assert connection.exchange.head.done()
        assert not connection.headers

    asyncio.run(run())
