"""Tests of documents that routers fetch from each other."""

import asyncio
import json
import random
import tracemalloc
import zlib

import pytest

from arbutusvale import errors
from arbutusvale.transport import http_fetch
from arbutusvale.transport import page_server

SLOW_LINK_BYTES_PER_S = 5e6 / 8
CHUNK_BYTES = 4096
ROUTES = 1450
# A quarter of MemoryMb 300 on an edge VM.
MAX_FETCH_MEMORY = 75_000_000


def make_page():
    """Return a snapshot of a large configuration."""
    generator = random.Random(1)
    routes = [
        {
            'Name': f'r-{generator.getrandbits(35):x}',
            'Host': f'{generator.getrandbits(20):x}.example',
            'PathPrefix': f'/{generator.getrandbits(28):x}/',
            'RouteType': 'streaming',
            'TimeoutMs': 15000,
            'TargetLatencyMs': 800,
            'Priority': 0,
            'Service': 'chat',
            'MaxAttempts': 2,
            'Anonymous': False,
            'StreamResume': True,
            'GapAimMs': 500,
        }
        for _ in range(ROUTES)
    ]
    return json.dumps({'Routes': routes})


class SlowLink:
    """A link to a page server; ``received`` counts the bytes of responses."""

    def __init__(self, page):
        self.page = page
        self.received = 0
        self.stalls = False

    async def open(self):
        loop = asyncio.get_running_loop()
        self.pages = await loop.create_server(
            page_server.PageServer({'/p': lambda: self.page}).make_connection,
            '127.0.0.1',
            0,
        )
        self.link = await asyncio.start_server(self.relay, '127.0.0.1', 0)
        return self.link.sockets[0].getsockname()[1]

    async def relay(self, reader, writer):
        host, port = self.pages.sockets[0].getsockname()
        upstream, upstream_writer = await asyncio.open_connection(host, port)
        upstream_writer.write(await reader.readuntil(b'\r\n\r\n'))
        while data := await upstream.read(CHUNK_BYTES):
            if self.stalls and self.received:
                await asyncio.sleep(3600)
            await asyncio.sleep(len(data) / SLOW_LINK_BYTES_PER_S)
            self.received += len(data)
            writer.write(data)

    def close(self):
        self.pages.close()
        self.link.close()


async def fetch(link):
    port = await link.open()
    try:
        return await http_fetch.fetch('127.0.0.1', port, '/p')
    finally:
        link.close()


# The fetch gave up after 0.5 s and began anew, again and again, and filled
# the link of its VM.
def test_large_page_is_fetched_over_a_slow_link():
    page = make_page()
    link = SlowLink((200, page))
    assert asyncio.run(fetch(link)) == page.encode()
    assert link.received < 0.2 * len(page)


def test_page_that_does_not_compress_is_fetched_while_bytes_arrive():
    page = random.Random(1).randbytes(500_000).hex()
    assert asyncio.run(fetch(SlowLink((200, page)))) == page.encode()


def test_fetch_that_stalls_fails():
    link = SlowLink((200, random.Random(1).randbytes(500_000).hex()))
    link.stalls = True
    with pytest.raises(errors.ServerFailed):
        asyncio.run(fetch(link))


@pytest.mark.parametrize('status', [503, 404])
def test_other_status_fails(status):
    with pytest.raises(errors.ServerFailed):
        asyncio.run(fetch(SlowLink((status, '{}'))))


async def fetch_crafted(head, body):
    """Fetch ``body`` a hundred times over; return the peak of the memory."""

    async def respond(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n' + head + b'\r\n')
        for _ in range(100):
            writer.write(body)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    tracemalloc.start()
    try:
        await http_fetch.fetch(*server.sockets[0].getsockname(), '/p')
    finally:
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        server.close()
        assert peak_bytes < MAX_FETCH_MEMORY


# A body was read for as long as it came, and 64 MiB decompressed.
@pytest.mark.parametrize(
    'head, body',
    [
        (b'', b'x' * 1_000_000),
        (
            b'Content-Encoding: deflate\r\n',
            zlib.compress(b'x' * 100_000_000),
        ),
    ],
    ids=['endless', 'bomb'],
)
def test_page_beyond_the_memory_fails(head, body):
    with pytest.raises(errors.ServerFailed):
        asyncio.run(fetch_crafted(head, body))
