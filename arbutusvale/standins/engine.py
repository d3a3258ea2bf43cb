"""Simulated model engine with batching and a prompt prefix cache."""

import asyncio
import collections
import dataclasses

import numpy as np

from arbutusvale.protocol import caller_api
from arbutusvale.standins import engine_chat
from arbutusvale.standins import engine_control
from arbutusvale.standins import engine_state
from arbutusvale.standins import web_server

MAX_RESUMABLE_RUNS = 256


@dataclasses.dataclass
class EngineFaults:
    """Injected faults of an engine; times in seconds, shares from 0 to 1.

    A request whose body contains ``crash_marker`` closes all connections
    and keeps the engine down for ``restart_s``.  The next ``cross_answers``
    answers carry a wrong request id.  ``unframed`` makes streamed answers
    end with their connection: 'whole', or with a part of the last event
    'cut' (closed) or 'reset'.
    """

    crash_marker: str = ''
    restart_s: float = 1.0
    freeze: bool = False
    down: bool = False
    slow_factor: float = 1.0
    error_share: float = 0.0
    cross_answers: int = 0
    unframed: str = ''
    event_lag_s: float = 0.0
    event_drop_share: float = 0.0
    load_lag_s: float = 0.0
    load_model_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class EngineLatencies:
    """How long an engine takes to produce output, in seconds.

    ``prompt_token_s`` applies to each prompt token that isn't cached.
    """

    first_token_s: float = 0.002
    prompt_token_s: float = 0.0001
    token_s: float = 0.001
    load_model_s: float = 0.0


class EngineStandin(web_server.Standin):
    """Server of chat completions, cache events, load reports and commands.

    Up to ``slots`` requests run at once, and up to ``cache_entries`` chats
    are cached.  ``checks_fencing`` rejects commands whose fencing number is
    lower than one seen before.
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
        self.rng = np.random.default_rng(seed)
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.peak_outstanding = 0
        self.cache_hits = 0
        self.cancel_count = 0
        self.crashes = 0
        self.models_loading = 0
        self.chats_while_loading = 0
        self.fencing_number = -1
        self.commands: list[dict] = []
        self.model = 'model'
        self.version = '1'
        self.role = ''
        self.restart_task: asyncio.Task | None = None
        self.clear_memory()

    def clear_memory(self) -> None:
        """Reset the state that an engine process loses when it crashes."""
        self.slots = engine_state.PrioritySemaphore(self.slot_count)
        self.cache = engine_state.PrefixCache(self.cache_entries)
        self.cache_events = engine_state.CacheEventLog(self.rng)
        self.load_history = engine_state.LoadHistory()
        self.active_runs: set[engine_state.Run] = set()
        self.resumable_runs: collections.OrderedDict[str, engine_state.Run] = (
            collections.OrderedDict()
        )

    def routes(self) -> list:
        """Return the application's URL rules."""
        handler_arguments = {'standin': self}
        return [
            (caller_api.CHAT_PATH, engine_chat.ChatHandler, handler_arguments),
            (r'/cancel/(.+)', engine_control.CancelHandler, handler_arguments),
            (r'/resume/(.+)', engine_chat.ResumeHandler, handler_arguments),
            ('/events', engine_control.EventsHandler, handler_arguments),
            ('/load', engine_control.LoadHandler, handler_arguments),
            ('/orders', engine_control.CommandsHandler, handler_arguments),
            (r'/kv/([^/]+)', engine_control.CacheHandler, handler_arguments),
            ('/health', engine_control.HealthHandler, handler_arguments),
            ('/stats', engine_control.StatsHandler, handler_arguments),
            ('/history', engine_control.HistoryHandler, handler_arguments),
            *super().routes(),
        ]

    def record_start(self, run: engine_state.Run) -> None:
        """Record a request that arrived."""
        self.active_runs.add(run)
        self.resumable_runs[run.request_id] = run
        while len(self.resumable_runs) > MAX_RESUMABLE_RUNS:
            self.resumable_runs.popitem(last=False)
        self.run_counts[run.request_id] += 1
        self.peak_outstanding = max(
            self.peak_outstanding, len(self.active_runs)
        )
        self.record_load()

    def record_end(self, run: engine_state.Run) -> None:
        """Record a request that ended, whatever the outcome."""
        self.active_runs.discard(run)
        self.record_load()

    async def load_model(self) -> None:
        """Reject chats while a model is loaded, and count them.

        Chats that are active at the start count too.
        """
        self.models_loading += 1
        self.chats_while_loading += len(self.active_runs)
        await asyncio.sleep(
            self.latencies.load_model_s + self.faults.load_model_s
        )
        self.models_loading -= 1

    def record_load(self) -> None:
        """Record the load of now in the load history."""
        running = min(len(self.active_runs), self.slot_count)
        self.load_history.record(running, len(self.active_runs) - running)

    def cache_prefix(self, chat: str, tokens: int) -> None:
        """Cache a chat's prefix and publish the cache events."""
        share = self.faults.event_drop_share
        if chat not in self.cache.tokens_by_chat:
            self.cache_events.publish(engine_state.STORED, chat, share)
        for evicted in self.cache.store(chat, tokens):
            self.cache_events.publish(engine_state.EVICTED, evicted, share)

    async def crash(self) -> None:
        """Close all connections, lose the memory and restart later."""
        self.crashes += 1
        await super().stop()
        for run in self.active_runs:
            run.cancelled = True
        self.clear_memory()
        self.restart_task = asyncio.create_task(self.restart_later())

    async def restart_later(self) -> None:
        """Restart after ``restart_s``."""
        await asyncio.sleep(self.faults.restart_s)
        await self.start()

    async def stop(self) -> None:
        """Stop, and cancel a pending restart."""
        if self.restart_task is not None:
            self.restart_task.cancel()
        await super().stop()
