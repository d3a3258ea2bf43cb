"""A simulated pool of servers that single requests crash, in virtual time.

The routers are whole programs; simulated are sockets, servers, the store and
callers.  A frozen router gets all that arrives meanwhile when it wakes; its
own timers go on.
"""

import asyncio
import contextvars
import dataclasses
import random

from arbutusvale import composeedge
from arbutusvale import errors
from arbutusvale.protocol import edge_settings
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import proxying
from arbutusvale.transport import http_connection
from tests import helpers_edge

NETWORK_S = 0.002
STORE_DELAY_S = 0.05
# An entry is removed after three heartbeats of silence.
EXPIRY_S = 3.6
WORK_S = 0.09
CONTACT_S = 3.0
ROUTER_START_S = 0.3
MAX_LATE_RETRIES = 3
SOUND_INTERVAL_S = 0.1
# Requests that crash servers have one of these bodies.
KEYS = (b'crash-1', b'crash-2')
CALLER_HEADERS = [
    (b'host', b'fleet.example'),
    (b'x-arbutusvale-model-id', b'm'),
]

_router = contextvars.ContextVar('router')


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server; ``router`` sent it."""

    at: float
    key: bytes
    router: 'Router'


class Caller:
    """The response to one request; a caller that left gets none."""

    def __init__(self):
        self.started = False
        self.status = 0
        self.body = b''

    def send_response(self, status, headers, body):
        self.status, self.body = status, body

    def start(self, status, headers):
        self.started, self.status = True, status

    def write(self, data):
        self.body += data

    def finish(self):
        pass

    def abort(self):
        self.status = 0

    async def wait_until_drained(self):
        pass


class Transport:
    """A router's end of a connection to a server."""

    def __init__(self, day, server, router):
        self.day = day
        self.server = server
        self.router = router
        self.connection = http_connection.HttpConnection()
        self.connection.transport = self
        self.closed = False
        server.transports[self] = None

    def write(self, data):
        self.day.after(NETWORK_S, self.server.receive, self, data)

    def respond(self, data):
        self.router.deliver(self._feed, data)

    def _feed(self, data):
        if not self.closed:
            self.connection.data_received(data)

    def abort(self):
        self.server.transports.pop(self, None)
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_soon(
                self.connection.connection_lost, None
            )

    def reset(self):
        self.router.deliver(self._lose)

    def _lose(self):
        if not self.closed:
            self.closed = True
            self.connection.connection_lost(ConnectionResetError())

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


class Server:
    """A server that ends when it runs a request with a crashing key."""

    def __init__(self, day, number):
        self.day = day
        self.port = number
        self.starts = 0
        self.name = f'e{number}'
        self.up = False
        # In the order in which they were opened.
        self.transports = {}
        self.start()

    def start(self):
        self.starts += 1
        if self.day.plan.new_ids:
            self.name = f'e{self.port}-{self.starts}'
        self.up = True
        self.day.publish_server(self)

    def receive(self, transport, data):
        head, _, body = data.partition(b'\r\n\r\n')
        fields = parse_fields(head)
        if not self.up or transport not in self.transports:
            return
        self.day.arrivals.append(
            Arrival(self.day.now(), body, transport.router)
        )
        attempt = fields[b'x-arbutusvale-attempt-id']
        if fields[b'x-arbutusvale-expected-instance'] != self.name.encode():
            self.respond(transport, attempt, b'421 Misdirected')
            return
        prompt = fields.get(b'x-arbutusvale-prompt-prefix', b'')
        if self.day.crashes_servers(body, prompt):
            delay_s = self.day.generator.uniform(*self.day.plan.crash_delay_s)
            self.day.after(delay_s, self.crash, body, self.starts)
        else:
            self.day.after(WORK_S, self.respond, transport, attempt, b'200 OK')

    def respond(self, transport, attempt, status):
        if transport not in self.transports:
            return
        signature = b'x-arbutusvale-engine-signature: s\r\n'
        self.day.after(
            NETWORK_S,
            transport.respond,
            b'HTTP/1.1 %s\r\nx-arbutusvale-attempt-id: %s\r\n%s'
            b'keep-alive: timeout=5\r\ncontent-length: 2\r\n\r\nok'
            % (status, attempt, signature if status == b'200 OK' else b''),
        )

    def crash(self, key, starts):
        if not self.up or starts != self.starts:
            return
        self.day.crashes.append((self.day.now(), key))
        self.stop()

    def stop(self):
        self.up = False
        for transport in self.transports:
            self.day.after(NETWORK_S, transport.reset)
        self.transports = {}
        if self.day.plan.new_ids:
            self.day.after(EXPIRY_S, self.day.publish, self.name, None)
        self.day.after(
            self.day.generator.uniform(*self.day.plan.down_s), self.start
        )


class Router:
    """One router and its processes, one after the other."""

    def __init__(self, day, number, older_build=False):
        self.day = day
        self.host = f'10.0.0.{number}'
        self.older_build = older_build
        self.incidents = []
        self.frozen_until = 0.0
        self.is_cut = False
        self.running = False
        self.tasks = set()

    def start(self):
        bounds = helpers_edge.make_bounds()
        address = edge_settings.Address(self.host, 1)
        seeds = tuple(
            edge_settings.Address(router.host, 1)
            for router in self.day.routers[:3]
        )
        settings = edge_settings.EdgeSettings(
            name=self.host,
            data_centre='north',
            host=self.host,
            callers=address,
            readiness=address,
            store=address,
            seeds=seeds,
            peer_port=1,
            metrics_port=1,
            memory_bytes=10**8,
            link_mbit_per_s=0,
            max_sockets=1000,
            bounds=bounds,
        )
        self.program = composeedge.EdgeProgram('', settings, self.day.now)
        self.program.context.generator.seed(self.day.generator.random())
        self.program.peers.generator.seed(self.day.generator.random())
        self.program.router.before_request = _do_nothing
        self.program.peers.send = self.send_datagram
        self.program.crash_exchange.send = self.send_datagram
        self.running = True
        for key, value in self.day.store.items():
            self.apply(key, value)
        self.run(self.program.peers.run())
        self.run(self.program.crash_exchange.run())

    def run(self, coroutine):
        task = self.context().run(asyncio.create_task, coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def context(self):
        context = contextvars.copy_context()
        context.run(_router.set, self)
        return context

    def kill(self):
        self.running = False
        for task in list(self.tasks):
            task.cancel()
        for server in self.day.servers:
            for transport in list(server.transports):
                if transport.router is self:
                    transport.abort()

    def deliver(self, function, *arguments):
        """Call a function now, or when the router wakes."""
        wait_s = self.frozen_until - self.day.now()
        if wait_s > 0:
            self.day.after(wait_s, function, *arguments)
        elif self.running:
            self.context().run(function, *arguments)

    def send_datagram(self, host, data):
        self.day.after(NETWORK_S, self.day.route_datagram, self, host, data)

    def apply(self, key, value):
        if self.is_cut:
            return
        record = keyed_log.Record(key, value)
        if key == 'config':
            self.program.config.update([record], None)
        else:
            self.program.server_view.update([record], None)

    def in_touch(self, at):
        return not any(
            start <= at and at - CONTACT_S < end
            for start, end in self.incidents
        )


@dataclasses.dataclass(slots=True)
class Plan:
    """What a day draws; times are in seconds."""

    new_ids: bool
    down_s: tuple
    crash_delay_s: tuple
    repeat_s: float
    leave_s: float | None
    caller_count: int
    companion: str
    succeeds_first: bool
    fixed_router: bool
    older_build: bool
    router_faults: bool
    config_changes: bool
    sound_shares_read: bool
    lasts_s: float = 24.0


def draw_plan(generator):
    down = generator.uniform(0.3, 4.0)
    delay = generator.choice([0.0, 0.05, 0.2])
    return Plan(
        new_ids=generator.random() < 0.5,
        down_s=(down, min(4.0, down + 0.4)),
        crash_delay_s=(delay, delay + 0.05),
        repeat_s=generator.choice([0.03, 0.2, 1.0]),
        leave_s=generator.choice([None, None, 0.03, 0.15]),
        caller_count=generator.choice([1, 1, 3]),
        companion=generator.choice(['', 'request', 'part']),
        succeeds_first=generator.random() < 0.6,
        fixed_router=generator.random() < 0.3,
        older_build=generator.random() < 0.2,
        router_faults=generator.random() < 0.4,
        config_changes=generator.random() < 0.5,
        sound_shares_read=generator.random() < 0.5,
    )


class CrashingPoolDay:
    """A day of five routers and three servers."""

    def __init__(self, seed, plan=None):
        self.generator = random.Random(seed)
        self.plan = plan or draw_plan(self.generator)
        self.store = {}
        self.arrivals = []
        self.crashes = []
        self.crashing_from = float('inf')
        self.sound_sent = 0
        self.sound_served = 0
        self.sound_quarantined = 0
        self.version = 0
        self.organisation = 'acme'
        self.key = 'key-1'
        self.attempts = 0
        self.routers = []
        self.servers = []

    def now(self):
        return asyncio.get_running_loop().time()

    def after(self, delay_s, function, *arguments):
        asyncio.get_running_loop().call_later(delay_s, function, *arguments)

    async def open_connection(self, host, port, timeout_s):
        """Stand in for the function of that name of http_connection."""
        await asyncio.sleep(NETWORK_S)
        server = self.servers[port - 1]
        if not server.up:
            raise errors.ServerFailed(
                'no connection: ConnectionRefusedError', False, True
            )
        transport = Transport(self, server, _router.get())
        return transport.connection

    def crashes_servers(self, key, prompt):
        if self.now() < self.crashing_from:
            return False
        return key in KEYS or b'bad:' in prompt

    def publish(self, key, value):
        self.store[key] = value
        for router in self.routers:
            if router.running:
                self.after(
                    STORE_DELAY_S, router.deliver, router.apply, key, value
                )

    def publish_server(self, server):
        entry = helpers_edge.make_entry(
            f'10.1.0.1:{server.port}', born=1000 + server.starts
        )
        self.publish(server.name, entry)

    def publish_config(self, timeout_ms=1500):
        self.version += 1
        routes = [
            helpers_edge.make_route(
                f'r{self.version // 3}',
                '/chat/',
                TimeoutMs=timeout_ms,
                MaxAttempts=2,
            ),
        ]
        tenants = [{'Name': self.organisation, 'ApiKeys': [self.key]}]
        data = helpers_edge.make_config(self.version, routes, Tenants=tenants)
        self.publish('config', data)

    def route_datagram(self, sender, host, data):
        for router in self.routers:
            if router.host == host and router.running:
                if not (sender.is_cut or router.is_cut):
                    router.deliver(router.program.peers.receive, data)

    async def send(
        self, key, router=None, parts='', leave_s=None, own_tokens=9
    ):
        """Send a request; return the status, 0 without an answer, and body."""
        router = router or self.generator.choice(self.routers)
        await asyncio.sleep(NETWORK_S)
        await asyncio.sleep(max(0.0, router.frozen_until - self.now()))
        if not router.running:
            return 0, b''
        self.attempts += 1
        headers = [
            *CALLER_HEADERS,
            (b'x-arbutusvale-attempt-id', b'a%d' % self.attempts),
            (b'x-arbutusvale-deadline-ms', b'1500'),
            (b'authorization', f'Bearer {self.key}'.encode()),
        ]
        if parts:
            prompt = f'{parts},own{self.attempts}:{own_tokens}'.encode()
            headers.append((b'x-arbutusvale-prompt-prefix', prompt))
        request = proxying.CallerRequest(
            b'POST', b'/chat/x', headers, key, self.now(), True
        )
        caller = Caller()
        task = router.run(router.program.router.serve(request, caller))
        await asyncio.wait((task,), timeout=leave_s)
        if not task.done():
            task.cancel()
            return 0, b''
        return caller.status, caller.body

    async def repeat(self, key, partner):
        """Send a crashing request again and again, beside its companion."""
        router = (
            self.generator.choice(self.routers)
            if self.plan.fixed_router
            else None
        )
        while True:
            sends = [self.send(key, router, leave_s=self.plan.leave_s)]
            match partner:
                case 'request':
                    sends.append(self.send(KEYS[1], leave_s=self.plan.leave_s))
                case 'part':
                    unique = b'variant-%d' % self.attempts
                    sends.append(self.send(unique, parts='good:9,bad:9'))
            await asyncio.gather(*sends)
            await asyncio.sleep(self.plan.repeat_s)

    async def send_sound(self, make_key, parts=''):
        """Send sound requests at intervals, and count what becomes of them."""
        tasks = set()
        while True:
            task = asyncio.create_task(self.count_sound(make_key(), parts))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def count_sound(self, key, parts):
        self.sound_sent += 1
        status, body = await self.send(key, parts=parts)
        self.sound_served += status == 200
        # While no server is up, any refusal is as good as another.
        is_up = any(server.up for server in self.servers)
        self.sound_quarantined += is_up and b'quarantined' in body

    async def disturb_routers(self):
        """Kill, cut off and freeze routers, one after the other."""
        while True:
            await asyncio.sleep(self.generator.uniform(0.5, 4.0))
            router = self.generator.choice(self.routers)
            start = self.now()
            match self.generator.choice(['kill', 'cut', 'freeze']):
                case 'kill':
                    router.kill()
                    await asyncio.sleep(ROUTER_START_S)
                    router.start()
                case 'cut':
                    router.is_cut = True
                    await asyncio.sleep(self.generator.uniform(0.5, 4.0))
                    router.is_cut = False
                    for key, value in self.store.items():
                        router.apply(key, value)
                case 'freeze':
                    lasts_s = self.generator.uniform(0.5, 4.0)
                    router.frozen_until = self.now() + lasts_s
                    await asyncio.sleep(lasts_s)
            router.incidents.append((start, self.now()))

    async def change_config(self):
        """Change timeout, organisation, key and route in turn."""
        while True:
            await asyncio.sleep(self.generator.uniform(1.0, 4.0))
            match self.generator.choice(['timeout', 'organisation', 'key']):
                case 'timeout':
                    timeout_ms = self.generator.choice([100, 700, 1500])
                    self.publish_config(timeout_ms)
                    continue
                case 'organisation':
                    self.organisation = f'acme-{self.version}'
                case 'key':
                    self.key = f'key-{self.version}'
            self.publish_config()

    async def play(self):
        """Play the day."""
        plan = self.plan
        self.publish_config()
        self.servers = [Server(self, number) for number in (1, 2, 3)]
        for number in range(1, 6):
            is_older = plan.older_build and number == 5
            self.routers.append(Router(self, number, is_older))
        for router in self.routers:
            router.start()
            if router.older_build:
                tracker = router.program.context.crashes
                tracker.admits = tracker.start_attempt = _admit_all
        await asyncio.sleep(1.0)
        if plan.succeeds_first:
            for _ in range(4):
                for key in KEYS:
                    await self.send(key)
        tasks = [
            self.send_sound(lambda: b'unique-%d' % self.attempts),
            self.send_sound(lambda: b'read', 'system:9'),
        ]
        if plan.sound_shares_read:
            tasks.append(self.send_sound(lambda: b'other-read'))
        if plan.router_faults:
            tasks.append(self.disturb_routers())
        if plan.config_changes:
            tasks.append(self.change_config())
        running = [asyncio.create_task(task) for task in tasks]
        await asyncio.sleep(2.0)
        self.crashing_from = self.now()
        for _ in range(plan.caller_count):
            running.append(
                asyncio.create_task(self.repeat(KEYS[0], plan.companion))
            )
        await asyncio.sleep(plan.lasts_s)
        for task in running:
            task.cancel()
        for router in self.routers:
            router.kill()
        await asyncio.sleep(0.1)

    def count_late_retries(self, key, from_older_build=False):
        """Count retries later than allowed, sent by routers in touch."""
        times = [at for at, cause in self.crashes if cause == key]
        if len(times) < 3:
            return 0
        return sum(
            arrival.key == key
            and arrival.at > times[2] + CONTACT_S
            and arrival.router.older_build is from_older_build
            and arrival.router.in_touch(arrival.at)
            for arrival in self.arrivals
        )


def parse_fields(head):
    """Return the header fields of a request, by lower-case name."""
    lines = head.split(b'\r\n')[1:]
    fields = (line.partition(b': ') for line in lines)
    return {name.lower(): value for name, _, value in fields}


async def _do_nothing():
    pass


def _admit_all(suspects):
    return True
