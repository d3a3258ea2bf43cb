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
SAME_CRASH_S = 0.5
CONNECT_TIMEOUT_S = 0.3


@dataclasses.dataclass(slots=True)
class _Broken:
    """Hold the requests that a server broke off of late."""

    fingerprints: dict[bytes, float]
    checking: asyncio.Task | None = None


class CrashWatch:
    """Turn broken answers into suspicions when the server has crashed."""

    def __init__(
        self,
        table: suspects.SuspectTable,
        connector: edge_ports.ServerConnectionPool,
        events: event_log.EventLog,
        clock: Callable[[], float],
    ):
        self.table = table
        self.connector = connector
        self.events = events
        self.clock = clock
        self.broken: dict[str, _Broken] = {}

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tell whether a request crashed too many servers."""
        suspect = self.table.find(fingerprint)
        return suspect is not None and suspect.quarantined

    def note_answered(self, fingerprint: bytes) -> None:
        """Trust a request that a server ran to its end."""
        self.table.record_success(fingerprint)

    def note_broken(
        self, server: proxying.BackendServer, fingerprint: bytes
    ) -> None:
        """Note a request whose connection ended without an answer."""
        broken = self.broken.setdefault(server.id, _Broken({}))
        broken.fingerprints[fingerprint] = self.clock()
        if broken.checking is None:
            broken.checking = asyncio.create_task(self._check(server))

    async def _check(self, server: proxying.BackendServer) -> None:
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
        broken = self.broken.pop(server.id)
        if crashed:
            self._suspect(server, broken)

    def _suspect(
        self, server: proxying.BackendServer, broken: _Broken
    ) -> None:
        """Count the crash against all that was broken off with it."""
        limit = self.clock() - SAME_CRASH_S
        crash = f'{server.id}/{server.started_at_ms}'
        for fingerprint, at in broken.fingerprints.items():
            if at < limit:
                continue
            self.table.merge(fingerprint, [crash])
            self.events.write(
                'crash-suspect',
                request=fingerprint.hex()[:12],
                crash=crash,
                quarantined=self.is_quarantined(fingerprint),
            )
