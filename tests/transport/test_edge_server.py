"""Slow readers on both sides of a router, with real sockets."""

import asyncio
import errno
import socket

import pytest

from arbutusvale.protocol import routing
from arbutusvale.transport import edge_server
from arbutusvale.transport import http_connection
from tests import helpers_edge

LIMIT = 2_000_000
SLOW_CALLERS = 150
# TargetLatencyMs of the tests' route.
TARGET_S = 0.4
SMALL_BUFFER = 4096
HEAD = b'GET /%s HTTP/1.1\r\nHost: a\r\n\r\n'


async def stream_endlessly(reader, writer):
    writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
    while not writer.is_closing():
        writer.write(b'x' * 8000)
        await writer.drain()
        await asyncio.sleep(0.02)


class Router:
    """A server of callers whose handler streams to ``/slow`` without end."""

    def __init__(self, limit):
        self.events = helpers_edge.Events()
        self.server = edge_server.EdgeServer(
            self.serve,
            routing.CallerLimits,
            limit,
            self.events.write,
            lambda count: None,
            1000,
        )

    async def __aenter__(self):
        listener = socket.socket()
        # Accepted sockets inherit it; the kernel would take megabytes each.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        listener.bind(('127.0.0.1', 0))
        self.address = listener.getsockname()
        loop = asyncio.get_running_loop()
        self.listening = await loop.create_server(
            self.server.make_connection, sock=listener
        )
        self.engine = await asyncio.start_server(
            stream_endlessly, '127.0.0.1', 0
        )
        self.task = asyncio.create_task(self.server.run())
        return self

    async def __aexit__(self, *error):
        self.task.cancel()
        self.listening.close()
        self.engine.close()
        for connection in list(self.server.connections):
            connection.abort()
        await asyncio.sleep(0.05)

    async def serve(self, request, caller):
        if request.target != b'/slow':
            caller.send_response(200, [], b'x' * 1000)
            return
        connection = await http_connection.open_connection(
            *self.engine.sockets[0].getsockname(), 2.0
        )
        connection.budget = self.server.budget
        try:
            exchange = connection.send(b'x', http_connection.decode_status)
            await exchange.head
            caller.start(200, [])
            while data := await connection.read(exchange):
                caller.write(data)
                await caller.wait_until_drained()
        finally:
            connection.abort()

    async def connect(self, data):
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, self.address)
        await loop.sock_sendall(client, data)
        return client


async def play_slow_callers(limit):
    """Return the router, and the seconds that each good request took."""
    async with Router(limit) as router:
        loop = asyncio.get_running_loop()
        slow = [
            await router.connect(HEAD % b'slow') for _ in range(SLOW_CALLERS)
        ]
        trickle = await router.connect(HEAD % b'slow')
        latencies = []
        ends_at = loop.time() + 3.0
        while loop.time() < ends_at:
            started_at = loop.time()
            good = await router.connect(HEAD % b'good')
            received = b''
            async with asyncio.timeout(5):
                while not received.endswith(b'x' * 1000):
                    received += await loop.sock_recv(good, 65536)
            latencies.append(loop.time() - started_at)
            good.close()
            if len(latencies) % 20 == 0:
                await loop.sock_recv(trickle, 1)
            await asyncio.sleep(0.05)
        for client in (*slow, trickle):
            client.close()
    return router, latencies


def test_many_slow_callers_stay_within_budget_beside_good_readers():
    router, latencies = asyncio.run(play_slow_callers(LIMIT))
    assert router.server.budget.peak_bytes <= LIMIT
    assert router.server.budget.held_bytes == 0
    assert max(latencies) <= TARGET_S
    assert router.events.named('reader-paused')


def test_slow_callers_below_half_of_budget_are_left_alone():
    router, _ = asyncio.run(play_slow_callers(100 * LIMIT))
    assert router.server.budget.peak_bytes > LIMIT
    assert not router.events.lines


def test_caller_that_reads_nothing_gets_no_further_responses():
    async def run():
        async with Router(100 * LIMIT) as router:
            client = await router.connect((HEAD % b'good') * 2000)
            await asyncio.sleep(0.5)
            assert router.server.budget.held_bytes <= (
                edge_server.MAX_UNSENT_BYTES
                + edge_server.MAX_UNPARSED_BYTES
                + 256 * 1024
            )
            client.close()

    asyncio.run(run())


def test_body_beyond_budget_is_refused_before_it_is_read():
    async def run():
        async with Router(LIMIT) as router:
            router.server.budget.change(LIMIT - 1000)
            client = await router.connect(
                b'POST /good HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n'
                b'\r\n'
            )
            async with asyncio.timeout(2):
                loop = asyncio.get_running_loop()
                answer = await loop.sock_recv(client, 65536)
            client.close()
            return answer

    answer = asyncio.run(run())
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert b'retry-after: ' in answer


# The error ended the check of all connections' timeouts.
def test_connection_that_its_caller_has_reset_is_closed(monkeypatch):
    def fail(transport):
        raise OSError(errno.ENOTCONN, 'not connected')

    async def run():
        async with Router(LIMIT) as router:
            client = await router.connect(b'')
            await asyncio.sleep(0.05)
            [connection] = router.server.connections
            monkeypatch.setattr(type(connection.transport), 'write_eof', fail)
            router.server.close_idle()
            await asyncio.sleep(0.05)
            assert not router.server.connections
            client.close()

    asyncio.run(run())


@pytest.mark.parametrize('reads', [False, True])
def test_request_that_server_reads_slowly_counts_until_taken(reads):
    size = 12_000_000

    async def run():
        may_read = asyncio.Event()

        async def serve(reader, writer):
            await may_read.wait()
            await reader.readexactly(size)
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        connection = await http_connection.open_connection(
            *server.sockets[0].getsockname(), 2.0
        )
        budget = connection.budget = edge_server.byte_budget.ByteBudget()
        exchange = connection.send(b'x' * size, http_connection.decode_status)
        assert 0 < budget.held_bytes <= size
        if reads:
            may_read.set()
            await asyncio.wait_for(exchange.head, 5)
            assert await connection.read_all(exchange) == b''
        else:
            connection.abort()
        assert budget.held_bytes == 0
        server.close()
        connection.abort()

    asyncio.run(run())


def test_stalled_uploads_are_refused_for_others_once_budget_is_nearly_spent():
    head = (
        b'POST /good HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    )

    async def run():
        async with Router(LIMIT) as router:
            loop = asyncio.get_running_loop()
            stalled = [
                await router.connect(head + b'fffff\r\n' + b'x' * size)
                for size in 12 * [132_000]
            ]
            answers = [
                asyncio.ensure_future(loop.sock_recv(client, 65536))
                for client in stalled
            ]
            done, _ = await asyncio.wait(
                answers, timeout=10, return_when=asyncio.FIRST_COMPLETED
            )
            first = done.pop().result()
            for each in answers:
                each.cancel()
            good = await router.connect(
                head + b'10000\r\n' + b'x' * 0x10000 + b'\r\n0\r\n\r\n'
            )
            async with asyncio.timeout(5):
                answer = await loop.sock_recv(good, 65536)
            open_count = len(router.server.connections)
            for client in (*stalled, good):
                client.close()
        return router, first, answer, open_count

    router, first, answer, open_count = asyncio.run(run())
    assert first.startswith(b'HTTP/1.1 503 ')
    assert b'retry-after: ' in first
    assert answer.startswith(b'HTTP/1.1 200 ')
    refused = router.events.named('refused')
    assert {each['cause'] for each in refused} == {'budget'}
    assert len(refused) < 4
    assert not router.events.named('unreadable')
    assert open_count > 8
    assert router.server.budget.peak_bytes <= LIMIT
    assert router.server.budget.held_bytes == 0


# Its task was destroyed with the event loop, with a traceback.
def test_no_request_begins_once_all_were_ended():
    async def run():
        async with Router(LIMIT) as router:
            client = await router.connect(b'')
            await asyncio.sleep(0.05)
            await router.server.cancel_requests()
            await asyncio.get_running_loop().sock_sendall(
                client, HEAD % b'good'
            )
            await asyncio.sleep(0.05)
            (connection,) = router.server.connections
            assert connection.task is None
            assert not connection.response.started
            client.close()

    asyncio.run(run())
