"""Paces of started and recovered servers, found from how they answer.

Each router counts the good and bad answers of paced servers and tells its
peers; from the sums all of them find about the same pace.  A router that hears
nothing goes by its own answers.  Nothing of it needs the store.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from arbutusvale.coordination import pace_policy
from arbutusvale.protocol import limit_message
from arbutusvale.protocol import proxying
from arbutusvale.state import event_log
from arbutusvale.state import server_list
from arbutusvale.state import server_warmups
from arbutusvale.state import service_times

# Long enough for a few answers at the first pace.
MIN_INTERVAL_S = 0.5
MAX_TOLD = 12


@dataclasses.dataclass(slots=True)
class _Evidence:
    """Answers of one incarnation: own ones, those of peers, those judged."""

    pool: str
    stepped_at: float
    own: tuple[int, int] = (0, 0)
    peers: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    judged: tuple[int, int] = (0, 0)

    def total(self) -> tuple[int, int]:
        """Return the good and the bad answers of all routers."""
        counts = [self.own, *self.peers.values()]
        return sum(good for good, _ in counts), sum(bad for _, bad in counts)


class ServerPacer:
    """Finder of the paces of servers that are cold or paced.

    ``interval_s`` returns the time between two messages to a peer.
    """

    def __init__(
        self,
        warmups: server_warmups.ServerWarmups,
        servers: server_list.ServerList,
        events: event_log.EventLog,
        interval_s: Callable[[], float],
        clock: Callable[[], float],
    ):
        self.warmups = warmups
        self.servers = servers
        self.events = events
        self.interval_s = interval_s
        self.clock = clock
        self.evidence: dict[tuple[str, int], _Evidence] = {}
        # Time to the first byte, by pool and magnitude of the work.
        self.first_byte_times = service_times.ServiceTimes()

    def choose_first_pace(
        self, server: proxying.BackendServer
    ) -> float | None:
        """Return the pace with which a server begins."""
        warmup = self.warmups.list_warmups()[server.pool]
        return pace_policy.first_pace(
            self._usual_rate(server.pool), warmup.rate or None
        )

    def record_answer(
        self,
        server: proxying.BackendServer,
        first_byte_s: float,
        unread_tokens: int,
        waiting: int,
    ) -> None:
        """Record the first byte of a success, in a pool that is paced."""
        if server.pool not in self.warmups.list_warmups():
            return
        work = f'{server.pool}/{unread_tokens.bit_length()}'
        if not self.warmups.is_limited(server):
            self.first_byte_times.record(work, first_byte_s)
            return
        if self.warmups.is_cold(server):
            # The declared rate takes into account that it is slow.
            self._count(server, True)
            return
        answer = pace_policy.Answer(
            True, first_byte_s, self.first_byte_times.average_s(work), waiting
        )
        self._count(server, pace_policy.is_good(answer))

    def record_failure(self, server: proxying.BackendServer) -> None:
        """Record that a server refused, broke off or failed a request."""
        if self.warmups.is_limited(server):
            self._count(server, False)

    def step(self) -> None:
        """Judge the answers of the last interval, where it is over."""
        now = self.clock()
        interval_s = max(MIN_INTERVAL_S, self.interval_s())
        limited = {
            (cold.server.id, cold.server.started_at_ms): cold
            for cold in self.warmups.list_limited()
        }
        for key in [key for key in self.evidence if key not in limited]:
            del self.evidence[key]
        for key, cold in limited.items():
            evidence = self._get(key, cold.server.pool)
            if cold.pace is None or now - evidence.stepped_at < interval_s:
                continue
            good, bad = evidence.total()
            progress = pace_policy.Progress(
                pace=cold.pace,
                usual=self._usual_rate(cold.server.pool),
                ceiling=cold.warmup.rate if now < cold.until else None,
                good=max(0, good - evidence.judged[0]),
                bad=max(0, bad - evidence.judged[1]),
                paced_for_s=now - cold.begun_at,
            )
            evidence.stepped_at = now
            evidence.judged = (good, bad)
            self._set_pace(cold.server, progress)

    def list_evidence(self) -> list[limit_message.PaceEvidence]:
        """List what peers are to know of paced servers."""
        return [
            limit_message.PaceEvidence(*key, evidence.pool, *evidence.own)
            for key, evidence in self.evidence.items()
            if evidence.own != (0, 0)
        ][:MAX_TOLD]

    def merge(
        self, host: str, told: Iterable[limit_message.PaceEvidence]
    ) -> None:
        """Take over a peer's counts of servers that are paced here, too."""
        for each in told:
            evidence = self.evidence.get((each.server_id, each.started_at_ms))
            if evidence is not None:
                evidence.peers[host] = (each.good, each.bad)

    def _set_pace(
        self,
        server: proxying.BackendServer,
        progress: pace_policy.Progress,
    ) -> None:
        """Set the next pace of a server, and log a change."""
        pace = pace_policy.next_pace(progress)
        if pace == progress.pace:
            return
        self.warmups.set_pace(server, pace)
        self.events.write(
            'pace',
            server=server.id,
            rate='-' if pace is None else pace,
            before=progress.pace,
            usual=progress.usual,
            good=progress.good,
            bad=progress.bad,
        )

    def _count(self, server: proxying.BackendServer, good: bool) -> None:
        """Count an answer of a paced server."""
        evidence = self._get((server.id, server.started_at_ms), server.pool)
        own_good, own_bad = evidence.own
        evidence.own = (own_good + good, own_bad + (not good))

    def _get(self, key: tuple[str, int], pool: str) -> _Evidence:
        """Return the evidence of an incarnation, which begins now."""
        evidence = self.evidence.get(key)
        if evidence is None:
            evidence = self.evidence[key] = _Evidence(pool, self.clock())
        return evidence

    def _usual_rate(self, pool: str) -> float:
        """Return the requests a second of a server without a pace."""
        ready = len(self.servers.list_ready_servers(pool))
        return self.warmups.pool_demand(pool) / max(1, ready)
