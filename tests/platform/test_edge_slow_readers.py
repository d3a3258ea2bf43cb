"""Callers that read slowly, and engines that cut off unread answers."""

import re
import socket
import time

import pytest

from tests import helpers_edge

pytestmark = pytest.mark.process

EVENTS = 500
PADDING_BYTES = 60_000
STREAM = helpers_edge.make_route(
    'stream',
    '/stream/',
    RouteType='streaming',
    StreamResume=True,
    TimeoutMs=15000,
    TargetLatencyMs=800,
)


def test_stream_cut_off_unread_goes_on_at_another_engine(fleet):
    fleet.publish_config(routes=[STREAM])
    for name in ('e1', 'e2'):
        engine = fleet.add_engine(name)
        engine.stream_prefix = '/stream/'
        engine.event_count = EVENTS
        engine.padding_bytes = PADDING_BYTES
        engine.default_fault = 'unread-cut'
    router = fleet.add_router()
    for name in fleet.engines:
        router.wait_for_log(f'event=server-listed server={name} ')
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.settimeout(10)
    client.connect((router.host, fleet.caller_port))
    client.sendall(
        b'POST /stream/x HTTP/1.1\r\nHost: fleet.example\r\n'
        b'Authorization: Bearer key-1\r\nX-Arbutusvale-Attempt-Id: a1\r\n'
        b'X-Arbutusvale-Deadline-Ms: 15000\r\nConnection: close\r\n'
        b'Content-Length: 0\r\n\r\n'
    )
    time.sleep(3.0)
    received = bytearray()
    while data := client.recv(1 << 20):
        received += data
    client.close()
    numbers = [int(one) for one in re.findall(rb'\nid: (\d+)\n', received)]
    assert numbers == list(range(1, EVENTS + 1))
    router.wait_for_log('event=end ')
    log = router.read_log()
    assert 'outcome=Ambiguous cause=unread' in log
    assert 'event=crash-suspect' not in log
    assert sum(len(one.received) for one in fleet.engines.values()) == 2
