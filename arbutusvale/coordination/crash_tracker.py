"""Crash detection for backend servers, and what is blocked for crashes.

A connection that ends without an answer may be due to a crash or to a fault
of that connection alone.  A probe decides: a crashed server refuses a new
connection.  A crash is identified by the server's incarnation, so that
routers which saw the same crash count it once.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from arbutusvale import errors
from arbutusvale.coordination import crash_exchange
from arbutusvale.protocol import edge_ports
from arbutusvale.protocol import proxying
from arbutusvale.state import crash_evidence
from arbutusvale.state import event_log
from arbutusvale.state import rendezvous

# All connections of a crashed server end within this time.
CRASH_WINDOW_S = 0.5
CONNECT_TIMEOUT_S = 0.3
# A server may run a request on, and crash, though nobody waits any more.
WATCH_S = 1.0
# Shorter than the time that a server needs to start again.
WATCH_INTERVAL_S = 0.25
LOGGED_DIGEST_DIGITS = 12

# The digests of a request, one for each way to name its caller, and then
# those of its prompt parts.
Suspects = tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """An attempt without an answer; times are steady seconds."""

    sent_at: float
    ended_at: float


@dataclasses.dataclass(slots=True)
class _BrokenRequests:
    """Requests whose connection to a server recently broke."""

    attempts: dict[Suspects, Unanswered] = dataclasses.field(
        default_factory=dict
    )
    # Successes that ended with their connection, whole or not.
    unframed: set[Suspects] = dataclasses.field(default_factory=set)
    probe_task: asyncio.Task | None = None
    # What the probe found.
    crashed: bool = False


class CrashTracker:
    """Detector of server crashes; blocks what is found to cause them.

    ``list_live_peers`` lists the hosts of other routers.
    """

    def __init__(
        self,
        exchange: crash_exchange.CrashExchange,
        connection_pool: edge_ports.ServerConnectionPool,
        events: event_log.EventLog,
        clock: Callable[[], float],
        list_live_peers: Callable[[], list[str]],
    ):
        self.exchange = exchange
        self.evidence = exchange.evidence
        self.connection_pool = connection_pool
        self.events = events
        self.clock = clock
        self.list_live_peers = list_live_peers
        self.broken_by_server: dict[str, _BrokenRequests] = {}
        # Requests that were given up and that a server may still run.
        self.abandoned_by_server: dict[str, dict[Suspects, Unanswered]] = {}
        self.watch_tasks: set[asyncio.Task] = set()
        self.stopped = False
        self.logged_culprits: set[frozenset[bytes]] = set()

    def stop(self) -> None:
        """Start no more tasks, as the process ends."""
        self.stopped = True

    def is_quarantined(self, suspects: Suspects) -> bool:
        """Return whether a request holds what crashes servers."""
        return self.evidence.find_culprit(suspects) is not None

    def admits(self, suspects: Suspects) -> bool:
        """Return whether a request may run; it may be due as a trial."""
        culprit = self.evidence.find_culprit(suspects)
        if culprit is None:
            return True
        self._log_culprit(culprit)
        self._link_requests(min(culprit), suspects)
        return self._find_own_trial(culprit) is not None

    def start_attempt(self, suspects: Suspects) -> bool:
        """Return whether a request may be sent now; spend its trial if due.

        It may have been blocked since it was admitted.
        """
        culprit = self.evidence.find_culprit(suspects)
        if culprit is None:
            return True
        window = self._find_own_trial(culprit)
        if window is None:
            return False
        self.evidence.spend_trial(culprit, window)
        self.events.write(
            'part-trial',
            digest=format_digests(culprit),
            crashes=self.evidence.count_crashes(min(culprit)),
            window=window.number,
        )
        return True

    def _link_requests(self, culprit: bytes, suspects: Suspects) -> None:
        """Block a request by all its digests if it is blocked by one.

        Its caller may get another name, and then another key.
        """
        if crash_evidence.is_part(culprit):
            return
        for digest in list_requests(suspects):
            if digest != culprit:
                self.exchange.report_alias(culprit, digest)

    def _find_own_trial(
        self, culprit: frozenset[bytes]
    ) -> crash_evidence.TrialWindow | None:
        """Return the window in which this router may try a culprit, or None.

        Each window belongs to one router of the fleet.
        """
        window = self.evidence.find_trial_window(culprit)
        if window is None:
            return None
        key = f'{min(culprit).hex()}/{window.number}'
        hosts = [self.exchange.host, *self.list_live_peers()]
        is_own = rendezvous.first(key, hosts) == self.exchange.host
        return window if is_own else None

    async def forbids_retry(
        self, server: proxying.BackendServer, suspects: Suspects
    ) -> bool:
        """Return whether a request may have crashed its server.

        Waits until it is known whether the server crashed.
        """
        broken = self.broken_by_server.get(server.id)
        if broken is not None and broken.probe_task is not None:
            await asyncio.wait((broken.probe_task,))
        return self.is_quarantined(suspects) or self.evidence.is_doubtful(
            suspects
        )

    async def has_crashed(self, server: proxying.BackendServer) -> bool:
        """Probe a server; return whether it has surely crashed."""
        broken = self._start_probe(server)
        await asyncio.wait((broken.probe_task,))
        return broken.crashed

    def record_completion(self, suspects: Suspects, sent_at: float) -> None:
        """Clear a request that a server ran to completion.

        It tells nothing of crashes since it was sent, as a router that was
        frozen notices late.
        """
        for digest in list_requests(suspects):
            self.exchange.report_completion(digest, sent_at)
        for digest in list_parts(suspects):
            self.exchange.report_completion(digest, self.clock())

    def record_progress(self, suspects: Suspects) -> None:
        """Record that a server works on a request and didn't crash."""
        for digest in list_parts(suspects):
            self.evidence.record_progress(digest)

    def record_broken_connection(
        self,
        server: proxying.BackendServer,
        suspects: Suspects,
        sent_at: float,
    ) -> None:
        """Record a request whose connection ended without an answer."""
        self._add_broken(server, suspects, sent_at)

    def record_unframed_end(
        self,
        server: proxying.BackendServer,
        suspects: Suspects,
        sent_at: float,
        succeeded: bool,
    ) -> None:
        """Record an answer that ended with its connection.

        A server that crashes between two events leaves the same, so a
        successful one completes the request only if the server lives.  A
        request whose parts all were completed before isn't worth a probe.
        """
        if any(
            map(self.evidence.is_suspect, list_requests(suspects))
        ) or not all(map(self.evidence.is_proven, list_parts(suspects))):
            broken = self._add_broken(server, suspects, sent_at)
            if succeeded:
                broken.unframed.add(suspects)

    def _add_broken(
        self,
        server: proxying.BackendServer,
        suspects: Suspects,
        sent_at: float,
    ) -> _BrokenRequests:
        """Add a request that may have crashed a server; probe the server."""
        broken = self._start_probe(server)
        broken.attempts[suspects] = Unanswered(sent_at, self.clock())
        return broken

    def record_abandoned(
        self,
        server: proxying.BackendServer,
        suspects: Suspects,
        sent_at: float,
    ) -> None:
        """Record a request that was given up without an answer.

        Its server is watched for a while.
        """
        if self.stopped:
            return
        is_watched = server.id in self.abandoned_by_server
        abandoned = self.abandoned_by_server.setdefault(server.id, {})
        abandoned[suspects] = Unanswered(sent_at, self.clock())
        if not is_watched:
            task = asyncio.create_task(self._watch(server))
            self.watch_tasks.add(task)
            task.add_done_callback(self.watch_tasks.discard)

    async def _watch(self, server: proxying.BackendServer) -> None:
        """Probe a server unless a connection shows that it lives.

        Ends when it has crashed, or some time after the last request that was
        given up.
        """
        checked_at = self.clock()
        while abandoned := self.abandoned_by_server.get(server.id):
            if not self.connection_pool.has_open_since(server, checked_at):
                await asyncio.wait((self._start_probe(server).probe_task,))
            checked_at = self.clock()
            await asyncio.sleep(WATCH_INTERVAL_S)
            if not _list_later(abandoned, self.clock() - WATCH_S):
                break
        self.abandoned_by_server.pop(server.id, None)

    def _start_probe(self, server: proxying.BackendServer) -> _BrokenRequests:
        """Probe a server, unless it is being probed."""
        broken = self.broken_by_server.setdefault(server.id, _BrokenRequests())
        if broken.probe_task is None:
            broken.probe_task = asyncio.create_task(self._probe(server))
        return broken

    async def _probe(self, server: proxying.BackendServer) -> None:
        """Open a new connection; if that is refused, record a crash."""
        crashed = alive = False
        try:
            connection = await self.connection_pool.open(
                server, CONNECT_TIMEOUT_S
            )
            self.connection_pool.release(server, connection, None)
            alive = True
            self.events.write(
                'server-alive',
                server=server.id,
                broken=len(self.broken_by_server[server.id].attempts),
            )
        except errors.ServerFailed as error:
            # No answer in time may also be due to the path or a full queue.
            crashed = error.refused
            self.events.write(
                'server-crashed' if crashed else 'server-unreachable',
                server=server.id,
                cause=error.cause,
                broken=len(self.broken_by_server[server.id].attempts),
                suspects=len(self.evidence.crashes_by_suspect),
            )
        broken = self.broken_by_server.pop(server.id)
        broken.crashed = crashed
        if crashed:
            self._record_crash(server, broken)
        if alive:
            for suspects in broken.unframed:
                self.record_completion(
                    suspects, broken.attempts[suspects].sent_at
                )

    def _record_crash(
        self, server: proxying.BackendServer, broken: _BrokenRequests
    ) -> None:
        """Count a crash against the requests that it interrupted."""
        incarnation = f'{server.id}/{server.started_at_ms}'
        abandoned = self.abandoned_by_server.pop(server.id, {})
        interrupted = _list_later(
            abandoned, self.clock() - WATCH_S
        ) | _list_later(broken.attempts, self.clock() - CRASH_WINDOW_S)
        suspects_by_time: dict[float, set[bytes]] = {}
        broken_at = min(
            (attempt.ended_at for attempt in broken.attempts.values()),
            default=self.clock(),
        )
        for suspects, attempt in interrupted.items():
            # What was sent before a known crash was interrupted by that one,
            # though this router notices late.
            occurred_at = self.evidence.find_crash_time(
                incarnation, attempt.sent_at
            )
            if occurred_at is None:
                occurred_at = broken_at
            suspects_by_time.setdefault(occurred_at, set()).update(suspects)
        for occurred_at, digests in suspects_by_time.items():
            self.exchange.report_crash(incarnation, digests, occurred_at)
        for suspects in interrupted:
            request = suspects[0]
            self.events.write(
                'crash-suspect',
                request=format_request(suspects),
                parts=format_digests(list_parts(suspects)),
                crash=incarnation,
                crashes=self.evidence.count_crashes(request),
                proven=self.evidence.is_proven(request),
                quarantined=self.is_quarantined(suspects),
            )

    def _log_culprit(self, culprit: frozenset[bytes]) -> None:
        """Log a request or parts that are blocked, once."""
        if culprit in self.logged_culprits:
            return
        self.logged_culprits = {
            known
            for known in self.logged_culprits
            if self.evidence.is_suspect(min(known))
        }
        self.logged_culprits.add(culprit)
        self.events.write(
            'part-blocked',
            digest=format_digests(culprit),
            crashes=self.evidence.count_crashes(min(culprit)),
            proven=all(map(self.evidence.is_proven, culprit)),
        )


def _list_later(
    attempts: dict[Suspects, Unanswered], earliest: float
) -> dict[Suspects, Unanswered]:
    """Return the attempts that didn't end before the earliest time."""
    return {
        suspects: attempt
        for suspects, attempt in attempts.items()
        if attempt.ended_at >= earliest
    }


def list_suspects(
    fingerprints: Iterable[bytes],
    organisation: str,
    metadata: proxying.RequestMetadata,
) -> Suspects:
    """Return the digests of a request and of the parts that others share.

    The last part belongs to the request itself.
    """
    requests = map(crash_evidence.digest_request, fingerprints)
    return (
        *dict.fromkeys(requests),
        *dict.fromkeys(
            crash_evidence.digest_part(organisation, metadata.model, part.id)
            for part in metadata.prompt[:-1]
        ),
    )


def list_requests(suspects: Suspects) -> list[bytes]:
    """Return the digests of the request itself."""
    return [each for each in suspects if not crash_evidence.is_part(each)]


def list_parts(suspects: Suspects) -> list[bytes]:
    """Return the digests of the request's prompt parts."""
    return [each for each in suspects if crash_evidence.is_part(each)]


def format_request(suspects: Suspects) -> str:
    """Return a request's first digest for a log line."""
    return format_digests(suspects[:1])


def format_digests(digests: Iterable[bytes]) -> str:
    """Return digests for a log line."""
    texts = [digest[1:].hex()[:LOGGED_DIGEST_DIGITS] for digest in digests]
    return '+'.join(sorted(texts)) or '-'
