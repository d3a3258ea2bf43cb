"""Benchmark of one edge router: requests and stream events per core.

Usage: python -m tests.edge_bench
"""

import http.client
import pathlib
import sys
import tempfile
import threading
import time

from arbutusvale.load import process_stats
from tests import edge_fleet
from tests import helpers_edge

CALLERS = 8
DURATION_S = 6.0
STREAM_EVENTS = 40
ROUTES = [
    helpers_edge.make_route(TimeoutMs=20000, TargetLatencyMs=5000),
    helpers_edge.make_route(
        'stream', '/stream/', RouteType='streaming', TimeoutMs=20000
    ),
]


def send_requests(fleet, path, completed, number):
    """Repeat a request on a keep-alive connection for ``DURATION_S``.

    Count successful responses in ``completed[number]``.
    """
    connection = http.client.HTTPConnection(
        fleet.routers[0].host, fleet.caller_port
    )
    deadline = time.monotonic() + DURATION_S
    count = 0
    while time.monotonic() < deadline:
        count += 1
        connection.request(
            'POST',
            path,
            b'x' * 200,
            {
                'Host': 'fleet.example',
                'Authorization': 'Bearer key-1',
                'X-Arbutusvale-Attempt-Id': f'{number}-{count}-{path[1]}',
                'X-Arbutusvale-Prompt-Prefix': f'a:10,b{number}:10,c:1',
            },
        )
        answer = connection.getresponse()
        answer.read()
        if answer.status == 200:
            completed[number] += 1


def measure(fleet, path):
    """Return requests per second and the router's CPU seconds per request."""
    completed = [0] * CALLERS
    pid = fleet.routers[0].process.pid
    threads = [
        threading.Thread(
            target=send_requests, args=(fleet, path, completed, number)
        )
        for number in range(CALLERS)
    ]
    before, started_at = process_stats.read_usage(pid).cpu_s, time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cpu_s = process_stats.read_usage(pid).cpu_s - before
    count = sum(completed)
    return count / (time.monotonic() - started_at), cpu_s / max(1, count)


def main():
    """Run both benchmarks and print their results."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = edge_fleet.EdgeFleet(pathlib.Path(folder))
        try:
            fleet.publish_config(routes=ROUTES)
            for number in range(3):
                engine = fleet.add_engine(f'e{number}')
                engine.stream_prefix = '/stream/'
                engine.event_count = STREAM_EVENTS
            fleet.add_router()
            rate, cpu_s_each = measure(fleet, '/chat/x')
            print('edge router, direct path')
            print('------------------------------------')
            print(f'calls/s, closed loop       {rate:9.0f}')
            print(f'calls/s per router core    {1 / cpu_s_each:9.0f}')
            print(f'router ms/call             {cpu_s_each * 1000:9.2f}')
            rate, cpu_s_each = measure(fleet, '/stream/x')
            print(f'events/s                   {rate * STREAM_EVENTS:9.0f}')
            print(
                f'events/s per router core   {STREAM_EVENTS / cpu_s_each:9.0f}'
            )
            usage = process_stats.read_usage(fleet.routers[0].process.pid)
            print(f'resident MB                {usage.rss_bytes / 1e6:9.1f}')
        finally:
            fleet.close()
    return 0


if __name__ == '__main__':
    sys.exit(main())
