"""Measure an edge router alone: calls and stream events per core.

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
SECONDS = 6.0
EVENTS = 40
ROUTES = [
    helpers_edge.make_route(TimeoutMs=20000, TargetLatencyMs=5000),
    helpers_edge.make_route(
        'stream', '/stream/', RouteType='streaming', TimeoutMs=20000
    ),
]


def call(fleet, path, done, number):
    """Repeat one request on a kept connection until the time is over."""
    connection = http.client.HTTPConnection(
        fleet.routers[0].host, fleet.caller_port
    )
    end = time.monotonic() + SECONDS
    count = 0
    while time.monotonic() < end:
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
            done[number] += 1


def measure(fleet, path):
    """Return requests a second and the router's processor seconds each."""
    done = [0] * CALLERS
    pid = fleet.routers[0].process.pid
    threads = [
        threading.Thread(target=call, args=(fleet, path, done, number))
        for number in range(CALLERS)
    ]
    before, began = process_stats.read_usage(pid).cpu_s, time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cpu_s = process_stats.read_usage(pid).cpu_s - before
    count = sum(done)
    return count / (time.monotonic() - began), cpu_s / max(1, count)


def main():
    """Print the figures."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = edge_fleet.EdgeFleet(pathlib.Path(folder))
        try:
            fleet.publish_config(routes=ROUTES)
            for number in range(3):
                engine = fleet.add_engine(f'e{number}')
                engine.stream_prefix = '/stream/'
                engine.event_count = EVENTS
            fleet.add_router()
            rate, each_s = measure(fleet, '/chat/x')
            print('edge router, direct path')
            print('------------------------------------')
            print(f'calls/s, closed loop       {rate:9.0f}')
            print(f'calls/s per router core    {1 / each_s:9.0f}')
            print(f'router ms/call             {each_s * 1000:9.2f}')
            rate, each_s = measure(fleet, '/stream/x')
            print(f'events/s                   {rate * EVENTS:9.0f}')
            print(f'events/s per router core   {EVENTS / each_s:9.0f}')
            usage = process_stats.read_usage(fleet.routers[0].process.pid)
            print(f'resident MB                {usage.rss_bytes / 1e6:9.1f}')
        finally:
            fleet.close()
    return 0


if __name__ == '__main__':
    sys.exit(main())
