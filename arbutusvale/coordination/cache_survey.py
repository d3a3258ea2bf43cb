"""Survey of what the engines of a pool have in their prompt caches."""

import asyncio
from collections.abc import Sequence

from arbutusvale import errors
from arbutusvale.protocol import engine_cache
from arbutusvale.protocol import proxying
from arbutusvale.state import edge_metrics
from arbutusvale.state import event_log

# A prompt that was read meanwhile isn't in a kept list.
RETENTION_S = 3.0
FAILURE_RETENTION_S = 1.0

Incarnation = tuple[str, int, str]


class CacheSurvey:
    """Reader of engines' caches that shares each call among its users.

    Load pattern: after the loss of all routers their callers come back within
    a second or two, hundreds at each router; an engine is asked once for all
    of them.
    """

    def __init__(
        self,
        caches: engine_cache.EngineCaches,
        metrics: edge_metrics.EdgeMetrics,
        events: event_log.EventLog,
    ):
        self.caches = caches
        self.metrics = metrics
        self.events = events
        self.calls: dict[
            Incarnation, asyncio.Task[engine_cache.CachedParts | None]
        ] = {}

    async def read(
        self, servers: Sequence[proxying.BackendServer]
    ) -> list[engine_cache.CachedParts | None]:
        """Return what each server has cached, None if it doesn't tell."""
        calls = [self._start_call(server) for server in servers]
        if calls:
            # Not gather: who gives up must not cancel a call of others.
            await asyncio.wait(calls)
        return [call.result() for call in calls]

    def _start_call(
        self, server: proxying.BackendServer
    ) -> asyncio.Task[engine_cache.CachedParts | None]:
        """Return the call to a server, a new one if none is kept."""
        key = (server.id, server.started_at_ms, server.address)
        if key not in self.calls:
            self.calls[key] = asyncio.create_task(self._call(server, key))
        return self.calls[key]

    async def _call(
        self, server: proxying.BackendServer, key: Incarnation
    ) -> engine_cache.CachedParts | None:
        """Ask a server, and have the answer dropped after a while."""
        loop = asyncio.get_running_loop()
        try:
            parts = await self.caches.list_parts(server)
        except errors.ServerFailed as error:
            self.metrics.increment('cache_lists', 'failed')
            self.events.write(
                'cache-list-failed', server=server.id, cause=error.cause
            )
            loop.call_later(FAILURE_RETENTION_S, self.calls.pop, key, None)
            return None
        except BaseException:
            del self.calls[key]
            raise
        self.metrics.increment('cache_lists', 'read')
        self.events.write('cache-list', server=server.id, parts=len(parts))
        loop.call_later(RETENTION_S, self.calls.pop, key, None)
        return parts
