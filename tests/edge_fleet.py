"""Run edge routers as real processes between stand-ins on loopback."""

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
WAIT_S = 20.0
CONFIG_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'


def wait_for(condition, what, timeout_s=WAIT_S):
    """Wait until a condition holds; fail by its name otherwise."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
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
        self.settings_path.write_text(self.fleet.format_settings(self.host))
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
        """Tell whether the last start has got to handle signals."""
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
        """Send one request and return status, headers and body."""
        connection = http.client.HTTPConnection(
            self.host, self.fleet.caller_port, timeout=timeout
        )
        named = {
            'Host': 'fleet.example',
            'X-Arbutusvale-Attempt-Id': self.fleet.next_attempt_id(),
            'X-Arbutusvale-Deadline-Ms': '2000',
            'Authorization': 'Bearer key-1',
        }
        named |= {
            name.replace('_', '-'): value for name, value in headers.items()
        }
        named = {name: one for name, one in named.items() if one is not None}
        connection.request(method, path, body, named)
        answer = connection.getresponse()
        named = {name.lower(): one for name, one in answer.headers.items()}
        return answer.status, named, answer.read()

    def send_signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


class EdgeFleet:
    """A store, engines and routers, with ports of their own."""

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

    async def _make_store(self):
        made = edge_store.StoreStandin()
        await made.server.open()
        return made

    def host_address(self, number):
        """Return a loopback address that no other test uses now."""
        first, second = divmod(os.getpid(), 250)
        return f'127.{first % 250 + 1}.{second + 1}.{number + 1}'

    def next_attempt_id(self):
        self.attempt_count += 1
        return f'attempt-{self.attempt_count}'

    def publish_config(self, **changes):
        """Publish a configuration of the next version."""
        self.config_version += 1
        data = helpers_edge.make_config(self.config_version, **changes)
        self.append(CONFIG_TOPIC, 'config', data)
        return self.config_version

    def append(self, topic, key, value):
        self.event_loop.run(self.store.append(topic, key, value))

    def add_engine(self, name, **entry):
        """Start an engine and list it."""
        engine = edge_engine.EngineStandin(name)
        port = self.event_loop.run(engine.server.open())
        self.engines[name] = engine
        self.register_engine(name, port, **entry)
        return engine

    def register_engine(self, name, port=None, **entry):
        port = port or self.engines[name].server.port
        data = helpers_edge.make_entry(f'127.0.0.1:{port}', **entry)
        self.append(SERVERS_TOPIC, name, data)

    def deregister_engine(self, name):
        self.append(SERVERS_TOPIC, name, b'')

    def add_router(self, number=1, wait=True):
        router = RouterProcess(self, self.host_address(number)).start()
        self.routers.append(router)
        return router.wait_until_ready() if wait else router

    def executed_requests(self, attempt=None):
        """List the runs of all engines, of one attempt or of all."""
        return [
            run
            for engine in self.engines.values()
            for run in engine.received
            if run.executed and attempt in (None, run.attempt_id)
        ]

    def format_settings(self, host):
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
[Listen]
Frontend = "{host}:{self.caller_port}"
Ready = "{host}:{self.ready_port}"
[Limits]
CpuShare = 1.0
MemoryMb = 200
MaxFds = {self.max_descriptors}
[Bounds]
ContactMs = 3000
DrainMs = 2000
GraceS = 8
ConfigApplyMs = 2000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
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
    """Return free ports below the range that connections are made from."""
    found = []
    bound_sockets = []
    for port in range(20000 + os.getpid() % 10000, 32700):
        probe = socket.socket()
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            continue
        bound_sockets.append(probe)
        found.append(port)
        if len(found) == count:
            break
    for one in bound_sockets:
        one.close()
    return found
