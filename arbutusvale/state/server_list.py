"""Hold the listed backend servers of every pool."""

from collections.abc import Callable
import dataclasses

from arbutusvale.protocol import proxying

# Entries that lapsed during an outage are back within about two seconds of
# the store's return.
RECOVERY_GRACE_S = 2.0


@dataclasses.dataclass(slots=True)
class ListedServer:
    """Hold one listed server.

    ``first_seen_at`` is the steady time at which this incarnation was first
    seen.
    ``expires_at`` is set while its entry is missing after an outage.
    """

    server: proxying.BackendServer
    first_seen_at: float
    expires_at: float | None = None


class ServerList:
    """Keep the listed servers and those that are leaving.

    Load pattern answered: engines that join, drain and vanish while the
    list itself has outages.  A removal is final at once, unless it follows
    an outage of the list; then the entry may return until two seconds after
    the list did.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.by_id: dict[str, ListedServer] = {}
        self.by_pool: dict[str, list[ListedServer]] = {}
        self.version = 0

    def put(self, server: proxying.BackendServer) -> bool:
        """Take an entry over; tell whether it changed what is known."""
        known = self.by_id.get(server.id)
        if known is not None and known.server == server:
            changed = known.expires_at is not None
            known.expires_at = None
            return changed
        if (
            known is not None
            and known.server.started_at_ms == server.started_at_ms
        ):
            known.server = server
            known.expires_at = None
        else:
            self.by_id[server.id] = ListedServer(server, self.clock())
        self._rebuild_pools()
        return True

    def remove(self, server_id: str, remove_at: float | None) -> bool:
        """Drop an entry; tell whether it was known.

        ``return_by`` is the steady time until which it may return.
        """
        known = self.by_id.get(server_id)
        if known is None:
            return False
        if remove_at is not None:
            known.expires_at = remove_at
            return True
        del self.by_id[server_id]
        self._rebuild_pools()
        return True

    def keep_only(
        self, server_ids: set[str], remove_at: float | None
    ) -> list[str]:
        """Drop entries that a whole list doesn't hold; return their ids."""
        missing = [known for known in self.by_id if known not in server_ids]
        for server_id in missing:
            self.remove(server_id, remove_at)
        return missing

    def expire(self) -> list[str]:
        """Drop entries that didn't return in time; return their ids."""
        now = self.clock()
        expired = [
            server_id
            for server_id, entry in self.by_id.items()
            if entry.expires_at is not None and entry.expires_at <= now
        ]
        for server_id in expired:
            del self.by_id[server_id]
        if expired:
            self._rebuild_pools()
        return expired

    def list_ready_servers(self, pool: str) -> list[ListedServer]:
        """List the servers of a pool that take new requests."""
        return [
            entry
            for entry in self.by_pool.get(pool, ())
            if entry.server.state is proxying.ServerState.READY
        ]

    def _rebuild_pools(self) -> None:
        """Group the servers by pool again."""
        self.version += 1
        self.by_pool = {}
        for server_id in sorted(self.by_id):
            entry = self.by_id[server_id]
            self.by_pool.setdefault(entry.server.pool, []).append(entry)
