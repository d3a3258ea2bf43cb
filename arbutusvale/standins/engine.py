"""Stand in for a model engine with batching and a prefix cache."""

import asyncio
import collections
import dataclasses
import hashlib
import json
import time

import numpy as np
from tornado import web

from arbutusvale.protocol import callerapi
from arbutusvale.protocol import engine
from arbutusvale.standins import enginestate
from arbutusvale.standins import webserver

DEFAULT_ANSWER_TOKENS = 12
KEPT_RUNS = 256


@dataclasses.dataclass
class EngineFaults:
    """Hold what goes wrong at the engine; times in seconds.

    A request whose body holds ``crash_marker`` ends all connections and
    keeps the engine down for ``restart_s``; shares are between 0 and 1.
    """

    crash_marker: str = ''
    restart_s: float = 1.0
    freeze: bool = False
    down: bool = False
    slow_factor: float = 1.0
    error_share: float = 0.0
    cross_answers: int = 0
    event_lag_s: float = 0.0
    event_drop_share: float = 0.0
    load_lag_s: float = 0.0
    load_model_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """Hold how long an engine takes, in seconds."""

    first_token_s: float = 0.002
    prompt_token_s: float = 0.0001
    token_s: float = 0.001
    load_model_s: float = 0.0


class EngineStandin(webserver.Standin):
    """Serve chat completions, cache events, load reports and orders.

    ``slots`` requests run at once; ``cache_entries`` chats are cached.
    """

    def __init__(
        self,
        listen: str,
        name: str = 'engine',
        slots: int = 8,
        cache_entries: int = 1000,
        checks_fencing: bool = True,
        speed: EngineSpeed | None = None,
        seed: int = 1,
        **faults,
    ):
        super().__init__(listen, EngineFaults(**faults))
        self.name = name
        self.slot_count = slots
        self.cache_entries = cache_entries
        self.checks_fencing = checks_fencing
        self.speed = speed or EngineSpeed()
        self.generator = np.random.default_rng(seed)
        self.runs: collections.Counter[str] = collections.Counter()
        self.peak = 0
        self.cached_hits = 0
        self.cancels = 0
        self.crashes = 0
        self.loading = 0
        self.chats_while_loading = 0
        self.fence = -1
        self.orders: list[dict] = []
        self.model = 'model'
        self.version = '1'
        self.role = ''
        self.restarting: asyncio.Task | None = None
        self.reset()

    def reset(self) -> None:
        """Forget all that an engine process keeps in memory."""
        self.slots = enginestate.Slots(self.slot_count)
        self.cache = enginestate.PrefixCache(self.cache_entries)
        self.events = enginestate.Events(self.generator)
        self.loads = enginestate.LoadReports()
        self.active: set[enginestate.Run] = set()
        self.kept: collections.OrderedDict[str, enginestate.Run] = (
            collections.OrderedDict()
        )

    def routes(self) -> list:
        """Return the application's URL rules."""
        own = {'standin': self}
        return [
            (callerapi.CHAT_PATH, ChatHandler, own),
            (r'/cancel/(.+)', CancelHandler, own),
            (r'/resume/(.+)', ResumeHandler, own),
            ('/events', EventsHandler, own),
            ('/load', LoadHandler, own),
            ('/orders', OrdersHandler, own),
            (r'/kv/([^/]+)', CacheHandler, own),
            ('/health', HealthHandler, own),
            ('/stats', StatsHandler, own),
            ('/history', HistoryHandler, own),
            *super().routes(),
        ]

    def begin(self, run: enginestate.Run) -> None:
        """Count a request that came in."""
        self.active.add(run)
        self.kept[run.request_id] = run
        while len(self.kept) > KEPT_RUNS:
            self.kept.popitem(last=False)
        self.runs[run.request_id] += 1
        self.peak = max(self.peak, len(self.active))
        self.report_load()

    def end(self, run: enginestate.Run) -> None:
        """Count a request that ended in any way."""
        self.active.discard(run)
        self.report_load()

    async def load_model(self) -> None:
        """Serve no chat while a model is loaded; count those that come."""
        self.loading += 1
        self.chats_while_loading += len(self.active)
        await asyncio.sleep(self.speed.load_model_s + self.faults.load_model_s)
        self.loading -= 1

    def report_load(self) -> None:
        """Note the load for later reports."""
        running = min(len(self.active), self.slot_count)
        self.loads.add(running, len(self.active) - running)

    def store(self, chat: str, tokens: int) -> None:
        """Cache a prefix and publish what changed."""
        share = self.faults.event_drop_share
        if chat not in self.cache.tokens:
            self.events.add(enginestate.STORED, chat, share)
        for evicted in self.cache.store(chat, tokens):
            self.events.add(enginestate.EVICTED, evicted, share)

    async def crash(self) -> None:
        """End all connections and start again after a while."""
        self.crashes += 1
        await super().stop()
        for run in self.active:
            run.cancelled = True
        self.reset()
        self.restarting = asyncio.create_task(self.restart())

    async def restart(self) -> None:
        """Serve again after ``restart_s``."""
        await asyncio.sleep(self.faults.restart_s)
        await self.start()

    async def stop(self) -> None:
        """Stop for good."""
        if self.restarting is not None:
            self.restarting.cancel()
        await super().stop()


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Hold what the engine takes from a chat request."""

    tokens: int
    last: str
    digest: str
    answer_tokens: int
    stream: bool
    usage_wanted: bool


def read_prompt(body: bytes) -> Prompt:
    """Parse a chat request; one word is one token."""
    document = json.loads(body)
    texts = [str(message['content']) for message in document['messages']]
    options = document.get('stream_options') or {}
    limit = document.get('max_tokens') or DEFAULT_ANSWER_TOKENS
    return Prompt(
        tokens=sum(len(text.split()) for text in texts),
        last=texts[-1],
        digest=hashlib.sha256('\n'.join(texts).encode()).hexdigest()[:12],
        answer_tokens=max(2, limit),
        stream=bool(document.get('stream')),
        usage_wanted=bool(options.get('include_usage')),
    )


def answer_pieces(prompt: Prompt) -> list[str]:
    """Return the tokens of the answer, which echoes the last message."""
    fill = [f' {number}' for number in range(prompt.answer_tokens - 2)]
    return [f'echo[{prompt.last}]', *fill, f' end[{prompt.digest}]']


class ChatHandler(webserver.StandinHandler):
    """Run a chat completion."""

    async def post(self) -> None:
        """Wait for a slot, then produce the answer token by token."""
        standin = self.standin
        marker = standin.faults.crash_marker.encode()
        if marker and marker in self.request.body:
            await standin.crash()
            return
        if standin.loading:
            standin.chats_while_loading += 1
            self.answer({'error': 'a model is being loaded'}, 503)
            return
        headers = self.request.headers
        self.request_id = headers.get(callerapi.REQUEST_ID, '')
        run = enginestate.Run(self.request_id)
        slots = standin.slots
        standin.begin(run)
        try:
            await slots.acquire(int(headers.get(engine.PRIORITY, '0')))
            try:
                await self.work(run)
            finally:
                slots.release()
        finally:
            run.end(whole=run.whole)
            standin.end(run)

    def left(self, run: enginestate.Run) -> bool:
        """Tell whether nobody waits for the answer any more."""
        return run.cancelled or (self.gone and not run.readers)

    def pass_on(self, run: enginestate.Run, data: bytes) -> None:
        """Write a part of the answer and keep it for those who resume."""
        run.emit(data)
        if not self.gone:
            self.write(data)

    async def work(self, run: enginestate.Run) -> None:
        """Produce the answer, unless a fault or a cancel ends it."""
        faults = self.standin.faults
        self.echo_id()
        if faults.down:
            self.drop()
            return
        if self.standin.generator.random() < faults.error_share:
            self.answer({'error': {'message': 'engine error'}}, 500)
            return
        try:
            prompt = read_prompt(self.request.body)
        except (ValueError, KeyError, TypeError, IndexError):
            self.answer({'error': {'message': 'malformed request'}}, 400)
            return
        cached = self.use_cache(prompt)
        speed = self.standin.speed
        prefill = (prompt.tokens - cached) * speed.prompt_token_s
        await self.pause(speed.first_token_s + prefill)
        pieces = answer_pieces(prompt)
        for number, piece in enumerate(pieces):
            if self.left(run):
                self.drop()
                return
            if prompt.stream:
                self.send_piece(run, number, piece, len(pieces))
            await self.pause(speed.token_s)
        self.finish_answer(run, prompt, cached, pieces)

    def use_cache(self, prompt: Prompt) -> int:
        """Return the tokens found in the cache and store the prompt."""
        chat = self.request.headers.get(engine.CACHE_KEY, '')
        if not chat:
            return 0
        cached = min(self.standin.cache.find(chat), prompt.tokens)
        self.standin.cached_hits += cached > 0
        self.standin.store(chat, prompt.tokens)
        return cached

    async def pause(self, seconds: float) -> None:
        """Take time, and more of it as the faults say."""
        await asyncio.sleep(seconds * self.standin.faults.slow_factor)
        await self.thawed()

    def echo_id(self) -> None:
        """Send the request's id back, unless answers are crossed."""
        echoed = self.request_id
        if self.standin.faults.cross_answers > 0:
            self.standin.faults.cross_answers -= 1
            echoed = f'not-{echoed}'
        self.set_header(callerapi.REQUEST_ID, echoed)
        self.set_header('Content-Type', 'application/json')

    def send_piece(
        self, run: enginestate.Run, number: int, piece: str, count: int
    ) -> None:
        """Send one token as a server-sent event."""
        delta = {'content': piece}
        if number == 0:
            run.content_type = 'text/event-stream'
            self.set_header('Content-Type', run.content_type)
            delta['role'] = 'assistant'
        reason = 'stop' if number == count - 1 else None
        choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
        self.send_event(run, {'choices': [choice]})
        if not self.gone:
            self.flush()

    def send_event(self, run: enginestate.Run, fields: dict) -> None:
        """Write one server-sent event."""
        document = self.envelope('chat.completion.chunk')
        text = f'data: {json.dumps(document | fields)}\n\n'
        self.pass_on(run, text.encode())

    def envelope(self, kind: str) -> dict:
        """Return the fields that all answer documents have."""
        return {
            'id': f'chatcmpl-{self.request_id}',
            'object': kind,
            'created': 0,
            'model': self.standin.model,
            'system_fingerprint': self.standin.name,
        }

    def finish_answer(
        self,
        run: enginestate.Run,
        prompt: Prompt,
        cached: int,
        pieces: list[str],
    ) -> None:
        """Send what follows the last token."""
        if self.left(run):
            self.drop()
            return
        usage = {
            'prompt_tokens': prompt.tokens,
            'completion_tokens': len(pieces),
            'total_tokens': prompt.tokens + len(pieces),
            'prompt_tokens_details': {'cached_tokens': cached},
        }
        if prompt.stream:
            if prompt.usage_wanted:
                self.send_event(run, {'choices': [], 'usage': usage})
            self.pass_on(run, b'data: [DONE]\n\n')
            self.finish_whole(run)
            return
        message = {'role': 'assistant', 'content': ''.join(pieces)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        document = self.envelope('chat.completion')
        document |= {'choices': [choice], 'usage': usage}
        run.content_type = 'application/json'
        self.pass_on(run, json.dumps(document).encode())
        self.finish_whole(run)

    def finish_whole(self, run: enginestate.Run) -> None:
        """Close a whole answer."""
        run.whole = True
        if not self.gone:
            self.finish()


class ResumeHandler(webserver.StandinHandler):
    """Send the answer of a run again over another connection."""

    async def get(self, run_id: str) -> None:
        """Send what comes after byte ``from``, until the answer ends."""
        run = self.standin.kept.get(run_id)
        if run is None:
            self.answer({'error': 'no such run'}, 410)
            return
        self.set_header(callerapi.REQUEST_ID, run_id)
        run.readers += 1
        try:
            await self.follow(run, int(self.get_argument('from')))
        finally:
            run.readers -= 1

    async def follow(self, run: enginestate.Run, sent: int) -> None:
        """Write the answer from byte ``sent`` on as it grows."""
        while not self.gone:
            changed = run.changed
            rest = bytes(run.output[sent:])
            sent += len(rest)
            if rest:
                self.set_header('Content-Type', run.content_type)
                self.write(rest)
                self.flush()
            elif run.ended:
                break
            else:
                await changed.wait()
        if run.whole and not self.gone:
            self.finish()
        else:
            self.drop()


class CancelHandler(webserver.StandinHandler):
    """Stop a request."""

    def post(self, request_id: str) -> None:
        """Mark the request's runs as cancelled."""
        self.standin.cancels += 1
        for run in self.standin.active:
            if run.request_id == request_id:
                run.cancelled = True
        self.answer({})


class EventsHandler(webserver.StandinHandler):
    """Publish cache events."""

    async def get(self) -> None:
        """Return the events from a number on, after a long poll."""
        start = int(self.get_query_argument('from'))
        wait = float(self.get_query_argument('wait', '0'))
        await self.thawed()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        events = self.visible(start)
        while not events and loop.time() < deadline and not self.gone:
            await asyncio.sleep(webserver.FROZEN_POLL_S)
            events = self.visible(start)
        shown = [
            {'number': event.number, 'kind': event.kind, 'chat': event.chat}
            for event in events
        ]
        known = min(start, self.standin.events.next_number)
        next_number = events[-1].number + 1 if events else known
        self.answer({'events': shown, 'next': next_number})

    def visible(self, start: int) -> list[enginestate.Event]:
        """Return the events that the lag lets through."""
        return self.standin.events.visible(
            start, self.standin.faults.event_lag_s
        )


class LoadHandler(webserver.StandinHandler):
    """Report the load, late."""

    async def get(self) -> None:
        """Return the load of some time ago."""
        await self.thawed()
        standin = self.standin
        running, waiting = standin.loads.late(standin.faults.load_lag_s)
        self.answer(
            {
                'running': running,
                'waiting': waiting,
                'model': standin.model,
                'version': standin.version,
            }
        )


class OrdersHandler(webserver.StandinHandler):
    """Take orders."""

    async def post(self) -> None:
        """Carry out an order, unless its fencing number is old."""
        standin = self.standin
        order = json.loads(self.request.body)
        if standin.checks_fencing and order['fence'] < standin.fence:
            self.answer({'fence': standin.fence}, 409)
            return
        standin.fence = max(standin.fence, order['fence'])
        standin.orders.append(order)
        order['began'] = time.time()
        match order['kind']:
            case 'load_model':
                await standin.load_model()
                standin.model = order['model']
                standin.version = order['version']
            case 'set_role':
                standin.role = order['role']
            case kind:
                raise web.HTTPError(400, f'unknown order {kind}')
        order['ended'] = time.time()
        self.answer({})


class CacheHandler(webserver.StandinHandler):
    """Export and import a chat's KV cache."""

    def get(self, chat: str) -> None:
        """Return the cached tokens of a chat."""
        tokens = self.standin.cache.tokens.get(chat, 0)
        self.answer({'tokens': tokens}, 200 if tokens else 404)

    def put(self, chat: str) -> None:
        """Take over a chat's cache if there is room."""
        cache = self.standin.cache
        full = len(cache.tokens) >= cache.entries
        if full and chat not in cache.tokens:
            self.answer({'error': 'no room'}, 507)
            return
        self.standin.store(chat, json.loads(self.request.body)['tokens'])
        self.answer({})


class HealthHandler(webserver.StandinHandler):
    """Answer health checks."""

    async def get(self) -> None:
        """Answer 200 unless the engine is down."""
        await self.thawed()
        self.answer({}, 503 if self.standin.faults.down else 200)


class StatsHandler(webserver.StandinHandler):
    """Show counts to tests."""

    def get(self) -> None:
        """Return the exact counts."""
        standin = self.standin
        self.answer(
            {
                'outstanding': len(standin.active),
                'running': standin.slots.running,
                'peak': standin.peak,
                'runs': dict(standin.runs),
                'runs_total': standin.runs.total(),
                'cached_hits': standin.cached_hits,
                'cancels': standin.cancels,
                'crashes': standin.crashes,
                'chats_while_loading': standin.chats_while_loading,
                'fence': standin.fence,
                'orders': standin.orders,
                'chats': list(standin.cache.tokens),
            }
        )


class HistoryHandler(webserver.StandinHandler):
    """Show how the load changed, for checks of the load bound."""

    def get(self) -> None:
        """Return the kept changes, oldest first."""
        self.answer({'loads': self.standin.loads.history()})
