"""Notice crashes of backend servers and suspect what they were running.

A connection that ends without an answer may be a crash or a fault of that
connection alone.  A new connection decides: a crashed server takes none.
The crash is named by the server's incarnation, so routers that saw the
same crash count it once.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from arbutusvale import errors
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import proxying
from arbutusvale.state import event_log
from arbutusvale.state import suspects

# The connections of a crashed server all end within this time.
CRASH_WINDOW_S = 0.5
CONNECT_TIMEOUT_S = 0.3


@dataclasses.dataclass(slots=True)
class _BrokenRequests:
    """Hold the requests that a server broke off of late."""

    fingerprints: dict[bytes, float]
    probe_task: asyncio.Task | None = None


class CrashTracker:
    """Turn broken answers into suspicions when the server has crashed."""

    def __init__(
        self,
        suspect_table: suspects.SuspectTable,
        connector: edge_ports.ServerConnectionPool,
        events: event_log.EventLog,
        clock: Callable[[], float],
    ):
        self.suspect_table = suspect_table
        self.connector = connector
        self.events = events
        self.clock = clock
        self.broken_by_server: dict[str, _BrokenRequests] = {}

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tell whether a request crashed too many servers."""
        suspect = self.suspect_table.find(fingerprint)
        return suspect is not None and suspect.quarantined

    def record_completion(self, fingerprint: bytes) -> None:
        """Trust a request that a server ran to its end."""
        self.suspect_table.record_success(fingerprint)

    def record_broken_connection(
        self, server: proxying.BackendServer, fingerprint: bytes
    ) -> None:
        """Note a request whose connection ended without an answer."""
        broken = self.broken_by_server.setdefault(
            server.id, _BrokenRequests({})
        )
        broken.fingerprints[fingerprint] = self.clock()
        if broken.probe_task is None:
            broken.probe_task = asyncio.create_task(self._probe(server))

    async def _probe(self, server: proxying.BackendServer) -> None:
        """Connect once more; suspect the requests if that fails."""
        crashed = False
        try:
            link = await self.connector.acquire(
                server, True, CONNECT_TIMEOUT_S
            )
            self.connector.release(server, link, None)
        except errors.ServerFailed as error:
            crashed = True
            self.events.write(
                'server-crashed', server=server.id, cause=error.cause
            )
        broken = self.broken_by_server.pop(server.id)
        if crashed:
            self._record_crash(server, broken)

    def _record_crash(
        self, server: proxying.BackendServer, broken: _BrokenRequests
    ) -> None:
        """Count the crash against all that was broken off with it."""
        earliest = self.clock() - CRASH_WINDOW_S
        crash = f'{server.id}/{server.started_at_ms}'
        for fingerprint, broken_at in broken.fingerprints.items():
            if broken_at < earliest:
                continue
            self.suspect_table.merge(fingerprint, [crash])
            self.events.write(
                'crash-suspect',
                request=fingerprint.hex()[:12],
                crash=crash,
                quarantined=self.is_quarantined(fingerprint),
            )
