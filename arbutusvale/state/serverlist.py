"""Hold the listed backend servers of every pool."""

from collections.abc import Callable
import dataclasses

from arbutusvale.protocol import directcall

# Entries that lapsed during an outage are back within about two seconds of
# the store's return.
RETURN_GRACE_S = 2.0


@dataclasses.dataclass(slots=True)
class Listed:
    """Hold one listed server.

    ``since`` is the steady time at which this incarnation was first seen.
    ``gone_at`` is set while its entry is missing after an outage.
    """

    server: directcall.BackendServer
    since: float
    gone_at: float | None = None


class ServerList:
    """Keep the listed servers and those that are leaving.

    Load pattern answered: engines that join, drain and vanish while the
    list itself has outages.  A removal is final at once, unless it follows
    an outage of the list; then the entry may return until two seconds after
    the list did.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.listed: dict[str, Listed] = {}
        self.pools: dict[str, list[Listed]] = {}
        self.version = 0

    def put(self, server: directcall.BackendServer) -> bool:
        """Take an entry over; tell whether it changed what is known."""
        known = self.listed.get(server.id)
        if known is not None and known.server == server:
            changed = known.gone_at is not None
            known.gone_at = None
            return changed
        if known is not None and known.server.born == server.born:
            known.server = server
            known.gone_at = None
        else:
            self.listed[server.id] = Listed(server, self.clock())
        self._index()
        return True

    def remove(self, server_id: str, return_by: float | None) -> bool:
        """Drop an entry; tell whether it was known.

        ``return_by`` is the steady time until which it may return.
        """
        known = self.listed.get(server_id)
        if known is None:
            return False
        if return_by is not None:
            known.gone_at = return_by
            return True
        del self.listed[server_id]
        self._index()
        return True

    def keep_only(
        self, server_ids: set[str], return_by: float | None
    ) -> list[str]:
        """Drop entries that a whole list doesn't hold; return their ids."""
        missing = [one for one in self.listed if one not in server_ids]
        for server_id in missing:
            self.remove(server_id, return_by)
        return missing

    def expire(self) -> list[str]:
        """Drop entries that didn't return in time; return their ids."""
        now = self.clock()
        late = [
            server_id
            for server_id, one in self.listed.items()
            if one.gone_at is not None and one.gone_at <= now
        ]
        for server_id in late:
            del self.listed[server_id]
        if late:
            self._index()
        return late

    def ready(self, pool: str) -> list[Listed]:
        """List the servers of a pool that take new requests."""
        return [
            one
            for one in self.pools.get(pool, ())
            if one.server.state is directcall.ServerState.READY
        ]

    def _index(self) -> None:
        """Group the servers by pool again."""
        self.version += 1
        self.pools = {}
        for server_id in sorted(self.listed):
            one = self.listed[server_id]
            self.pools.setdefault(one.server.pool, []).append(one)
