"""Clients outside the limits end no process and keep no one from service.

Each crowd sends what it can within ``SENDING_S`` and then stays connected.
"""

import contextlib
import json
import os
import re
import selectors
import socket
import struct
import time

import pytest

from tests import deployment
from tests import processes

pytestmark = pytest.mark.process

MEMORY_BYTES = 300_000_000
DESCRIPTORS = 256
SENDING_S = 6.0
SERVED_WITHIN_S = 20.0
CHUNKED_HEAD = (
    b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def in_chunks(size, chunk_size):
    """Return ``size`` bytes of body in chunks, without the last chunk."""
    chunk = b'%x\r\n%s\r\n' % (chunk_size, bytes(chunk_size))
    return CHUNKED_HEAD + chunk * (size // chunk_size)


def with_length(path, length, sent, extra=b''):
    """Return a request whose body is ``sent`` of ``length`` bytes."""
    head = b'POST %s HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n'
    return head % (path, extra, length) + bytes(sent)


def chat(size, stream):
    """Return a chat whose answer has some six bytes a character."""
    document = {
        'model': 'lembrete-1',
        'stream': stream,
        'max_tokens': 2,
        'messages': [{'role': 'user', 'content': '\xe9' * size}],
    }
    body = json.dumps(document, ensure_ascii=False).encode()
    head = (
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
        b'Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n'
    )
    return head % (deployment.OTHER_API_KEY.encode(), len(body)) + body


CHAT_PATH = b'/v1/chat/completions'
OPENING = (
    b'GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n'
)
FRAME_BYTES = 60_000_000
MASKED_FRAME = (
    b'\x82\xff'
    + struct.pack('!Q', FRAME_BYTES)
    + bytes(4)
    + bytes(FRAME_BYTES - 1)
)
# Connections and what each of them sends.
CALLER_CROWDS = {
    'bodies in chunks of 60000': (150, in_chunks(3_900_000, 60_000)),
    'bodies in chunks of 3000': (1500, in_chunks(390_000, 3000)),
    'bodies in chunks of 2': (30, in_chunks(3_900_000, 2)),
    'bodies with a length': (
        150,
        with_length(CHAT_PATH, 4_000_000, 3_900_000),
    ),
    'bodies to a path without bodies': (
        15,
        with_length(b'/v1/models', 60_000_000, 59_000_000),
    ),
    'heads of short lines': (
        1500,
        b'POST / HTTP/1.1\r\n' + b'a: b\r\n' * 10_000,
    ),
    'headers before a body': (
        1000,
        with_length(
            CHAT_PATH, 100, 0, b''.join(b'%x:\r\n' % n for n in range(2500))
        ),
    ),
    'arguments before a body': (
        1000,
        with_length(
            CHAT_PATH + b'?' + b'&'.join(b'%x=1' % n for n in range(2500)),
            100,
            0,
        ),
    ),
    'pipelined requests': (300, b'GET / HTTP/1.1\r\nHost: a\r\n\r\n' * 9000),
    'trailers without an end': (
        20,
        CHUNKED_HEAD + b'0\r\n' + b'a: b\r\n' * 1_000_000,
    ),
    'an extension without an end': (
        20,
        CHUNKED_HEAD + b'1;' + b'a' * 6_000_000,
    ),
    'unread answers': (300, chat(10_000, stream=False) * 200),
    'unread streams': (300, chat(10_000, stream=True) * 200),
}
ADMIN_CROWDS = {
    'bodies': (15, with_length(b'/status', 60_000_000, 59_000_000)),
    'heads': (1500, b'GET / HTTP/1.1\r\n' + b'a: b\r\n' * 10_000),
}


class Crowd:
    """Connections that send all they can and read nothing."""

    def __init__(self, address, count, payload):
        host, _, port = address.rpartition(':')
        self.sockets = []
        self.sent_bytes = 0
        selector = selectors.DefaultSelector()
        for _ in range(count):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex((host, int(port)))
            self.sockets.append(connection)
            if payload:
                selector.register(
                    connection, selectors.EVENT_WRITE, memoryview(payload)
                )
        deadline = time.monotonic() + SENDING_S
        while selector.get_map() and time.monotonic() < deadline:
            for key, _ in selector.select(0.1):
                self._send(selector, key)
        selector.close()

    def _send(self, selector, key):
        """Send some of what is left; give up a closed connection."""
        try:
            sent = key.fileobj.send(key.data[:1_000_000])
        except BlockingIOError:
            return
        except OSError:
            selector.unregister(key.fileobj)
            return
        self.sent_bytes += sent
        if sent == len(key.data):
            selector.unregister(key.fileobj)
        else:
            selector.modify(
                key.fileobj, selectors.EVENT_WRITE, key.data[sent:]
            )

    def close(self):
        for connection in self.sockets:
            connection.close()


def read_peak_bytes(program):
    """Return the highest resident memory that a process has had."""
    with open(f'/proc/{program.process.pid}/status') as status:
        match = re.search(r'VmHWM:\s+(\d+) kB', status.read())
    return int(match[1]) * 1024


def count_descriptors(program):
    return len(os.listdir(f'/proc/{program.process.pid}/fd'))


def check_serves(fleet):
    """Check that an ordinary chat is answered, if need be when repeated."""

    def is_answered():
        try:
            return fleet.send_chat(['hi'], timeout_s=5.0).status == 200
        except OSError:
            return False

    processes.wait_until(is_answered, SERVED_WITHIN_S, 'an ordinary answer')


def check_healthy(admin):
    processes.wait_until(
        lambda: processes.try_request(
            'GET', f'http://{admin}/health/live', timeout_s=5.0
        ),
        SERVED_WITHIN_S,
        'an answer of the admin server',
    )


@pytest.fixture
def fleet(start_deployment):
    return start_deployment(
        engines=1, services=0, routers=1, memory_bytes=MEMORY_BYTES
    )


def play(fleet, program, address, count, payload):
    """Play a crowd; check that the process lives and others are served."""
    with contextlib.closing(Crowd(address, count, payload)) as crowd:
        assert program.is_running()
        peak = read_peak_bytes(program)
        print(f'peak {peak / 1e6:.0f} MB, {crowd.sent_bytes / 1e6:.0f} sent')
        check_serves(fleet)
        assert program.is_running()
        peak = read_peak_bytes(program)
        print(f'then {peak / 1e6:.0f} MB')
        assert peak < MEMORY_BYTES


@pytest.mark.parametrize('name', CALLER_CROWDS)
def test_callers_outside_the_limits_keep_a_router_within_its_memory(
    fleet, name
):
    router = fleet.routers['entry-1']
    play(fleet, router.program, router.address, *CALLER_CROWDS[name])


@pytest.mark.parametrize('process', ['entry-1', 'engine-1'])
@pytest.mark.parametrize('name', ADMIN_CROWDS)
def test_admin_clients_keep_a_process_within_its_memory(fleet, process, name):
    if process in fleet.routers:
        router = fleet.routers[process]
        program, admin = router.program, router.admin
    else:
        backend = fleet.backends[process]
        program, admin = backend.sidecar, backend.admin
    play(fleet, program, admin, *ADMIN_CROWDS[name])
    check_healthy(admin)


def test_frames_before_the_handshake_keep_a_sidecar_within_its_memory(fleet):
    backend = fleet.backends['engine-1']
    payload = OPENING + MASKED_FRAME
    play(fleet, backend.sidecar, backend.link_address, 30, payload)


@pytest.mark.parametrize('port', ['callers', 'links', 'router', 'sidecar'])
@pytest.mark.parametrize('payload', [b'', OPENING], ids=['silent', 'opened'])
def test_connections_left_open_leave_a_process_descriptors(
    start_deployment, port, payload
):
    fleet = start_deployment(
        engines=1, services=0, routers=1, descriptors=DESCRIPTORS
    )
    router, backend = fleet.routers['entry-1'], fleet.backends['engine-1']
    program, address = {
        'callers': (router.program, router.address),
        'links': (backend.sidecar, backend.link_address),
        'router': (router.program, router.admin),
        'sidecar': (backend.sidecar, backend.admin),
    }[port]
    with contextlib.closing(Crowd(address, 400, payload)):
        check_serves(fleet)
        assert program.is_running()
        assert count_descriptors(program) < DESCRIPTORS - 16
        check_healthy(router.admin)
        check_healthy(backend.admin)
