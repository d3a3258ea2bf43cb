"""Stand-ins and process control that the scripts of the review share.

The routers are processes of their own, started as the deploy file says.  The
platform's store, the engines and the clients are small stand-ins in the
process of the script.  All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
CONFIG_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'
METRICS_PORT = 9464
HEARTBEAT_S = 1.2
STORE_DELAY_S = 0.004
READY_TIMEOUT_S = 20.0
HOST = 'fleet.example'
KEY = 'key-of-tenant-1'
TENANT = 'tenant1'

# Exit codes of a script.
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class Record:
    """The record of a run: what was sent, answered and run, with times."""

    def __init__(self, path):
        self.file = path.open('w')
        self.started_at = time.monotonic()

    def now(self):
        """Return the seconds since the run began."""
        return time.monotonic() - self.started_at

    def write(self, text):
        """Write a line with its time."""
        self.file.write(f'{self.now():8.3f} {text}\n')
        self.file.flush()


class Store:
    """The platform's store: keyed topics in one partition each."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.server = None
        self.port = 0
        # While down, calls get no answer and connections are reset.
        self.is_down = False
        self.era = 1
        self.writers = set()

    async def open(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 22
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop_answering(self):
        """Go down: open calls end by a reset, new ones get 503."""
        self.is_down = True
        for writer in list(self.writers):
            writer.transport.abort()

    async def append(self, topic, key, value):
        """Append a record and wake readers; an empty value deletes its key."""
        self.topics.setdefault((topic, '0'), []).append((key, value))
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head, body = await read_request(reader)
                await asyncio.sleep(STORE_DELAY_S)
                status, answer = 503, b'{}'
                if not self.is_down:
                    status, answer = await self._answer(head, body)
                if self.is_down:
                    status, answer = 503, b'{}'
                writer.write(
                    b'HTTP/1.1 %d Status\r\nStore-Era: %d\r\n'
                    b'Content-Length: %d\r\n\r\n'
                    % (status, self.era, len(answer))
                    + answer
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, head, body):
        path, _, text = head.target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        name = (query['Topic'], query['part'])
        records = self.topics.setdefault(name, [])
        if path == '/-/log-append':
            while body:
                size = struct.unpack('>I', body[:4])[0]
                content, body = body[4 : 4 + size], body[4 + size :]
                end = 1 + content[0]
                records.append((content[1:end].decode(), content[end:]))
            async with self.changed:
                self.changed.notify_all()
            document = {'Offset': len(records) - 1, 'EndOffset': len(records)}
            return 200, json.dumps(document).encode()
        if path == '/-/log-newest':
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            entries = [
                {
                    'Key': key,
                    'Data': base64.b64encode(value).decode(),
                    'Offset': offset,
                }
                for key, (offset, value) in sorted(newest.items())
                if value
            ]
            document = {
                'Entries': entries,
                'Truncated': False,
                'EndOffset': len(records),
            }
            return 200, json.dumps(document).encode()
        offset = int(query['From'])
        if offset > len(records):
            return 410, b'{"FirstOffset": 0}'
        try:
            async with asyncio.timeout(int(query.get('WaitMs', 0)) / 1000):
                async with self.changed:
                    await self.changed.wait_for(lambda: len(records) > offset)
        except TimeoutError:
            pass
        frames = [struct.pack('>QQ', len(records), 0)]
        for key, value in records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            frames.append(struct.pack('>I', len(content)) + content)
        return 200, b''.join(frames)


class Head:
    """A parsed request head; header names are in lower case."""

    def __init__(self, data):
        first, *lines = data.decode('latin-1').split('\r\n')
        self.method, self.target, _ = first.split(' ', 2)
        self.headers = {}
        for line in lines:
            name, _, value = line.partition(':')
            if name:
                self.headers[name.lower()] = value.strip()


async def read_request(reader):
    """Read one request; the routers send bodies with a length."""
    head = Head(await reader.readuntil(b'\r\n\r\n'))
    body = await reader.readexactly(
        int(head.headers.get('content-length', '0'))
    )
    return head, body


class Engine:
    """An engine that answers streams and plain requests.

    ``refuse`` returns the headers of a 503 that didn't run the request, or
    None to serve it.  A stream has ``events`` events, ``gap_s`` apart.
    """

    def __init__(self, name, store, record, service='modelo', version='v1'):
        self.name = name
        self.store = store
        self.record = record
        self.service = service
        self.version = version
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.slots = 64
        self.running = asyncio.Semaphore(64)
        self.waiting = 0
        self.events = 10
        self.gap_s = 0.05
        self.refuse = lambda head: None
        self.server = None
        self.port = 0
        self.writers = set()
        self.beat_task = None
        # Attempt ids with the times at which they reached or ran.
        self.arrivals = []
        self.runs = []
        self.cached = {}

    @property
    def address(self):
        """The engine's IP:PORT."""
        return f'127.0.0.1:{self.port}'

    def limit(self, slots):
        """Serve so many requests at once; others wait for a slot."""
        self.slots = slots
        self.running = asyncio.Semaphore(slots)

    @property
    def load(self):
        """The value of the header that tells the load."""
        running = self.slots - self.running._value
        return f'{running},{self.waiting},{self.slots}'

    async def open(self):
        """Start the engine, on the port from before if there is one."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def start(self):
        """Start and register the engine."""
        await self.open()
        await self.register()
        self.beat_task = asyncio.create_task(self._beat())

    async def register(self):
        """Write the engine's entry, as far as the store can be reached."""
        self.sequence += 1
        if not self.store.is_down:
            await self.store.append(
                SERVERS_TOPIC, self.name, json.dumps(self.entry()).encode()
            )

    def entry(self):
        """Return the entry as the engine writes it."""
        return {
            'Service': self.service,
            'Address': self.address,
            'Zone': 'poa',
            'Version': self.version,
            'Slots': self.slots,
            'State': self.state,
            'WarmupLeftMs': 0,
            'Sequence': self.sequence,
            'born': self.born,
        }

    async def _beat(self):
        # The engines of a deployment don't write at the same moment.
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def stop(self, deregister=False):
        """End like a stopped process; all connections end."""
        if self.beat_task is not None:
            self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.cached.clear()
        if deregister:
            await self.store.append(SERVERS_TOPIC, self.name, b'')

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head, body = await read_request(reader)
                if not await self._handle(head, body, reader, writer):
                    break
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, head, body, reader, writer):
        if head.target == '/-/kv-list':
            held = [
                ['', part, size, 'm'] for part, size in self.cached.items()
            ]
            data = json.dumps(
                {'epoch': self.born, 'NextPageToken': 0, 'held': held}
            ).encode()
            writer.write(format_answer(200, {}, data))
            await writer.drain()
            return True
        attempt = head.headers.get('x-arbutusvale-attempt-id', '')
        headers = {
            'X-Arbutusvale-Attempt-Id': attempt,
            'X-Arbutusvale-Engine-Load': self.load,
        }
        expected = head.headers.get('x-arbutusvale-expected-instance')
        if expected not in (None, self.name):
            headers['X-Arbutusvale-Instance-Id'] = self.name
            writer.write(format_answer(421, headers, b''))
            return True
        self.arrivals.append((self.record.now(), attempt))
        refusal = self.refuse(head)
        if refusal is not None:
            self.record.write(
                f'engine {self.name} turns {attempt} away: 503 {refusal}'
            )
            headers['X-Arbutusvale-Not-Executed'] = '1'
            writer.write(format_answer(503, headers | refusal, b''))
            return True
        headers['X-Arbutusvale-Engine-Signature'] = f'{self.name}.{attempt}'
        headers['Keep-Alive'] = 'timeout=5'
        work = asyncio.create_task(self._run(head, attempt, headers, writer))
        gone = asyncio.create_task(wait_until_closed(reader))
        try:
            # An engine drops a request when its connection closes.
            done, _ = await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
            return work in done and work.result()
        finally:
            work.cancel()
            gone.cancel()

    async def _run(self, head, attempt, headers, writer):
        """Run a request in a slot and write its answer."""
        self.waiting += 1
        try:
            await self.running.acquire()
        finally:
            self.waiting -= 1
        try:
            headers['X-Arbutusvale-Engine-Load'] = self.load
            self.runs.append((self.record.now(), attempt))
            self.record.write(
                f'engine {self.name} ({self.version}) runs {attempt}'
                f' from event {head.headers.get("last-event-id", "-")} on'
            )
            prompt = head.headers.get('x-arbutusvale-prompt-prefix', '')
            for part in filter(None, prompt.split(',')):
                name, _, tokens = part.partition(':')
                self.cached[name] = int(tokens)
            if not head.target.startswith('/chat/'):
                await asyncio.sleep(self.gap_s)
                writer.write(format_answer(200, headers, b'done'))
                return True
            return await self._stream(head, headers, writer)
        finally:
            self.running.release()

    async def _stream(self, head, headers, writer):
        """Write the events that the client lacks."""
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        writer.write(format_head(200, headers))
        first = int(head.headers.get('last-event-id', '0')) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f'id: {number}\ndata: {self.name} {self.version}\n\n'
            writer.write(b'%x\r\n%b\r\n' % (len(event), event.encode()))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


async def wait_until_closed(reader):
    """Return when the other side closes the connection."""
    # Reading would take the first byte of the next request.
    while not reader.at_eof():  # noqa: ASYNC110
        await asyncio.sleep(0.02)


def format_head(status, headers):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def format_answer(status, headers, body):
    """Return an answer with a length."""
    return format_head(status, headers | {'Content-Length': len(body)}) + body


class Answer:
    """What a client got: its status, headers and body, and how it ended.

    ``end`` is 'whole', 'closed' (the connection ended first), or 'late' (the
    client's deadline passed).
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.end = ''
        self.took_s = 0.0

    def list_events(self):
        """List the whole events as pairs of id and data."""
        events = []
        for text in self.body.split(b'\n\n')[:-1]:
            fields = dict(
                line.split(': ', 1) for line in text.decode().split('\n')
            )
            events.append((int(fields['id']), fields['data']))
        return events


async def send(
    record, address, path, attempt, deadline_s, method='POST', body=b'',
    headers=(), gap_s=None,
):  # fmt: skip
    """Send one request on a new connection and return its answer.

    The client leaves if it gets nothing for ``gap_s``.
    """
    answer = Answer()
    sent_at = record.now()
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Arbutusvale-Attempt-Id: {attempt}',
        f'X-Arbutusvale-Deadline-Ms: {int(deadline_s * 1000)}',
        f'Authorization: Bearer {KEY}',
        *headers,
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    data = ('\r\n'.join(lines) + '\r\n\r\n').encode() + body
    record.write(f'client sends {attempt} {method} {path} {list(headers)}')
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            await read_answer(reader, answer, gap_s)
            answer.end = 'whole'
    except TimeoutError:
        answer.end = 'late'
    except (OSError, EOFError):
        answer.end = 'closed'
    finally:
        if writer is not None:
            writer.close()
    answer.took_s = record.now() - sent_at
    record.write(
        f'client gets {attempt}: status {answer.status}, {answer.end},'
        f' {len(answer.body)} bytes after {answer.took_s:.3f} s'
        f' {answer.headers.get("retry-after", "")}'
    )
    return answer


async def read_answer(reader, answer, gap_s=None):
    """Read one answer; raise EOFError if it ends early."""
    async with asyncio.timeout(gap_s):
        data = await reader.readuntil(b'\r\n\r\n')
    first, *lines = data.decode('latin-1').split('\r\n')
    for line in lines:
        name, _, value = line.partition(':')
        if name:
            answer.headers[name.lower()] = value.strip()
    answer.status = int(first.split(' ')[1])
    if 'chunked' not in answer.headers.get('transfer-encoding', ''):
        answer.body = await reader.readexactly(
            int(answer.headers.get('content-length', '0'))
        )
        return
    while True:
        async with asyncio.timeout(gap_s):
            size = int((await reader.readuntil(b'\r\n'))[:-2], 16)
            data = await reader.readexactly(size + 2)
        if not size:
            return
        answer.body += data[:-2]


class Router:
    """One edge router process, started with the deploy file's command."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.host = fleet.host(number)
        self.name = f'edge-{number}'
        self.settings = fleet.folder / f'{self.name}.toml'
        self.log = fleet.folder / f'{self.name}.log'
        self.process = None

    @property
    def address(self):
        """Host and port for clients."""
        return self.host, self.fleet.ports[0]

    async def start(self):
        """Start the process."""
        self.settings.write_text(self.fleet.format_settings(self))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        } | {
            'ARBUTUSVALE_BOOT': str(self.settings),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
        }
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.fleet.command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        self.fleet.record.write(f'{self.name} starts')

    async def wait_until_ready(self, timeout_s=READY_TIMEOUT_S):
        """Wait until the router says that it is ready."""
        end = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise CouldNotRunError(f'{self.name} did not become ready')
            await asyncio.sleep(0.1)

    async def is_ready(self):
        """Return whether the router says that it is ready."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.host, self.fleet.ports[1]
                )
                writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: r\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        except (OSError, TimeoutError):
            return False

    def signal(self, number):
        """Send a signal to the process."""
        self.fleet.record.write(
            f'{self.name} gets {signal.Signals(number).name}'
        )
        self.process.send_signal(number)

    async def end(self):
        """Kill the process if it runs."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()


class CouldNotRunError(Exception):
    """The case could not be run."""


class Fleet:
    """A store, engines and routers of a small deployment.

    ``disruption`` is False in a run without the disruption of the case.
    """

    def __init__(self, folder):
        self.case_folder = folder
        self.disruption = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(folder / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.command = deploy['roles']['edge-router']['run'].split()
        self.store = Store(self.record)
        self.engines = {}
        self.routers = []
        self.config_version = 0
        self.attempts = 0
        self.network = self._find_network()
        self.ports = self._find_ports(4)

    def _find_network(self):
        for _ in range(100):
            network = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}'
            try:
                for number in range(1, 6):
                    with socket.socket() as probe:
                        probe.bind((f'{network}.{number}', METRICS_PORT))
            except OSError:
                continue
            return network
        raise CouldNotRunError('no free loopback network')

    def _find_ports(self, count):
        probes = [socket.socket() for _ in range(count)]
        for probe in probes:
            probe.bind((self.host(1), 0))
        ports = [probe.getsockname()[1] for probe in probes]
        for probe in probes:
            probe.close()
        return ports

    def host(self, number):
        """Return the loopback address of a router."""
        return f'{self.network}.{number}'

    def next_attempt(self):
        """Return a new attempt id."""
        self.attempts += 1
        return f'{self.attempts:016x}'

    async def add_engine(self, name, **fields):
        """Start an engine that registers itself."""
        engine = Engine(name, self.store, self.record, **fields)
        self.engines[name] = engine
        await engine.start()
        return engine

    async def add_router(self):
        """Start a router process."""
        router = Router(self, len(self.routers) + 1)
        self.routers.append(router)
        await router.start()
        return router

    async def publish(self, routes, services, **changes):
        """Write the next configuration."""
        self.config_version += 1
        document = {
            'Version': self.config_version,
            'Routes': routes,
            'Services': services,
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 4194304,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
            'Tenants': [{'Name': TENANT, 'ApiKeys': [KEY], 'Priority': 1}],
        } | changes
        await self.store.append(
            CONFIG_TOPIC, 'config', json.dumps(document).encode()
        )
        self.record.write(f'operator writes config {self.config_version}')

    def format_settings(self, router):
        """Return a router's settings file."""
        callers, ready, control, internal = self.ports
        seeds = ','.join(
            f'"{self.host(number)}:{control}"' for number in (1, 2, 3)
        )
        return f"""
NodeName = "{router.name}"
Role = "edge-router"
MachineClass = "edge"
Serves = ["edge","control_plane"]
Ip = "{router.host}"
Zone = "poa"
Region = "sul"
InternalPortRange = [{internal},{internal}]
Seeds = [{seeds}]
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants","platform"]
[Zones]
poa = "sul"
[Listen]
Frontend = "{router.host}:{callers}"
Ready = "{router.host}:{ready}"
Control = "{router.host}:{control}"
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
AppendMs = 1.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
"""

    async def close(self):
        """End all processes and stand-ins."""
        for router in self.routers:
            await router.end()
        for engine in self.engines.values():
            await engine.stop()
        if os.environ.get('KEEP_LOGS'):
            for router in self.routers:
                shutil.copy(router.log, os.environ['KEEP_LOGS'])
        shutil.rmtree(self.folder)


def make_route(name, kind='streaming', **changes):
    """Return a route of the operator's configuration."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'RouteType': kind,
        'TimeoutMs': 15000,
        'TargetLatencyMs': 1000,
        'Priority': 1,
        'Service': 'modelo',
        'MaxAttempts': 2,
        'Anonymous': False,
        'SessionAffinity': kind == 'streaming',
        'StreamResume': False,
        'GapAimMs': 300,
    } | changes


def make_service(name, **changes):
    """Return a service of the operator's configuration."""
    return {
        'Name': name,
        'HealthCheckPath': '/healthz',
        'MaxConnections': 370,
        'Protocol': 'h1',
        'Tls': False,
    } | changes


def run(case, folder, limit_s=110.0):
    """Run a case, and exit as the issue asks.

    A case is a coroutine function of a fleet; it returns whether the rule
    held.
    """
    try:
        code = asyncio.run(_run(case, pathlib.Path(folder), limit_s))
    except Exception:
        # Any other exit code would be taken for a verdict.
        traceback.print_exc()
        code = COULD_NOT_RUN
    sys.exit(code)


async def _run(case, folder, limit_s):
    fleet = Fleet(folder)
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(limit_s):
            await fleet.store.open()
            held = await case(fleet)
    except (
        CouldNotRunError, TimeoutError, OSError, asyncio.CancelledError,
    ) as error:  # fmt: skip
        fleet.record.write(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        return COULD_NOT_RUN
    finally:
        await fleet.close()
    verdict = 'the rule held' if held else 'the rule was broken'
    fleet.record.write(verdict)
    print(verdict)
    return HELD if held else BROKEN
