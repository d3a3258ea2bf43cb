"""Estimates of backend servers' load from several partial views.

Each router counts its own requests exactly.  The requests of other routers
are known from their messages, in a large fleet from sums that collectors send,
or else from the load that servers report in their responses.
"""

from collections.abc import Callable
import dataclasses

# Requests last 1 to 2 s, so an older report says little.
MAX_REPORT_AGE_S = 1.5


@dataclasses.dataclass(slots=True)
class _ServerLoad:
    """One server's load in requests: this router's and all others'.

    ``others`` is derived from the server's last report, received at the
    monotonic time ``reported_at``.
    """

    own: int = 0
    others: float = 0.0
    reported_at: float = -1e9


class ServerLoads:
    """Requests in flight per server, from this and from other routers."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.loads: dict[str, _ServerLoad] = {}
        self.peer_counts: dict[str, tuple[float, dict[str, int]]] = {}
        self.peer_totals: dict[str, int] = {}
        self.peer_totals_valid_until = -1e9
        # This router's counts as the collectors know them.
        self.reported_counts: dict[str, int] = {}
        # Others' requests by server, and until when they are valid.
        self.summary: dict[str, tuple[float, int]] = {}
        self.summary_valid_until = -1e9

    def record_start(self, server_id: str) -> None:
        """Count a request that is sent to a server."""
        self._get_or_create(server_id).own += 1

    def record_end(self, server_id: str) -> None:
        """Count the end of a request."""
        load = self._get_or_create(server_id)
        load.own -= 1
        if (
            load.own <= 0
            and load.reported_at < self.clock() - MAX_REPORT_AGE_S
        ):
            self.loads.pop(server_id, None)

    def record_reported_load(self, server_id: str, total: int) -> None:
        """Record the load that a server reported with a response."""
        load = self._get_or_create(server_id)
        load.others = max(0, total - load.own)
        load.reported_at = self.clock()

    def record_peer_counts(
        self, peer: str, counts: dict[str, int], ttl_s: float
    ) -> None:
        """Record another router's own counts, valid for ``ttl_s``."""
        self.peer_counts[peer] = (self.clock() + ttl_s, counts)
        self.peer_totals_valid_until = -1e9

    def note_reported(self, counts: dict[str, int]) -> None:
        """Remember the counts that this router reports to collectors."""
        self.reported_counts = counts

    def record_summary(self, totals: dict[str, int], ttl_s: float) -> None:
        """Record sums over all routers, this one included, by server.

        They are valid for ``ttl_s``; a server without load isn't in them.
        """
        now = self.clock()
        valid_until = self.summary_valid_until = now + ttl_s
        self.summary = {
            server_id: entry
            for server_id, entry in self.summary.items()
            if entry[0] >= now
        }
        for server_id, total in totals.items():
            others = max(0, total - self.reported_counts.get(server_id, 0))
            self.summary[server_id] = (valid_until, others)

    def has_summary(self) -> bool:
        """Return whether sums of a collector are valid."""
        return self.clock() <= self.summary_valid_until

    def estimate(self, server_id: str) -> float:
        """Return the estimated number of requests at a server."""
        load = self.loads.get(server_id)
        own = load.own if load is not None else 0
        now = self.clock()
        peer_total = self._count_others(server_id, now)
        if load is None or now - load.reported_at > MAX_REPORT_AGE_S:
            return own + peer_total
        return own + max(peer_total, load.others)

    def own_counts(self) -> dict[str, int]:
        """Return this router's requests in flight by server, without zeros."""
        return {
            server_id: load.own
            for server_id, load in self.loads.items()
            if load.own > 0
        }

    def _count_others(self, server_id: str, now: float) -> int:
        """Return the requests of other routers, as they or collectors say."""
        if now <= self.summary_valid_until:
            valid_until, others = self.summary.get(server_id, (now, 0))
            return others if valid_until >= now else 0
        if now > self.peer_totals_valid_until:
            self._sum_peer_counts(now)
        return self.peer_totals.get(server_id, 0)

    def _sum_peer_counts(self, now: float) -> None:
        """Sum the unexpired counts; valid until the next of them expires."""
        self.peer_counts = {
            peer: (valid_until, counts)
            for peer, (valid_until, counts) in self.peer_counts.items()
            if valid_until >= now
        }
        self.peer_totals = {}
        for _, counts in self.peer_counts.values():
            for server_id, count in counts.items():
                self.peer_totals[server_id] = (
                    self.peer_totals.get(server_id, 0) + count
                )
        self.peer_totals_valid_until = min(
            (valid_until for valid_until, _ in self.peer_counts.values()),
            default=now + 1e9,
        )

    def _get_or_create(self, server_id: str) -> _ServerLoad:
        """Return the load of a server, a new one if there is none."""
        return self.loads.setdefault(server_id, _ServerLoad())
