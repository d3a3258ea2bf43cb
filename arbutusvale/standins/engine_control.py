"""HTTP handlers of a simulated engine for commands, caches and reports."""

import asyncio
import json
import time

from tornado import web

from arbutusvale.standins import engine_state
from arbutusvale.standins import web_server


class CancelHandler(web_server.StandinHandler):
    """Handler that cancels a request."""

    def post(self, request_id: str) -> None:
        """Mark the request's runs as cancelled."""
        self.standin.cancel_count += 1
        for run in self.standin.active_runs:
            if run.request_id == request_id:
                run.cancelled = True
        self.send_json({})


class EventsHandler(web_server.StandinHandler):
    """Handler of long polls for cache events."""

    async def get(self) -> None:
        """Return the events from number ``from`` on, waiting for the first."""
        start = int(self.get_query_argument('from'))
        wait = float(self.get_query_argument('wait', '0'))
        await self.wait_while_frozen()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        events = self.list_visible(start)
        while (
            not events and loop.time() < deadline and not self.is_client_gone
        ):
            await asyncio.sleep(web_server.POLL_INTERVAL_S)
            events = self.list_visible(start)
        documents = [
            {'number': event.number, 'kind': event.kind, 'chat': event.chat}
            for event in events
        ]
        next_known = min(start, self.standin.cache_events.next_number)
        next_number = events[-1].number + 1 if events else next_known
        self.send_json({'events': documents, 'next': next_number})

    def list_visible(self, start: int) -> list[engine_state.CacheEvent]:
        """List the events from a number on that the lag no longer hides."""
        return self.standin.cache_events.list_visible(
            start, self.standin.faults.event_lag_s
        )


class LoadHandler(web_server.StandinHandler):
    """Handler of load reports, which may be stale."""

    async def get(self) -> None:
        """Return the load as of ``load_lag_s`` ago."""
        await self.wait_while_frozen()
        standin = self.standin
        running, waiting = standin.load_history.get_delayed(
            standin.faults.load_lag_s
        )
        self.send_json(
            {
                'running': running,
                'waiting': waiting,
                'model': standin.model,
                'version': standin.version,
            }
        )


class CommandsHandler(web_server.StandinHandler):
    """Handler of commands: load a model or set the role."""

    async def post(self) -> None:
        """Execute a command unless its fencing number is outdated."""
        standin = self.standin
        command = json.loads(self.request.body)
        if (
            standin.checks_fencing
            and command['fence'] < standin.fencing_number
        ):
            self.send_json({'fence': standin.fencing_number}, 409)
            return
        standin.fencing_number = max(standin.fencing_number, command['fence'])
        standin.commands.append(command)
        command['began'] = time.time()
        match command['kind']:
            case 'load_model':
                await standin.load_model()
                standin.model = command['model']
                standin.version = command['version']
            case 'set_role':
                standin.role = command['role']
            case kind:
                raise web.HTTPError(
                    400,
                    f'command is not load_model or set_role: {kind}',
                )
        command['ended'] = time.time()
        self.send_json({})


class CacheHandler(web_server.StandinHandler):
    """Handler that exports and imports a chat's KV cache."""

    def get(self, chat: str) -> None:
        """Return the number of cached tokens of a chat, or 404."""
        tokens = self.standin.cache.tokens_by_chat.get(chat, 0)
        self.send_json({'tokens': tokens}, 200 if tokens else 404)

    def put(self, chat: str) -> None:
        """Import a chat's cache, or answer 507 if the cache is full."""
        cache = self.standin.cache
        full = len(cache.tokens_by_chat) >= cache.max_entries
        if full and chat not in cache.tokens_by_chat:
            self.send_json({'error': 'no room'}, 507)
            return
        self.standin.cache_prefix(
            chat, json.loads(self.request.body)['tokens']
        )
        self.send_json({})


class HealthHandler(web_server.StandinHandler):
    """Handler of health checks."""

    async def get(self) -> None:
        """Answer 200 unless the engine is down."""
        await self.wait_while_frozen()
        self.send_json({}, 503 if self.standin.faults.down else 200)


class StatsHandler(web_server.StandinHandler):
    """Handler that shows the engine's counters to tests."""

    def get(self) -> None:
        """Return the exact counts."""
        standin = self.standin
        self.send_json(
            {
                'outstanding': len(standin.active_runs),
                'running': standin.slots.running,
                'peak': standin.peak_outstanding,
                'runs': dict(standin.run_counts),
                'runs_total': standin.run_counts.total(),
                'cached_hits': standin.cache_hits,
                'cancels': standin.cancel_count,
                'crashes': standin.crashes,
                'chats_while_loading': standin.chats_while_loading,
                'fence': standin.fencing_number,
                'orders': standin.commands,
                'chats': list(standin.cache.tokens_by_chat),
            }
        )


class HistoryHandler(web_server.StandinHandler):
    """Handler of the load history, for checks of the load bound."""

    def get(self) -> None:
        """Return pairs of time and load, oldest first."""
        self.send_json({'loads': self.standin.load_history.list_changes()})
