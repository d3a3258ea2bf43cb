"""The backend servers that the platform's store lists, by id and by pool."""

from collections.abc import Callable
import dataclasses

from arbutusvale.protocol import proxying
from arbutusvale.state import evacuations

# Servers renew entries that expired during a store outage within about two
# seconds of the store's recovery.
RECOVERY_GRACE_S = 2.0
# An older copy of the store is seconds old.
DEPARTURE_RETENTION_S = 120.0


@dataclasses.dataclass(slots=True)
class ListedServer:
    """One listed server.

    ``first_seen_at`` is the monotonic time at which this incarnation was
    first seen.  ``expires_at`` is set while its entry is missing after a
    store outage: the time at which the server is dropped.
    """

    server: proxying.BackendServer
    first_seen_at: float
    expires_at: float | None = None


class ServerList:
    """The listed servers, draining ones included.

    Load pattern: engines that join, drain and vanish while the store that
    lists them has outages.  A removal takes effect at once, unless it
    follows a store outage; then the server stays until the grace period
    after the store's recovery ends, as its entry may be renewed.

    A server that says itself that it leaves gets new requests only where no
    other can serve, and for ``leaving_use_s`` at most, whatever its entry
    says, until it is another incarnation.

    The servers of evacuated data centres get no new requests; their caches
    may still be copied.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        leaving_use_s: float = 0.0,
        evacuated: evacuations.Evacuations | None = None,
    ):
        self.clock = clock
        self.evacuations = evacuated or evacuations.Evacuations(clock)
        self.leaving_use_s = leaving_use_s
        self.by_id: dict[str, ListedServer] = {}
        self.by_pool: dict[str, list[ListedServer]] = {}
        self.version = 0
        # Since when the whole list is known without a gap.
        self.complete_since: float | None = None
        # When the last server of a software version left, by pool.
        self.departed_versions: dict[str, dict[str, float]] = {}
        # When incarnations said that they leave, by id, start and address.
        self.leaving: dict[tuple[str, int, str], float] = {}
        # When incarnations left, by id and start.
        self.departed: dict[tuple[str, int], float] = {}

    def is_new(self, server: proxying.BackendServer) -> bool:
        """Return whether an entry is the first of its incarnation."""
        known = self.by_id.get(server.id)
        if (
            known is not None
            and known.server.started_at_ms == server.started_at_ms
        ):
            return False
        return (server.id, server.started_at_ms) not in self.departed

    def put(self, server: proxying.BackendServer) -> bool:
        """Add or update a server; return whether anything changed."""
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
            if known is not None:
                self._record_departure(known.server)
            self.by_id[server.id] = ListedServer(server, self.clock())
        self._rebuild_pools()
        return True

    def remove(self, server_id: str, remove_at: float | None) -> bool:
        """Remove a server; return whether it was known.

        It is removed at once if ``remove_at`` is None, else at that
        monotonic time unless it is put again before.
        """
        known = self.by_id.get(server_id)
        if known is None:
            return False
        if remove_at is not None:
            known.expires_at = remove_at
            return True
        self._record_departure(known.server)
        del self.by_id[server_id]
        self._rebuild_pools()
        return True

    def keep_only(
        self, server_ids: set[str], remove_at: float | None
    ) -> list[str]:
        """Remove all other servers, as ``remove`` does; return their ids."""
        if self.complete_since is None:
            self.complete_since = self.clock()
        missing = [known for known in self.by_id if known not in server_ids]
        for server_id in missing:
            self.remove(server_id, remove_at)
        return missing

    def expire(self) -> list[str]:
        """Drop the servers whose time has run out; return their ids."""
        now = self.clock()
        expired = [
            server_id
            for server_id, entry in self.by_id.items()
            if entry.expires_at is not None and entry.expires_at <= now
        ]
        for server_id in expired:
            self._record_departure(self.by_id[server_id].server)
            del self.by_id[server_id]
        if expired:
            self._rebuild_pools()
        return expired

    def list_ready_servers(
        self, pool: str, software_version: str | None = None
    ) -> list[ListedServer]:
        """List the servers of a pool that accept new requests.

        Those of another version are left out, unless it is None.
        """
        ready = [
            entry
            for entry in self.by_pool.get(pool, ())
            if entry.server.state is proxying.ServerState.READY
            and software_version in (None, entry.server.software_version)
        ]
        if evacuated := self.evacuations.in_force:
            ready = [
                entry
                for entry in ready
                if entry.server.data_centre not in evacuated
            ]
        if not self.leaving:
            return ready
        staying = [
            entry
            for entry in ready
            if _incarnation(entry.server) not in self.leaving
        ]
        if staying:
            return staying
        oldest = self.clock() - self.leaving_use_s
        return [
            entry
            for entry in ready
            if self.leaving[_incarnation(entry.server)] > oldest
        ]

    def list_all_ready(self, pool: str) -> list[ListedServer]:
        """List the ready servers of a pool, also evacuated ones."""
        return [
            entry
            for entry in self.by_pool.get(pool, ())
            if entry.server.state is proxying.ServerState.READY
        ]

    def is_evacuated(self, server: proxying.BackendServer) -> bool:
        """Return whether a server's data centre is evacuated."""
        return self.evacuations.is_evacuated(server.data_centre)

    def is_pool_evacuated(self, pool: str) -> bool:
        """Return whether only evacuations keep a pool from being served."""
        return bool(
            self.list_evacuated_servers(pool)
        ) and not self.list_ready_servers(pool)

    def list_evacuated_servers(self, pool: str) -> list[ListedServer]:
        """List the servers of a pool that only evacuations leave out."""
        if not self.evacuations.in_force:
            return []
        return [
            entry
            for entry in self.by_pool.get(pool, ())
            if entry.server.state is proxying.ServerState.READY
            and self.is_evacuated(entry.server)
        ]

    def mark_leaving(self, server: proxying.BackendServer) -> bool:
        """Record that a server says that it leaves; return whether it is new.

        Marks of servers that are no longer listed are dropped.
        """
        now = self.clock()
        if _incarnation(server) in self.leaving:
            return False
        for incarnation, marked_at in list(self.leaving.items()):
            is_old = now - marked_at > DEPARTURE_RETENTION_S
            if is_old and incarnation[0] not in self.by_id:
                del self.leaving[incarnation]
        self.leaving[_incarnation(server)] = now
        return True

    def restart_watch(self) -> None:
        """Record that servers may have come and gone unseen until now."""
        self.complete_since = self.clock()

    def watched_s(self) -> float:
        """Return for how many seconds the list is known without a gap."""
        if self.complete_since is None:
            return 0.0
        return self.clock() - self.complete_since

    def list_recent_versions(self, pool: str, within_s: float) -> set[str]:
        """List the software versions of a pool, of servers listed recently.

        These are the servers listed now, in any state, and those that left
        less than ``within_s`` ago.
        """
        oldest = self.clock() - within_s
        departed = self.departed_versions.get(pool, {})
        return {
            entry.server.software_version
            for entry in self.by_pool.get(pool, ())
        } | {
            version for version, left_at in departed.items()
            if left_at >= oldest
        }  # fmt: skip

    def is_leaving(self, server: proxying.BackendServer) -> bool:
        """Return whether this incarnation is known to drain or has left."""
        known = self.by_id.get(server.id)
        if (
            known is not None
            and known.server.started_at_ms == server.started_at_ms
        ):
            return known.server.state is proxying.ServerState.DRAINING
        return (server.id, server.started_at_ms) in self.departed

    def _record_departure(self, server: proxying.BackendServer) -> None:
        """Record that a server, and with it its software version, left."""
        now = self.clock()
        versions = self.departed_versions.setdefault(server.pool, {})
        versions[server.software_version] = now
        incarnation = (server.id, server.started_at_ms)
        self.departed.pop(incarnation, None)
        self.departed[incarnation] = now
        while True:
            oldest, left_at = next(iter(self.departed.items()))
            if now - left_at <= DEPARTURE_RETENTION_S:
                return
            del self.departed[oldest]

    def _rebuild_pools(self) -> None:
        """Group the servers by pool and increment the version."""
        self.version += 1
        self.by_pool = {}
        for server_id in sorted(self.by_id):
            entry = self.by_id[server_id]
            self.by_pool.setdefault(entry.server.pool, []).append(entry)


def _incarnation(server: proxying.BackendServer) -> tuple[str, int, str]:
    """Return what tells one start of a server from others."""
    return server.id, server.started_at_ms, server.address
