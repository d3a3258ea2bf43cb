"""Edge router processes on loopback, with in-process store and engines."""

import asyncio
import http.client
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

from arbutusvale.standins import edge_engine
from arbutusvale.standins import edge_store
from arbutusvale.standins import raw_server
from tests import helpers_edge

ROOT = pathlib.Path(__file__).parent.parent
DEFAULT_TIMEOUT_S = 20.0
CONFIG_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'


def wait_for(condition, what, timeout_s=DEFAULT_TIMEOUT_S):
    """Poll until ``condition`` holds; ``what`` names it in the error."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError(f'{what} did not happen within {timeout_s} s')


class RouterProcess:
    """One edge router process."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host
        self.settings_path = fleet.folder / f'{host}.toml'
        self.log_path = fleet.folder / f'{host}.log'
        self.process = None

    def start(self):
        self.settings_path.write_text(
            self.fleet.format_settings(self.host, not self.log_path.exists())
        )
        environment = os.environ | {
            'ARBUTUSVALE_BOOT': str(self.settings_path),
            'PYTHONPATH': str(ROOT),
        }
        self.log_start_offset = (
            self.log_path.stat().st_size if self.log_path.exists() else 0
        )
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'arbutusvale.ui.edge'],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        return self

    def is_ready(self):
        return self.fetch_readiness() == 200

    def fetch_readiness(self):
        try:
            connection = http.client.HTTPConnection(
                self.host, self.fleet.ready_port, timeout=2
            )
            connection.request('GET', '/-/readyz')
            return connection.getresponse().status
        except OSError:
            return 0

    def wait_until_ready(self):
        try:
            wait_for(self.is_ready, f'readiness of {self.host}')
        except AssertionError as error:
            raise AssertionError(f'{error}; log: {self.read_log()}') from None
        return self

    def fetch_metrics(self):
        connection = http.client.HTTPConnection(self.host, 9464, timeout=2)
        connection.request('GET', '/metrics')
        return connection.getresponse().read().decode()

    def read_log(self):
        return self.log_path.read_text()

    def has_started(self):
        """Return whether the latest process has installed signal handlers."""
        with self.log_path.open('rb') as log:
            log.seek(self.log_start_offset)
            return b'event=start' in log.read()

    def wait_for_log(self, text):
        wait_for(lambda: text in self.read_log(), f'log line {text!r}')

    def connect(self):
        return socket.create_connection(
            (self.host, self.fleet.caller_port), timeout=10
        )

    def send_request(
        self, path='/chat/x', method='GET', body=None, timeout=10, **headers
    ):
        """Send one request and return its status, headers and body.

        Underscores in keywords become hyphens of header names; a header set
        to None is omitted.
        """
        connection = http.client.HTTPConnection(
            self.host, self.fleet.caller_port, timeout=timeout
        )
        request_headers = {
            'Host': 'fleet.example',
            'X-Arbutusvale-Attempt-Id': self.fleet.next_attempt_id(),
            'X-Arbutusvale-Deadline-Ms': '2000',
            'Authorization': 'Bearer key-1',
        }
        request_headers |= {
            name.replace('_', '-'): value for name, value in headers.items()
        }
        request_headers = {
            name: header_value
            for name, header_value in request_headers.items()
            if header_value is not None
        }
        connection.request(method, path, body, request_headers)
        answer = connection.getresponse()
        response_headers = {
            name.lower(): header_value
            for name, header_value in answer.headers.items()
        }
        return answer.status, response_headers, answer.read()

    def send_signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


class EdgeFleet:
    """A store, engines and routers on ports that no other test uses."""

    def __init__(self, folder):
        self.folder = folder
        self.event_loop = raw_server.EventLoopThread()
        self.store = self.event_loop.run(self._make_store())
        self.store_port = self.store.server.port
        self.engines = {}
        self.routers = []
        self.caller_port, self.ready_port, self.peer_port = find_free_ports(3)
        self.attempt_count = 0
        self.config_version = 0
        self.max_descriptors = 4100
        self.memory_mb = 200
        self.retry_window_s = 10

    async def _make_store(self):
        store = edge_store.StoreStandin()
        await store.server.open()
        return store

    def host_address(self, number):
        """Return a loopback address that no concurrent test process uses."""
        first, second = divmod(os.getpid(), 250)
        return f'127.{first % 250 + 1}.{second + 1}.{number + 1}'

    def next_attempt_id(self):
        self.attempt_count += 1
        return f'attempt-{self.attempt_count}'

    def publish_config(self, **changes):
        """Publish the next configuration version and return its number."""
        self.config_version += 1
        data = helpers_edge.make_config(self.config_version, **changes)
        self.append(CONFIG_TOPIC, 'config', data)
        return self.config_version

    def append(self, topic, key, value):
        self.event_loop.run(self.store.append(topic, key, value))

    def add_engine(self, name, **record_fields):
        """Start an engine and add it to the server list."""
        engine = edge_engine.EngineStandin(name)
        # It is free when the engine restarts, too.
        (port,) = find_free_ports(1)
        self.event_loop.run(engine.server.open(port))
        self.engines[name] = engine
        self.register_engine(name, port, **record_fields)
        return engine

    def register_engine(self, name, port=None, **record_fields):
        port = port or self.engines[name].server.port
        data = helpers_edge.make_entry(f'127.0.0.1:{port}', **record_fields)
        self.append(SERVERS_TOPIC, name, data)

    def restart_crashed_engines(self, down_s, new_ids=False):
        """Restart each engine that crashes, as a new incarnation."""
        restarts = []

        async def restart(name):
            await asyncio.sleep(down_s)
            engine = self.engines[name]
            if new_ids:
                del self.engines[name]
                engine.name = f'{name}x'
                self.engines[engine.name] = engine
                await self.store.append(SERVERS_TOPIC, name, b'')
            try:
                await engine.restart()
            except OSError as error:
                print(f'{name} can not start again: {error}')
                raise
            data = helpers_edge.make_entry(
                f'127.0.0.1:{engine.server.port}',
                born=2 + len(engine.crash_causes),
            )
            await self.store.append(SERVERS_TOPIC, engine.name, data)

        def start_restart(name):
            restarts.append(asyncio.get_running_loop().create_task(
                restart(name)
            ))  # fmt: skip

        for engine in self.engines.values():
            engine.on_crash = start_restart

    def deregister_engine(self, name):
        self.append(SERVERS_TOPIC, name, b'')

    def add_router(self, number=1, wait=True):
        router = RouterProcess(self, self.host_address(number)).start()
        self.routers.append(router)
        return router.wait_until_ready() if wait else router

    def executed_requests(self, attempt_id=None):
        """List the requests that engines executed, of one or all attempts."""
        return [
            request
            for engine in self.engines.values()
            for request in engine.received
            if request.executed and attempt_id in (None, request.attempt_id)
        ]

    def format_settings(self, host, is_first_start):
        seeds = ', '.join(
            f'"{self.host_address(number)}:{self.ready_port}"'
            for number in (1, 2, 3)
        )
        return f"""
NodeName = "edge-{host}"
Ip = "{host}"
Zone = "north"
InternalPortRange = [{self.peer_port}, {self.peer_port}]
Seeds = [{seeds}]
Bootstrap = {'true' if is_first_start else 'false'}
[Listen]
Frontend = "{host}:{self.caller_port}"
Ready = "{host}:{self.ready_port}"
[Limits]
CpuShare = 1.0
MemoryMb = {self.memory_mb}
MaxFds = {self.max_descriptors}
[Bounds]
ContactMs = 3000
DrainMs = 2000
GraceS = 8
ConfigApplyMs = 2000
EvacuationMs = 2000
RetryBudgetRatio = 0.2
BudgetWindowS = {self.retry_window_s}
RetryBudgetSlack = 50
CapacityFactor = 2
ReuseWindowS = 10
[Platform]
Address = "127.0.0.1:{self.store_port}"
"""

    def close(self):
        for router in self.routers:
            router.kill()
        for engine in self.engines.values():
            self.event_loop.run(engine.server.close())
        self.event_loop.run(self.store.server.close())
        self.event_loop.stop()


def find_free_ports(count):
    """Return free ports below the kernel's ephemeral range.

    Test processes, whose ids are neighbours, begin far from each other.
    """
    ports = []
    probes = []
    for port in range(20000 + os.getpid() * 331 % 12000, 32700):
        probe = socket.socket()
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            continue
        probes.append(probe)
        ports.append(port)
        if len(ports) == count:
            break
    for bound_probe in probes:
        bound_probe.close()
    return ports
