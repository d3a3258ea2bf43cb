"""Take control calls as a stand-in engine: orders, caches, reports."""

import asyncio
import json
import time

from tornado import web

from arbutusvale.standins import engine_state
from arbutusvale.standins import web_server


class CancelHandler(web_server.StandinHandler):
    """Stop a request."""

    def post(self, request_id: str) -> None:
        """Mark the request's runs as cancelled."""
        self.standin.cancels += 1
        for run in self.standin.active_runs:
            if run.request_id == request_id:
                run.cancelled = True
        self.answer({})


class EventsHandler(web_server.StandinHandler):
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
            await asyncio.sleep(web_server.FROZEN_POLL_S)
            events = self.visible(start)
        shown = [
            {'number': event.number, 'kind': event.kind, 'chat': event.chat}
            for event in events
        ]
        known = min(start, self.standin.events.next_number)
        next_number = events[-1].number + 1 if events else known
        self.answer({'events': shown, 'next': next_number})

    def visible(self, start: int) -> list[engine_state.Event]:
        """Return the events that the lag lets through."""
        return self.standin.events.visible(
            start, self.standin.faults.event_lag_s
        )


class LoadHandler(web_server.StandinHandler):
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


class OrdersHandler(web_server.StandinHandler):
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


class CacheHandler(web_server.StandinHandler):
    """Export and import a chat's KV cache."""

    def get(self, chat: str) -> None:
        """Return the cached tokens of a chat."""
        tokens = self.standin.cache.tokens_by_chat.get(chat, 0)
        self.answer({'tokens': tokens}, 200 if tokens else 404)

    def put(self, chat: str) -> None:
        """Take over a chat's cache if there is room."""
        cache = self.standin.cache
        full = len(cache.tokens_by_chat) >= cache.entries
        if full and chat not in cache.tokens_by_chat:
            self.answer({'error': 'no room'}, 507)
            return
        self.standin.cache_prefix(
            chat, json.loads(self.request.body)['tokens']
        )
        self.answer({})


class HealthHandler(web_server.StandinHandler):
    """Answer health checks."""

    async def get(self) -> None:
        """Answer 200 unless the engine is down."""
        await self.thawed()
        self.answer({}, 503 if self.standin.faults.down else 200)


class StatsHandler(web_server.StandinHandler):
    """Show counts to tests."""

    def get(self) -> None:
        """Return the exact counts."""
        standin = self.standin
        self.answer(
            {
                'outstanding': len(standin.active_runs),
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
                'chats': list(standin.cache.tokens_by_chat),
            }
        )


class HistoryHandler(web_server.StandinHandler):
    """Show how the load changed, for checks of the load bound."""

    def get(self) -> None:
        """Return the kept changes, oldest first."""
        self.answer({'loads': self.standin.loads.history()})
