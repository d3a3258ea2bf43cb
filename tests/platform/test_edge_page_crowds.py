"""Crowds at the ports of a router's small pages."""

import os
import re
import socket

import pytest

from tests import helpers_edge

pytestmark = pytest.mark.process

METRICS_PORT = 9464
CROWD = 150
MAX_DESCRIPTORS = 400
# MemoryMb of the fleet's settings.
MEMORY_MB = 200
REQUEST_BYTES = 4_000_000


@pytest.fixture
def router(fleet):
    fleet.max_descriptors = MAX_DESCRIPTORS
    fleet.publish_config(routes=[helpers_edge.make_route()])
    fleet.add_engine('e1')
    router = fleet.add_router()
    router.wait_for_log('event=server-listed server=e1 ')
    return router


def read_peak_mb(router):
    with open(f'/proc/{router.process.pid}/status') as status:
        return int(re.search(r'VmHWM:\s+(\d+)', status.read())[1]) / 1000


# Each stayed open beyond the router's share of descriptors.
def test_idle_connections_to_pages_stay_within_the_descriptors(fleet, router):
    crowd = [
        socket.create_connection((router.host, port), timeout=10)
        for port in (fleet.ready_port, fleet.peer_port, METRICS_PORT)
        for _ in range(CROWD)
    ]
    assert router.fetch_readiness() == 200
    assert 'held_bytes' in router.fetch_metrics()
    descriptors = len(os.listdir(f'/proc/{router.process.pid}/fd'))
    assert descriptors <= MAX_DESCRIPTORS
    assert router.send_request('/chat/x')[0] == 200
    for client in crowd:
        client.close()


# Targets were kept whatever their length.
def test_endless_targets_stay_within_the_memory(fleet, router):
    crowd = []
    for _ in range(60):
        client = socket.create_connection((router.host, METRICS_PORT), 10)
        crowd.append(client)
        try:
            client.sendall(b'GET /' + b'a' * REQUEST_BYTES)
        except ConnectionError:
            pass
    assert router.send_request('/chat/x')[0] == 200
    assert router.process.poll() is None
    assert read_peak_mb(router) < MEMORY_MB
    for client in crowd:
        client.close()
