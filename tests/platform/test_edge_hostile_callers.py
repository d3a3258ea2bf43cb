"""Callers that stay inside no limit, and one router of little memory.

Each crowd is sent with lowered limits; what is checked doesn't depend on the
machine's speed: the process lives, its peak memory and its descriptors stay
within the settings, and ordinary callers, who come back after a refusal, are
answered beside the crowd and after it.
"""

import contextlib
import http.client
import os
import re
import selectors
import socket
import time

import pytest

from arbutusvale.standins import edge_engine
from tests import helpers_edge

pytestmark = pytest.mark.process

MEMORY_MB = 100
MAX_BODY_BYTES = 4194304
MAX_HEADER_BYTES = 16384
SMALL_BODY_BYTES = 60_000
# A crowd stops sending then, however much the router has taken.
SEND_LIMIT_S = 8.0
# Ordinary callers come back until then.
ANSWER_LIMIT_S = 20.0
SAMPLE_INTERVAL_S = 0.05
CALM_DEADLINE_MS = 20_000
# How long callers leave their answers unread.
UNREAD_S = 5.0
ENDLESS_TIMEOUT_MS = 6000
SENT_NAMES = ['nothing', 'head', 'body']
REQUEST = (
    b'POST /chat/x HTTP/1.1\r\nHost: fleet.example\r\n'
    b'Authorization: Bearer key-1\r\nX-Arbutusvale-Attempt-Id: a1\r\n'
    b'X-Arbutusvale-Deadline-Ms: %d\r\n' % CALM_DEADLINE_MS
)
CHUNKED = REQUEST + b'Transfer-Encoding: chunked\r\n\r\n'
# What comes after the head, the bytes that repeat, how many, and the callers.
ENDLESS_PARTS = {
    'trailer-lines': (b'0\r\n', b'a:b\r\n', 400_000, 10),
    'trailer': (b'0\r\na:', b'x', 8 << 20, 20),
    'chunk-extension': (b'1;a=', b'x', 8 << 20, 20),
    'chunk-size': (b'', b'0', 8 << 20, 20),
}


@pytest.fixture
def edge(fleet):
    start(fleet)
    return fleet


def start(
    fleet,
    routes=(),
    header_timeout_ms=5000,
    idle_timeout_ms=10_000,
    **config,
):
    """Start one router of little memory and one engine."""
    fleet.memory_mb = MEMORY_MB
    fleet.publish_config(
        routes=[helpers_edge.make_route(TimeoutMs=CALM_DEADLINE_MS), *routes],
        Limits={
            'MaxHeaderBytes': MAX_HEADER_BYTES,
            'MaxBodyBytes': MAX_BODY_BYTES,
            'HeaderTimeoutMs': header_timeout_ms,
            'IdleTimeoutMs': idle_timeout_ms,
        },
        **config,
    )
    fleet.add_engine('e1')
    fleet.router = fleet.add_router()
    fleet.router.wait_for_log('event=server-listed server=e1 ')


class Usage:
    """The most that a router process used, as far as sampled."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.peak_kb = 0
        self.descriptors = 0
        self.sampled_at = 0.0

    def sample(self):
        """Read the process's figures, unless it has ended."""
        if time.monotonic() - self.sampled_at < SAMPLE_INTERVAL_S:
            return
        self.sampled_at = time.monotonic()
        folder = f'/proc/{self.fleet.router.process.pid}'
        with contextlib.suppress(OSError):
            descriptors = len(os.listdir(f'{folder}/fd'))
            self.descriptors = max(self.descriptors, descriptors)
            with open(f'{folder}/status') as status:
                if found := re.search(r'VmHWM:\s+(\d+)', status.read()):
                    self.peak_kb = int(found[1])


class Crowd:
    """Callers that send one payload each, read nothing and stay open."""

    def __init__(self, usage, payloads):
        self.usage = usage
        self.selector = selectors.DefaultSelector()
        router = usage.fleet.router
        self.callers = []
        for payload in payloads:
            caller = socket.socket()
            caller.setblocking(False)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect_ex((router.host, usage.fleet.caller_port))
            rest = memoryview(payload)
            self.selector.register(caller, selectors.EVENT_WRITE, rest)
            self.callers.append(caller)

    def send(self):
        """Send until all is sent or refused, or the limit of time."""
        stops_at = time.monotonic() + SEND_LIMIT_S
        while time.monotonic() < stops_at and self.selector.get_map():
            self.usage.sample()
            for key, _ in self.selector.select(SAMPLE_INTERVAL_S):
                self._send_some(key.fileobj, key.data)

    def _send_some(self, caller, rest):
        try:
            rest = rest[caller.send(rest) :]
        except BlockingIOError:
            return
        except OSError:
            rest = b''
        if rest:
            self.selector.modify(caller, selectors.EVENT_WRITE, rest)
        else:
            self.selector.unregister(caller)

    def stand(self, duration_s):
        """Sample while the router goes on with what was sent."""
        stops_at = time.monotonic() + duration_s
        while time.monotonic() < stops_at:
            self.usage.sample()
            time.sleep(SAMPLE_INTERVAL_S)

    def close(self):
        for caller in self.callers:
            caller.close()
        self.selector.close()


def is_answered(usage):
    """Send an ordinary request until it is served, as callers come back."""
    stops_at = time.monotonic() + ANSWER_LIMIT_S
    while time.monotonic() < stops_at:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if usage.fleet.router.send_request(timeout=3)[0] == 200:
                return True
        usage.sample()
        time.sleep(2 * SAMPLE_INTERVAL_S)
    return False


def check_crowd(fleet, payloads, stand_s=0.0):
    """Send a crowd; check the router beside it and after it."""
    usage = Usage(fleet)
    crowd = Crowd(usage, payloads)
    try:
        crowd.send()
        crowd.stand(stand_s)
        answered_beside = is_answered(usage)
    finally:
        crowd.close()
    answered_after = is_answered(usage)
    print(f'served beside {answered_beside}, after {answered_after}')
    check_usage(usage)
    assert answered_beside, 'no ordinary request was served beside the crowd'
    assert answered_after, 'no ordinary request was served after the crowd'


def check_usage(usage):
    """Check that the process lives within its machine's limits."""
    time.sleep(SAMPLE_INTERVAL_S)
    usage.sample()
    fleet = usage.fleet
    figures = f'{usage.peak_kb // 1024} MB, {usage.descriptors} descriptors'
    print(f'peak {figures}')
    assert fleet.router.process.poll() is None, f'ended; peak {figures}'
    assert usage.peak_kb <= fleet.memory_mb * 1024, f'peak {figures}'
    assert usage.descriptors <= fleet.max_descriptors, f'peak {figures}'


def make_unfinished_body(body_bytes, chunk_bytes):
    """Return a chunked request that stops one chunk short of its end."""
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    return CHUNKED + chunk * (body_bytes // chunk_bytes - 1)


def test_large_bodies_in_tiny_chunks_exhaust_no_memory(edge):
    check_crowd(edge, 8 * [make_unfinished_body(MAX_BODY_BYTES, 2)])


def test_many_small_bodies_in_tiny_chunks_exhaust_no_memory(edge):
    check_crowd(edge, 200 * [make_unfinished_body(SMALL_BODY_BYTES, 2)])


def test_large_bodies_in_large_chunks_exhaust_no_memory(edge):
    check_crowd(edge, 60 * [make_unfinished_body(MAX_BODY_BYTES, 60_000)])


def test_unfinished_heads_of_tiny_lines_exhaust_no_memory(edge):
    line = b'a:b\r\n'
    lines = (MAX_HEADER_BYTES - len(REQUEST)) // len(line)
    check_crowd(edge, 500 * [REQUEST + line * lines])


def test_tiny_pipelined_requests_exhaust_no_memory(edge):
    check_crowd(edge, 150 * [b'GET / HTTP/1.1\r\nHost: abc\r\n\r\n' * 9000])


@pytest.mark.parametrize('kind', list(ENDLESS_PARTS))
def test_body_with_an_endless_part_exhausts_no_memory(edge, kind):
    prefix, unit, count, callers = ENDLESS_PARTS[kind]
    check_crowd(edge, callers * [CHUNKED + prefix + unit * count])


@pytest.mark.parametrize('sent', [b'', REQUEST, CHUNKED], ids=SENT_NAMES)
def test_unfinished_requests_leave_connections_to_others(fleet, sent):
    fleet.max_descriptors = 400
    # None of the crowd's requests times out while ordinary callers come back.
    start(fleet, header_timeout_ms=25_000, idle_timeout_ms=30_000)
    check_crowd(fleet, 450 * [sent])


@pytest.mark.parametrize(
    ('name', 'data'),
    [('plain', b'aa'), ('stream', b'aa'), ('stream', b'\n\n')],
    ids=['plain', 'event', 'events'],
)
def test_unread_answers_in_tiny_chunks_exhaust_no_memory(
    fleet, monkeypatch, name, data
):
    head = b'{head}Transfer-Encoding: chunked\r\n\r\n'
    parts = (head, b'2\r\n%b\r\n' % data)
    monkeypatch.setitem(edge_engine.ENDLESS_BYTES, 'tiny-chunks', parts)
    route_type = 'streaming' if name == 'stream' else 'idempotent'
    route = helpers_edge.make_route(
        name,
        f'/{name}/',
        Service='endless',
        RouteType=route_type,
        TimeoutMs=ENDLESS_TIMEOUT_MS,
    )
    services = [
        {'Name': one, 'HealthCheckPath': '/h', 'MaxConnections': 200}
        for one in ('chat', 'endless')
    ]
    start(fleet, [route], Services=services)
    engine = fleet.add_engine('e2', Service='endless', Slots=100)
    engine.default_fault = 'endless-tiny-chunks'
    fleet.router.wait_for_log('event=server-listed server=e2 ')
    request = REQUEST.replace(b'/chat/', b'/%b/' % name.encode())
    requests = [
        request.replace(b'a1', b'a%d' % number) + b'Content-Length: 0\r\n\r\n'
        for number in range(60)
    ]
    check_crowd(fleet, requests, UNREAD_S)
    assert engine.received


def send_in_calm(fleet, head, body):
    """Send one request; return the status and the body at the engine."""
    usage = Usage(fleet)
    with fleet.router.connect() as caller:
        caller.settimeout(CALM_DEADLINE_MS / 1000)
        caller.sendall(head + body)
        answer = caller.recv(65536)
    usage.sample()
    print(f'peak {usage.peak_kb // 1024} MB')
    (received,) = fleet.executed_requests()
    return answer[:12], received.request.body


def make_body_in_bytes():
    """Return the largest body, and its encoding in chunks of one byte."""
    body = bytes(range(256)) * (MAX_BODY_BYTES // 256)
    chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in body)
    return body, chunks + b'0\r\n\r\n'


def test_single_body_in_chunks_of_one_byte_is_served(edge):
    body, chunks = make_body_in_bytes()
    status, received = send_in_calm(edge, CHUNKED, chunks)
    assert status == b'HTTP/1.1 200'
    assert received == body


def test_single_body_in_chunks_of_one_byte_exhausts_no_memory(edge):
    check_crowd(edge, [CHUNKED + make_body_in_bytes()[1]])


def test_single_head_of_tiny_lines_up_to_the_limit_is_served(edge):
    head = REQUEST + b'Content-Length: 4\r\n'
    line = b'a: b\r\n'
    lines = (MAX_HEADER_BYTES - len(head) - 100) // len(line)
    status, received = send_in_calm(
        edge, head + line * lines + b'\r\n', b'body'
    )
    assert status == b'HTTP/1.1 200'
    assert received == b'body'
