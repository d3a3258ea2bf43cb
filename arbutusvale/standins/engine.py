"""Stand in for a model engine with batching and a prefix cache."""

import asyncio
import collections
import dataclasses

import numpy as np

from arbutusvale.protocol import caller_api
from arbutusvale.standins import engine_chat
from arbutusvale.standins import engine_control
from arbutusvale.standins import engine_state
from arbutusvale.standins import web_server

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
class EngineLatencies:
    """Hold how long an engine takes, in seconds."""

    first_token_s: float = 0.002
    prompt_token_s: float = 0.0001
    token_s: float = 0.001
    load_model_s: float = 0.0


class EngineStandin(web_server.Standin):
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
        latencies: EngineLatencies | None = None,
        seed: int = 1,
        **faults,
    ):
        super().__init__(listen, EngineFaults(**faults))
        self.name = name
        self.slot_count = slots
        self.cache_entries = cache_entries
        self.checks_fencing = checks_fencing
        self.latencies = latencies or EngineLatencies()
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
        self.slots = engine_state.Slots(self.slot_count)
        self.cache = engine_state.PrefixCache(self.cache_entries)
        self.events = engine_state.Events(self.generator)
        self.loads = engine_state.LoadReports()
        self.active_runs: set[engine_state.Run] = set()
        self.kept: collections.OrderedDict[str, engine_state.Run] = (
            collections.OrderedDict()
        )

    def routes(self) -> list:
        """Return the application's URL rules."""
        own = {'standin': self}
        return [
            (caller_api.CHAT_PATH, engine_chat.ChatHandler, own),
            (r'/cancel/(.+)', engine_control.CancelHandler, own),
            (r'/resume/(.+)', engine_chat.ResumeHandler, own),
            ('/events', engine_control.EventsHandler, own),
            ('/load', engine_control.LoadHandler, own),
            ('/orders', engine_control.OrdersHandler, own),
            (r'/kv/([^/]+)', engine_control.CacheHandler, own),
            ('/health', engine_control.HealthHandler, own),
            ('/stats', engine_control.StatsHandler, own),
            ('/history', engine_control.HistoryHandler, own),
            *super().routes(),
        ]

    def begin(self, run: engine_state.Run) -> None:
        """Count a request that came in."""
        self.active_runs.add(run)
        self.kept[run.request_id] = run
        while len(self.kept) > KEPT_RUNS:
            self.kept.popitem(last=False)
        self.runs[run.request_id] += 1
        self.peak = max(self.peak, len(self.active_runs))
        self.report_load()

    def end(self, run: engine_state.Run) -> None:
        """Count a request that ended in any way."""
        self.active_runs.discard(run)
        self.report_load()

    async def load_model(self) -> None:
        """Serve no chat while a model is loaded; count those that come."""
        self.loading += 1
        self.chats_while_loading += len(self.active_runs)
        await asyncio.sleep(
            self.latencies.load_model_s + self.faults.load_model_s
        )
        self.loading -= 1

    def report_load(self) -> None:
        """Note the load for later reports."""
        running = min(len(self.active_runs), self.slot_count)
        self.loads.add(running, len(self.active_runs) - running)

    def cache_prefix(self, chat: str, tokens: int) -> None:
        """Cache a prefix and publish what changed."""
        share = self.faults.event_drop_share
        if chat not in self.cache.tokens_by_chat:
            self.events.add(engine_state.STORED, chat, share)
        for evicted in self.cache.store(chat, tokens):
            self.events.add(engine_state.EVICTED, evicted, share)

    async def crash(self) -> None:
        """End all connections and start again after a while."""
        self.crashes += 1
        await super().stop()
        for run in self.active_runs:
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
