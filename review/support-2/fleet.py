"""Edge routers, stand-ins and callers for the cases from 6 on.

The routers are started with the command of ``deploy/system.toml``.  The store
and the engines follow the users' pages as far as the cases need them; engines
may also run as processes of their own (``engine_process.py``).
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = 'fleet.example'
API_KEY = 'key-1'
READY_TIMEOUT_S = 25.0
POLL_INTERVAL_S = 0.05
HEARTBEAT_S = 1.2
# An entry is removed after so many heartbeats of silence.
SILENT_HEARTBEATS = 3
# A case ends by then; what it started is ended behind that.
TIME_LIMIT_S = 112.0


class CaseFailed(Exception):
    """The case could not be run."""


class Record:
    """The log of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began_at = time.monotonic()

    def write(self, text):
        elapsed_s = time.monotonic() - self.began_at
        self.file.write(f'{elapsed_s:8.3f} {text}\n')
        self.file.flush()

    def close(self):
        self.file.close()


_given_ports = set()


def find_free_ports(count, host='127.0.0.1'):
    """Return free ports below the kernel's ephemeral range."""
    ports, probes = [], []
    for port in range(21000 + os.getpid() * 131 % 9000, 32700):
        if port in _given_ports:
            continue
        probe = socket.socket()
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            probe.close()
            continue
        probes.append(probe)
        ports.append(port)
        _given_ports.add(port)
        if len(ports) == count:
            break
    for probe in probes:
        probe.close()
    return ports


class Request:
    """A request as a stand-in received it; header names are lower-case."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition('?')
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    @property
    def attempt_id(self):
        return self.headers.get('x-arbutusvale-attempt-id', '')


async def read_request(reader):
    """Read one request with a length; raise IncompleteReadError at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Request(method, target, headers, body)


def format_head(status, headers):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def format_answer(status, headers, body=b''):
    return format_head(status, headers | {'Content-Length': len(body)}) + body


class Server:
    """A listening socket whose connections are served by ``handle``."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    async def open(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def handle(self, request, reader, writer):
        raise NotImplementedError

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.handle(
                await read_request(reader), reader, writer
            ):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: a log with keyed topics, with one partition."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.records = {}
        self.changed = asyncio.Condition()

    async def append(self, topic, key, value):
        self.records.setdefault(topic, []).append((key, value))
        if topic == 'keyed.op':
            self.record.write(f'store: acknowledged {key} {value.decode()}')
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request, reader, writer):
        topic = request.query.get('Topic', '')
        if request.query.get('part', '0') != '0':
            topic += '/' + request.query['part']
        match request.path:
            case '/-/log-newest':
                answer = self._read_newest(topic, request.query)
            case '/-/log-read':
                answer = await self._read_from(topic, request.query)
            case '/-/log-append':
                answer = await self._append_frames(topic, request.body)
            case _:
                answer = format_answer(404, {'Store-Era': 1})
        writer.write(answer)
        await writer.drain()
        return True

    def _read_newest(self, topic, query):
        newest = {}
        records = self.records.get(topic, [])
        for offset, (key, value) in enumerate(records):
            newest[key] = (offset, value)
        entries = [
            {
                'Key': key,
                'Data': base64.b64encode(value).decode(),
                'Offset': offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value and key > query.get('After', '')
        ]
        return self._format_json({
            'Entries': entries[:500],
            'Truncated': len(entries) > 500,
            'EndOffset': len(records),
        })

    async def _read_from(self, topic, query):
        offset = int(query['From'])
        records = self.records.setdefault(topic, [])
        if offset > len(records):
            return self._format_json({'FirstOffset': 0}, 410)
        try:
            async with asyncio.timeout(int(query.get('WaitMs', '0')) / 1000):
                async with self.changed:
                    await self.changed.wait_for(lambda: len(records) > offset)
        except TimeoutError:
            pass
        data = [len(records).to_bytes(8, 'big'), bytes(8)]
        for key, value in records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            data.append(len(content).to_bytes(4, 'big') + content)
        return format_answer(200, {'Store-Era': 1}, b''.join(data))

    async def _append_frames(self, topic, body):
        start = len(self.records.get(topic, []))
        while body:
            length = int.from_bytes(body[:4], 'big')
            content, body = body[4 : 4 + length], body[4 + length :]
            key_end = 1 + content[0]
            await self.append(
                topic, content[1:key_end].decode(), content[key_end:]
            )
        end = len(self.records[topic])
        return self._format_json({'Offset': start, 'EndOffset': end})

    def _format_json(self, document, status=200):
        headers = {'Store-Era': 1, 'Content-Type': 'application/json'}
        return format_answer(status, headers, json.dumps(document).encode())


def make_entry(address, service='chat', **fields):
    """Return an engine's entry in the store."""
    return json.dumps({
        'Service': service,
        'Address': address,
        'Zone': 'north',
        'Version': 'v1',
        'Slots': 8,
        'State': 'ready',
        'WarmupLeftMs': 0,
        'born': 1,
    } | fields).encode()  # fmt: skip


def make_route(prefix, kind, **fields):
    """Return a route of the operator's configuration."""
    return {
        'Name': 'route' + prefix.replace('/', '-'),
        'Host': HOST,
        'PathPrefix': prefix,
        'RouteType': kind,
        'TimeoutMs': 15000,
        'TargetLatencyMs': 1000,
        'Priority': 1,
        'MaxAttempts': 2,
        'Anonymous': False,
        'SessionAffinity': False,
        'StreamResume': False,
        'GapAimMs': 300,
    } | fields


def make_config(version, routes, services):
    """Return the operator's configuration."""
    return json.dumps({
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': 'acme', 'ApiKeys': [API_KEY], 'Priority': 1}],
    }).encode()  # fmt: skip


class Router:
    """One edge router, started with the command of the deploy file."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        first, second = divmod(os.getpid(), 250)
        self.host = f'127.{first % 250 + 1}.{second + 1}.{number}'
        self.name = f'edge-{number}'
        self.process = None

    def start(self):
        path = pathlib.Path(self.fleet.folder) / f'{self.name}.toml'
        is_first = self.process is None
        path.write_text(self.fleet.format_settings(self, is_first))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['edge-router']['run'].split(' ')
        environment = os.environ | {
            'ARBUTUSVALE_BOOT': str(path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
        }
        self.log_path = path.with_suffix('.log')
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment, cwd=ROOT
            )
        self.fleet.record.write(f'{self.name}: started')

    async def wait_until_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CaseFailed(f'{self.name} has ended')
            if await self._fetch_ready():
                self.fleet.record.write(f'{self.name}: ready')
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise CaseFailed(f'{self.name} is not ready')

    async def _fetch_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.fleet.ready_port
            )
        except OSError:
            return False
        writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return b' 200 ' in line

    def send_signal(self, number):
        self.fleet.record.write(f'{self.name}: {signal.Signals(number).name}')
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    """A store, engines and routers in a temporary folder."""

    def __init__(self, record):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store = Store(record)
        self.engines = {}
        self.entries = {}
        self.sequences = {}
        self.routers = []
        self.caller_port, self.ready_port, self.peer_port = find_free_ports(3)
        self.attempts = 0
        self.version = 0
        self.tasks = []

    async def open(self):
        await self.store.open()
        self.tasks.append(asyncio.create_task(self._write_heartbeats()))

    async def publish(self, routes, services):
        """Write the next version; the answer acknowledges it."""
        self.version += 1
        await self.store.append(
            'keyed.op', 'config', make_config(self.version, routes, services)
        )

    async def register(self, name, address, **fields):
        """Write an engine's entry, and again at each heartbeat."""
        self.entries[name] = (address, fields)
        self.sequences[name] = 0
        await self._write_entry(name)

    def note_crash(self, name):
        """Write no entry of a crashed engine; remove it when it is due."""
        del self.entries[name]
        self.tasks.append(asyncio.create_task(self._remove_silent(name)))

    async def _remove_silent(self, name):
        await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT_S)
        if name not in self.entries:
            await self.store.append('keyed.servers', name, b'')

    async def _write_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name in list(self.entries):
                await self._write_entry(name)

    async def _write_entry(self, name):
        address, fields = self.entries[name]
        self.sequences[name] += 1
        entry = make_entry(address, Sequence=self.sequences[name], **fields)
        await self.store.append('keyed.servers', name, entry)

    async def start_routers(self, count):
        for number in range(1, count + 1):
            router = Router(self, number)
            self.routers.append(router)
            router.start()
        for router in self.routers:
            await router.wait_until_ready()

    def next_attempt_id(self):
        self.attempts += 1
        return f'attempt-{self.attempts:05d}'

    def format_settings(self, router, is_first):
        return f"""
NodeName = "{router.name}"
Role = "edge-router"
MachineClass = "edge"
Serves = ["edge","control_plane"]
Ip = "{router.host}"
Zone = "north"
Region = "sul"
InternalPortRange = [{self.peer_port},{self.peer_port + 15}]
Seeds = [{self._format_seeds(router)}]
Bootstrap = {'true' if is_first else 'false'}
CountsAsLoss = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants","platform"]
[Zones]
north = "sul"
[Listen]
Frontend = "{router.host}:{self.caller_port}"
Ready = "{router.host}:{self.ready_port}"
Control = "{router.host}:{self.ready_port + 1}"
[Limits]
CpuShare = 0.817
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
MaxSkewMs = 5000
RevokeFailClosed = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 56
RecoveryS = 12
PassMs = 120
ReuseWindowS = 10
CapacityFactor = 2
[Platform]
Address = "127.0.0.1:{self.store.port}"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 24
keep_s = 300
PartMb = 200
TtlMinMs = 1000
"""

    def _format_seeds(self, router):
        prefix = router.host.rpartition('.')[0]
        return ','.join(
            f'"{prefix}.{number}:{self.ready_port + 1}"'
            for number in (1, 2, 3)
        )

    async def close(self):
        """End all that was started, also what comes after a failure."""
        for task in self.tasks:
            task.cancel()
        for started in (*self.routers, *self.engines.values()):
            try:
                if isinstance(started, Router):
                    started.kill()
                else:
                    await started.close()
            except Exception as error:
                self.record.write(f'not ended: {error!r}')
        await self.store.close()
        if os.environ.get('KEEP_LOGS'):
            for router in self.routers:
                sys.stderr.write(f'--- {router.name}\n')
                sys.stderr.write(router.log_path.read_text())
        self.temporary.cleanup()


def format_call(fleet, method, path, attempt_id, deadline_ms, headers):
    """Return a caller's request without a body."""
    lines = {
        'Host': HOST,
        'X-Arbutusvale-Attempt-Id': attempt_id,
        'X-Arbutusvale-Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {API_KEY}',
    } | headers
    text = f'{method} {path} HTTP/1.1\r\n' + ''.join(
        f'{name}: {value}\r\n' for name, value in lines.items()
    )
    return (text + '\r\n').encode()


async def read_head(reader):
    """Return status and headers of an answer."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return int(first.split(' ')[1]), headers


async def read_chunk(reader):
    """Return the next chunk of a body; empty at its end."""
    line = await reader.readuntil(b'\r\n')
    size = int(line.split(b';')[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def _play_in_time(main, record, with_trouble):
    """Play a case; a signal or the time limit ends it, and what it started."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(TIME_LIMIT_S):
        return await main(record, with_trouble)


def run(main, folder):
    """Run a case; its result is the exit code: 1 broken, 0 held, 2 not run.

    ``main`` takes the record and whether to cause the disruption, and
    returns whether the rule was broken.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'case begins, disruption: {with_trouble}')
    try:
        broken = asyncio.run(_play_in_time(main, record, with_trouble))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f'the case could not run: {error!r}')
        sys.stderr.write(f'{error!r}\n')
        return 2
    record.write('the rule was broken' if broken else 'the rule held')
    record.close()
    return 1 if broken else 0
