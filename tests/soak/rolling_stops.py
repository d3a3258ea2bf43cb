"""Routers that stop in turn under callers that keep their connections.

Each engine answers as a request's query says.  A request is lost if it was
sent whole and its connection ends without a whole answer, though its engine
ended well before the last sixth of the grace time, or never got it.
"""

import asyncio
import collections
import dataclasses
import itertools
import random
import signal
import socket
import time
import urllib.parse

from tests import edge_fleet
from tests import helpers_edge

GRACE_S = 8.0
# What an engine still works on in the last sixth may be cut.
LAST_SIXTH_S = GRACE_S * 5 / 6
# Requests sent later than this after the signal may not be cut at its end.
LATE_REQUEST_S = 3.0
# An idle connection may be closed while a request is on its way.
LOSS_SLACK_S = 0.2
DEADLINE_S = 20.0
RECEIVE_BUFFER_BYTES = 4096
BODY_PIECES = 8
MAX_PIPELINED = 3
LIMITS = {'TimeoutMs': 30_000, 'TargetLatencyMs': 1000, 'MaxAttempts': 2}
ROUTES = [
    helpers_edge.make_route(**LIMITS),
    helpers_edge.make_route(
        'once', '/once/', RouteType='non_idempotent', **LIMITS
    ),
    helpers_edge.make_route('talk', '/talk/', RouteType='streaming', **LIMITS),
    helpers_edge.make_route(
        'stream', '/stream/', RouteType='streaming', StreamResume=True,
        **LIMITS,
    ),
]  # fmt: skip
CALLER_LIMITS = {
    'MaxHeaderBytes': 4096,
    'MaxBodyBytes': 1 << 20,
    'HeaderTimeoutMs': 15_000,
    'IdleTimeoutMs': 15_000,
}


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a request at an engine.

    ``outcome`` is 'whole', 'broken' by the engine, or 'dropped' by a router.
    """

    engine: str
    started_at: float
    ended_at: float = 0.0
    outcome: str = ''


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request on a connection and how it ended.

    ``outcome`` is 'whole' or how the connection ended; ``crossed`` means
    that it was sent after a head that announced the end of the connection;
    ``before`` is the request before it on its connection.
    """

    id: str
    path: str
    host: str
    traits: str
    sent_at: float = 0.0
    status: int = 0
    head_at: float = 0.0
    ended_at: float = 0.0
    outcome: str = ''
    crossed: bool = False
    before: 'Exchange | None' = None
    # The caller asked for the end of the connection.
    is_last: bool = False
    # The answer announced it.
    announces_end: bool = False
    is_read_slowly: bool = False


class PacedEngine:
    """An engine whose answers follow the queries of requests.

    Query: ``n`` events, ``gap`` seconds apart, of ``size`` bytes; ``wait``
    seconds before the head; ``unframed``, ``early`` (answers before it has
    read the body); ``break`` breaks off at that event.
    """

    def __init__(self, name, runs):
        self.name = name
        self.runs = runs
        self.server = None
        # Until then it sends nothing, though it is up.
        self.silent_until = 0.0

    async def open(self):
        """Listen; return the port."""
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', 0, limit=1 << 21
        )
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while await self.serve_request(reader, writer):
                pass
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def serve_request(self, reader, writer):
        """Serve one request; return whether the connection stays."""
        head = await reader.readuntil(b'\r\n\r\n')
        first_line, headers = parse_head(head)
        target = first_line.split(' ')[1]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        attempt_id = headers.get('x-arbutusvale-attempt-id', '')
        length = int(headers.get('content-length', '0'))
        fields = {
            'X-Arbutusvale-Attempt-Id': attempt_id,
            'X-Arbutusvale-Engine-Load': '1,0,64',
        }
        if headers.get(
            'x-arbutusvale-expected-instance', self.name
        ) != self.name:  # fmt: skip
            await reader.readexactly(length)
            writer.write(format_answer(421, fields, b''))
            return True
        if not attempt_id or 'early' not in query:
            await reader.readexactly(length)
            length = 0
        if not attempt_id:
            writer.write(format_answer(200, fields, b'{"held": []}'))
            return True
        run = Run(self.name, time.monotonic())
        self.runs[attempt_id].append(run)
        fields['X-Arbutusvale-Engine-Signature'] = f'sig-{attempt_id}'
        first_event = int(headers.get('last-event-id', '0')) + 1
        answer = asyncio.ensure_future(
            self.write_answer(writer, url.path, query, fields, first_event)
        )
        gone = asyncio.ensure_future(wait_for_end(reader, answer))
        try:
            await asyncio.wait(
                (answer, gone), return_when=asyncio.FIRST_COMPLETED
            )
            if answer.done():
                run.outcome = answer.result()
            else:
                run.outcome = 'dropped'
        except OSError:
            run.outcome = 'dropped'
        finally:
            run.ended_at = time.monotonic()
            answer.cancel()
            gone.cancel()
        if run.outcome != 'whole' or 'unframed' in query:
            return False
        await reader.readexactly(length)
        return True

    async def write_answer(self, writer, path, query, fields, first_event):
        """Write an answer; return how it ended."""
        await asyncio.sleep(float(query.get('wait', 0)))
        await self.wait_while_silent()
        if not path.startswith(('/talk/', '/stream/')):
            size = int(query.get('size', 0))
            writer.write(format_answer(200, fields, b'x' * size))
            await writer.drain()
            return 'whole'
        unframed = 'unframed' in query
        fields['Content-Type'] = 'text/event-stream'
        fields |= (
            {'Connection': 'close'}
            if unframed
            else {'Transfer-Encoding': 'chunked'}
        )
        writer.write(format_head(200, fields))
        padding = 'x' * int(query.get('size', 0))
        breaks_at = int(query.get('break', 0)) if first_event == 1 else 0
        for number in range(first_event, int(query['n']) + 1):
            await asyncio.sleep(float(query.get('gap', 0)))
            await self.wait_while_silent()
            if number == breaks_at:
                writer.transport.abort()
                return 'broken'
            event = f'id: {number}\ndata: {padding}\n\n'.encode()
            writer.write(
                event if unframed else b'%x\r\n%b\r\n' % (len(event), event)
            )
            await writer.drain()
        if not unframed:
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        return 'whole'

    async def wait_while_silent(self):
        """Return when the engine sends again."""
        await asyncio.sleep(max(0.0, self.silent_until - time.monotonic()))


async def wait_for_end(reader, answer):
    """Return when the peer has closed its connection."""
    # Reading would take the next request.
    while not reader.at_eof() and not answer.done():  # noqa: ASYNC110
        await asyncio.sleep(0.02)


def ends_stream(path, body):
    """Return whether the body of a stream has its last event."""
    query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(path).query))
    *_, last_event, rest = [b'', *body.split(b'\n\n')]
    return not rest and last_event.startswith(f'id: {query["n"]}\n'.encode())


def parse_head(head):
    """Return the first line and the headers with lower-case names."""
    first_line, *lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    return first_line, {
        name.strip().lower(): value.strip() for name, _, value in pairs
    }


def format_head(status, fields):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {value}' for name, value in fields.items())
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def format_answer(status, fields, body):
    """Return an answer with a length."""
    return format_head(status, fields | {'Content-Length': len(body)}) + body


def ends_connection(exchange):
    """Return whether nothing can follow a request on its connection.

    Its answer was cut, which counts by itself, or had no length.
    """
    return exchange is not None and (
        exchange.outcome != 'whole'
        or exchange.is_last
        or 'http1.0' in exchange.traits
    )


def crosses_end(exchange, stop):
    """Return whether the end was announced while a request was on its way.

    A slow reader learns that late; no end is announced before a stop.
    """
    before = exchange.before
    if stop is None or before is None or not before.announces_end:
        return False
    known_at = before.head_at - LOSS_SLACK_S
    return exchange.sent_at >= (
        stop[1] if exchange.is_read_slowly else known_at
    )


class KeptConnection:
    """A caller's connection, used until it ends.

    ``slow_s`` is the pause before each read of a few kB.
    """

    def __init__(self, play, host, rng):
        self.play = play
        self.host = host
        self.rng = rng
        self.slow_s = rng.choice((0, 0, 0, 0.005, 0.02, 0.1))
        self.pending = collections.deque()
        self.announced_end = False
        self.ended = asyncio.Event()
        self.idle = asyncio.Event()
        self.reader = self.writer = None
        self.last_exchange = None

    async def run(self):
        """Send requests until the connection ends."""
        raw_socket = socket.socket()
        raw_socket.setblocking(False)
        if self.slow_s:
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(
                raw_socket, (self.host, self.play.fleet.caller_port)
            )
        except OSError:
            raw_socket.close()
            await asyncio.sleep(0.2)
            return
        self.reader, self.writer = await asyncio.open_connection(
            sock=raw_socket, limit=RECEIVE_BUFFER_BYTES
        )
        reading = asyncio.ensure_future(self.receive())
        try:
            while not self.ended.is_set() and not self.play.stopping:
                await self.send_burst()
        finally:
            if self.play.stopping:
                reading.cancel()
            else:
                await reading
            self.writer.close()

    async def send_burst(self):
        """Send a request and some more behind it; wait for the answers."""
        self.idle.clear()
        try:
            for _ in range(self.rng.choice((1, 1, 1, 2, MAX_PIPELINED))):
                if self.announced_end and self.rng.random() < 0.8:
                    break
                await self.send()
                await asyncio.sleep(self.rng.choice((0, 0, 0.05, 0.3)))
        except OSError:
            pass
        if self.pending:
            waits = [
                asyncio.ensure_future(event.wait())
                for event in (self.idle, self.ended)
            ]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for wait in waits:
                wait.cancel()
        if self.announced_end:
            await self.ended.wait()
        await asyncio.sleep(self.rng.choice((0, 0, 0.02, 0.2)))

    def draw_request(self):
        """Draw a path with its query, and a body."""
        rng = self.rng
        kind = rng.choice(('chat', 'once', 'talk', 'talk', 'stream'))
        query = {'size': rng.choice((0, 100, 2000, 20_000))}
        if rng.random() < 0.2:
            query['wait'] = rng.choice((0.05, 0.5, 1.5))
        if kind in ('talk', 'stream'):
            length_s = rng.choice((0, 0.1, 0.5, 1, 2, 4))
            query['n'] = rng.choice((1, 3, 10, 40))
            query['gap'] = round(length_s / query['n'], 4)
            if rng.random() < 0.2:
                query['unframed'] = 1
            if rng.random() < 0.1:
                query['break'] = rng.randint(1, query['n'])
        body = b'b' * rng.choice((0, 10, 1000, 60_000, 300_000))
        if rng.random() < 0.2:
            query['early'] = 1
        return f'/{kind}/x?{urllib.parse.urlencode(query)}', body

    async def send(self):
        """Send one request, its body over some seconds or at once."""
        path, body = self.draw_request()
        number = next(self.play.numbers)
        exchange = Exchange(f'a{number}', path, self.host, '')
        exchange.crossed = self.announced_end
        version = '1.1'
        extra = ''
        ending = self.rng.random()
        if ending < 0.03:
            version = '1.0'
        elif ending < 0.08:
            extra = 'Connection: close\r\n'
        if ending < 0.08:
            self.announced_end = exchange.is_last = True
        head = (
            f'POST {path} HTTP/{version}\r\nHost: fleet.example\r\n'
            f'X-Arbutusvale-Attempt-Id: {exchange.id}\r\n'
            f'X-Arbutusvale-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n'
            f'Authorization: Bearer key-1\r\n{extra}'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        upload_s = self.rng.choice((0, 0, 0, 0.3, 1, 3)) if body else 0
        exchange.traits = (
            f'http{version} {extra.strip()} body={len(body)} '
            f'upload={upload_s} read_pause={self.slow_s}'
        )
        exchange.is_read_slowly = bool(self.slow_s)
        exchange.before = self.last_exchange
        self.last_exchange = exchange
        self.play.exchanges.append(exchange)
        self.pending.append(exchange)
        if not upload_s:
            self.writer.write(head + body)
        else:
            self.writer.write(head)
            step = max(1, len(body) // BODY_PIECES)
            for start in range(0, len(body), step):
                await asyncio.sleep(upload_s / BODY_PIECES)
                if self.ended.is_set():
                    return
                self.writer.write(body[start : start + step])
        await self.writer.drain()
        exchange.sent_at = time.monotonic()
        exchange.crossed = self.announced_end and ending >= 0.08

    async def receive(self):
        """Receive answers until the connection ends."""
        outcome = 'closed'
        try:
            while True:
                await self.receive_answer()
        except asyncio.IncompleteReadError:
            pass
        except OSError as error:
            outcome = type(error).__name__
        for exchange in self.pending:
            exchange.outcome = outcome
            exchange.ended_at = time.monotonic()
        self.ended.set()

    async def receive_answer(self):
        """Receive one answer."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        first_line, headers = parse_head(head)
        if not self.pending:
            raise ConnectionError('an answer without a request')
        exchange = self.pending[0]
        exchange.status = int(first_line.split(' ')[1])
        exchange.head_at = time.monotonic()
        if headers.get('connection', '').lower() == 'close':
            self.announced_end = exchange.announces_end = True
        attempt_id = headers.get('x-arbutusvale-attempt-id', exchange.id)
        if attempt_id != exchange.id:
            self.play.violations.append(
                f'{exchange.id}: answer of {attempt_id}'
            )
        if 'content-length' in headers:
            await self.read(int(headers['content-length']))
        elif 'transfer-encoding' in headers:
            while True:
                line = await self.reader.readuntil(b'\r\n')
                size = int(line, 16)
                await self.read(size + 2)
                if not size:
                    break
        else:
            body = await self.read_to_end()
            if not ends_stream(exchange.path, body):
                raise asyncio.IncompleteReadError(body, None)
        exchange.outcome = 'whole'
        exchange.ended_at = time.monotonic()
        self.pending.popleft()
        if not self.pending:
            self.idle.set()

    async def read_to_end(self):
        """Read until the connection ends, at this caller's pace."""
        body = b''
        while data := await self.reader.read(RECEIVE_BUFFER_BYTES):
            body += data
            await asyncio.sleep(self.slow_s)
        return body

    async def read(self, size):
        """Read so many bytes, at this caller's pace."""
        while size > 0:
            data = await self.reader.read(min(size, RECEIVE_BUFFER_BYTES))
            if not data:
                raise asyncio.IncompleteReadError(b'', size)
            size -= len(data)
            if self.slow_s:
                await asyncio.sleep(self.slow_s)


class RollingStops:
    """A play of one seed; :meth:`close` stops all processes."""

    def __init__(self, folder, seed, seconds=24.0, routers=3, callers=60):
        self.seed = seed
        self.seconds = seconds
        self.rng = random.Random(f'stops {seed}')
        self.caller_count = callers
        self.fleet = edge_fleet.EdgeFleet(folder)
        self.fleet.max_descriptors = self.rng.choice((4100, 4100, 400))
        self.exchanges = []
        self.violations = []
        self.runs = collections.defaultdict(list)
        self.numbers = itertools.count()
        # Each item is a router's host, its signal's time and its end's.
        self.stops = []
        # Each item is a router's host and the time of a stall.
        self.stalls = []
        self.signals = []
        self.stopping = False
        self.publish()
        self.engines = []
        for name in ('e1', 'e2', 'e3'):
            engine = PacedEngine(name, self.runs)
            self.engines.append(engine)
            port = self.fleet.event_loop.run(engine.open())
            self.fleet.register_engine(name, port, Slots=64)
        for number in range(routers):
            self.fleet.add_router(number + 1, wait=False)
        for router in self.fleet.routers:
            router.wait_until_ready()

    def publish(self):
        """Publish the next configuration."""
        self.fleet.publish_config(
            routes=ROUTES,
            Services=[
                {
                    'Name': 'chat',
                    'HealthCheckPath': '/h',
                    'MaxConnections': 200,
                }
            ],
            Limits=CALLER_LIMITS,
        )

    def run_and_check(self):
        """Stop routers in turn; return the violated guarantees."""
        loop = self.fleet.event_loop.loop
        futures = [
            asyncio.run_coroutine_threadsafe(self.call(number), loop)
            for number in range(self.caller_count)
        ]
        started_at = time.monotonic()
        next_config_at = started_at
        actions = self.draw_actions(started_at)
        silences = self.draw_silences(started_at)
        while time.monotonic() < started_at + self.seconds or any(
            router.process.poll() is not None for router in self.fleet.routers
        ):
            now = time.monotonic()
            while actions and actions[0][0] <= now:
                _, router, number = actions.pop(0)
                self.send_signal(router, number)
            while silences and silences[0][0] <= now:
                _, number, silent_s = silences.pop(0)
                self.engines[number].silent_until = now + silent_s
            if now >= next_config_at:
                self.publish()
                next_config_at = now + 1.0
            self.start_ended()
            time.sleep(0.02)
        for router in self.fleet.routers:
            if router.process.poll() is None:
                router.send_signal(signal.SIGCONT)
        self.stopping = True
        end = time.monotonic() + 1.0
        while time.monotonic() < end:
            time.sleep(0.05)
        for future in futures:
            future.cancel()
        return [*self.violations, *self.find_lost(), *self.check_logs()]

    def draw_actions(self, started_at):
        """Draw signals, as a list ordered by time."""
        rng = self.rng
        actions = []
        at = started_at + 1.0
        routers = self.fleet.routers
        first = rng.randrange(len(routers))
        while at < started_at + self.seconds - GRACE_S:
            count = rng.choice((1, 1, 2, len(routers)))
            for step in range(count):
                router = routers[(first + step) % len(routers)]
                stop_at = at + step * rng.choice((0, 0.05, 0.4))
                actions.append((stop_at, router, signal.SIGTERM))
                if rng.random() < 0.4:
                    actions.append(
                        (
                            stop_at + rng.uniform(0, 7),
                            router,
                            rng.choice((signal.SIGTERM, signal.SIGINT)),
                        )
                    )
                if rng.random() < 0.5:
                    actions.append(
                        (stop_at + rng.uniform(-0.5, 7), router, signal.SIGHUP)
                    )
                if rng.random() < 0.5:
                    stall_at = stop_at + rng.choice(
                        (rng.uniform(0, 7), rng.uniform(2.3, 3.1))
                    )
                    stall_s = rng.uniform(0.1, 2.0)
                    actions.append((stall_at, router, signal.SIGSTOP))
                    actions.append(
                        (stall_at + stall_s, router, signal.SIGCONT)
                    )
            first += count
            at += GRACE_S + rng.uniform(0.5, 2.5)
        return sorted(actions, key=lambda action: action[0])

    def draw_silences(self, started_at):
        """Draw when engines are silent: time, engine and seconds."""
        rng = random.Random(f'silences {self.seed}')
        return sorted(
            (
                started_at + rng.uniform(1, self.seconds),
                rng.randrange(len(self.engines)),
                rng.choice((0.5, 1.5, 2.5)),
            )
            for _ in range(rng.randint(0, 6))
        )

    def send_signal(self, router, number):
        """Send a signal to a running router and record it."""
        if router.process.poll() is not None or not router.has_started():
            return
        now = time.monotonic()
        is_stopping = any(
            host == router.host and ended_at is None
            for host, _, ended_at in self.stops
        )
        self.signals.append((now, router.host, number.name))
        if number == signal.SIGSTOP:
            self.stalls.append((router.host, now))
        if number in (signal.SIGTERM, signal.SIGINT) and not is_stopping:
            self.stops.append([router.host, now, None])
        router.send_signal(number)

    def start_ended(self):
        """Start the routers anew that have ended."""
        for router in self.fleet.routers:
            exit_status = router.process.poll()
            if exit_status is None:
                continue
            for stop in self.stops:
                if stop[0] == router.host and stop[2] is None:
                    stop[2] = time.monotonic()
            if exit_status:
                self.violations.append(
                    f'{router.host}: exited with {exit_status}'
                )
            router.start()

    async def call(self, number):
        """Connect again and again until the play ends."""
        rng = random.Random(f'caller {self.seed} {number}')
        while not self.stopping:
            host = rng.choice(self.fleet.routers).host
            await KeptConnection(self, host, rng).run()

    def find_lost(self):
        """List the requests that ended without a whole answer."""
        for exchange in list(self.exchanges):
            if exchange.outcome in ('', 'whole') or not exchange.sent_at:
                continue
            stop = self.find_stop(exchange)
            if stop is None:
                what = 'without a stop'
            else:
                what = f'{exchange.ended_at - stop[1]:.2f} s into a stop'
            reason = self.find_reason(exchange, stop)
            if reason:
                yield (
                    f'{exchange.id}: {reason}, {what}: '
                    f'{self.describe(exchange, stop)}'
                )

    def find_stop(self, exchange):
        """Return the stop during which a request ended, if any."""
        for stop in self.stops:
            if stop[0] == exchange.host and (
                stop[1] <= exchange.ended_at <= stop[1] + GRACE_S + 1
            ):
                return stop
        return None

    def find_reason(self, exchange, stop):
        """Return why a request counts as lost; empty if it doesn't."""
        runs = self.runs.get(exchange.id, [])
        if any(run.outcome == 'broken' for run in runs):
            return ''
        if not runs and (
            exchange.crossed
            or ends_connection(exchange.before)
            or crosses_end(exchange, stop)
        ):
            return ''
        if not runs:
            if exchange.ended_at - exchange.sent_at <= LOSS_SLACK_S:
                return ''
            return 'dropped without a run'
        run = runs[-1]
        run_end = run.ended_at or exchange.ended_at
        if (
            stop is not None
            and run_end >= stop[1] + LAST_SIXTH_S
            and exchange.sent_at <= stop[1] + LATE_REQUEST_S
        ):
            return ''
        return 'cut after its engine had ended' if (
            run.outcome == 'whole'
        ) else 'cut while its engine was at work'  # fmt: skip

    def describe(self, exchange, stop):
        """Describe a request with times from its stop on."""
        base = stop[1] if stop else exchange.sent_at
        runs = ', '.join(
            f'{run.engine} {run.started_at - base:.2f}..'
            f'{run.ended_at - base:.2f} {run.outcome}'
            for run in self.runs.get(exchange.id, [])
        )
        signals = ', '.join(
            f'{name} {at - base:.2f}'
            for at, host, name in self.signals
            if host == exchange.host and -1 < at - base < GRACE_S + 1
        )
        log = sum(
            f'id={exchange.id} ' in line and 'event=end' in line
            for router in self.fleet.routers
            if router.host == exchange.host
            for line in router.read_log().splitlines()
        )
        return (
            f'{exchange.path} [{exchange.traits}] at {exchange.host} '
            f'sent {exchange.sent_at - base:.2f} status {exchange.status} '
            f'head {exchange.head_at - base:.2f} {exchange.outcome} '
            f'{exchange.ended_at - base:.2f}; runs {runs}; '
            f'signals {signals}; end lines {log}'
        )

    def check_logs(self):
        """Check that no router failed inside."""
        for router in self.fleet.routers:
            log = router.read_log()
            for word in ('internal-error', 'Traceback'):
                if word in log:
                    yield f'{router.host}: log contains {word}'

    def close(self):
        """Stop all processes and stand-ins."""
        for router in self.fleet.routers:
            router.kill()
        self.fleet.event_loop.run(self.fleet.store.server.close())
        self.fleet.event_loop.stop()
