"""Exchange of evidence on crashes among edge routers.

A router sees only the requests that it sent itself to a server that crashes;
the same part may have been in other routers' requests at other crashes.  What
is new is sent to all peers at once, and again, as datagrams get lost.  Two
routers that hear each other anew, after a start or a partition, exchange all
that they have.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from arbutusvale.protocol import crash_report
from arbutusvale.protocol import peer_message
from arbutusvale.state import crash_evidence

REPEATS = 3
REPEAT_INTERVAL_S = 0.25
# A crash breaks many connections within milliseconds.
BATCH_DELAY_S = 0.02
MAX_SYNC_CRASHES = 64
# The build before knows whole requests only, and this many in a message.
MAX_SUSPICIONS = 2
MAX_SUSPICION_CRASHES = 2


class CrashExchange:
    """Sender and receiver of evidence; ``send`` transmits a datagram.

    ``list_hosts`` returns the hosts of all routers that may listen.
    """

    def __init__(
        self,
        host: str,
        evidence: crash_evidence.CrashEvidence,
        list_hosts: Callable[[], list[str]],
        clock: Callable[[], float],
    ):
        self.host = host
        self.evidence = evidence
        self.list_hosts = list_hosts
        self.clock = clock
        self.send: Callable[[str, bytes], None] = _discard
        # Own evidence to send, with the number of sendings to go.
        self.pending_crashes: dict[int, int] = {}
        self.own_suspects: dict[int, set[bytes]] = {}
        self.pending_completions: dict[bytes, int] = {}
        self.send_requested = asyncio.Event()

    def report_crash(
        self, incarnation: str, suspects: Iterable[bytes], occurred_at: float
    ) -> None:
        """Add what this router had in flight at a crash; tell peers soon."""
        suspects = set(suspects)
        crash_id = self.evidence.add(incarnation, occurred_at, suspects)
        self._announce(crash_id, suspects)

    def report_alias(self, suspect: bytes, alias: bytes) -> None:
        """Suspect another digest of a request of the same crashes."""
        for crash_id in self.evidence.link(suspect, alias):
            self._announce(crash_id, [alias])

    def _announce(self, crash_id: int, suspects: Iterable[bytes]) -> None:
        """Tell peers soon of suspects that this router added to a crash."""
        self.own_suspects.setdefault(crash_id, set()).update(suspects)
        self.pending_crashes[crash_id] = REPEATS
        self.send_requested.set()

    def report_completion(self, digest: bytes, completed_at: float) -> None:
        """Record that a request or part was completed; tell peers if needed.

        Peers need to know of suspects only.
        """
        if self.evidence.record_completion(digest, completed_at):
            self.pending_completions[digest] = REPEATS
            self.send_requested.set()

    def receive(self, message: crash_report.CrashMessage) -> None:
        """Add a peer's evidence; reply with all of this router's if asked."""
        if message.host == self.host:
            return
        now = self.clock()
        for report in message.reports:
            self.evidence.add(
                report.incarnation,
                now - report.age_ms / 1000,
                report.suspects,
                report.proven,
            )
            self._vouch_for_proven(report)
        for completion in message.completions:
            self.evidence.record_completion(
                completion.digest, now - completion.age_ms / 1000
            )
        if message.wants_reply:
            self._send_all(message.host, wants_reply=False)

    def _vouch_for_proven(self, report: crash_report.CrashReport) -> None:
        """Tell peers soon which suspects this router has seen completed.

        That was before the crash, so it clears nobody, but a part that was
        completed before needs more crashes.
        """
        for digest in set(report.suspects).difference(report.proven):
            if self.evidence.is_proven(digest):
                self.evidence.record_progress(digest)
                self.pending_completions.setdefault(digest, 1)
                self.send_requested.set()

    def sync(self, host: str) -> None:
        """Exchange all evidence with a router that was silent or started."""
        self._send_all(host, wants_reply=True)

    def receive_suspicions(
        self, suspicions: Iterable[peer_message.Suspicion]
    ) -> None:
        """Add the suspected requests of a peer of the build before."""
        for suspicion in suspicions:
            digest = crash_evidence.digest_request(suspicion.fingerprint)
            for incarnation in set(suspicion.crashes) - set(suspicion.cleared):
                self._add_suspicion(incarnation, digest)

    def _add_suspicion(self, incarnation: str, digest: bytes) -> None:
        """Add a suspicion, which is repeated and has no time, once."""
        known = [
            crash.occurred_at
            for crash in self.evidence.crashes.values()
            if crash.incarnation == incarnation
        ]
        occurred_at = min(known, default=self.clock())
        self.evidence.add(incarnation, occurred_at, [digest])

    def list_suspicions(self) -> tuple[peer_message.Suspicion, ...]:
        """List suspected requests for peers of the build before."""
        crashes_by_request: dict[bytes, list[str]] = {}
        for crash_id in self.evidence.list_unexplained()[:MAX_SYNC_CRASHES]:
            for digest in sorted(self.evidence.crashes[crash_id].suspects):
                if not crash_evidence.is_part(digest):
                    crashes_by_request.setdefault(digest, []).append(
                        self.evidence.crashes[crash_id].incarnation
                    )
        digests = sorted(
            crashes_by_request,
            key=lambda digest: len(crashes_by_request[digest]),
            reverse=True,
        )
        return tuple(
            peer_message.Suspicion(
                crash_evidence.get_fingerprint(digest),
                tuple(crashes_by_request[digest][:MAX_SUSPICION_CRASHES]),
                (),
            )
            for digest in digests[:MAX_SUSPICIONS]
        )

    async def run(self) -> None:
        """Send new evidence, and repeat it, until cancelled."""
        while True:
            await self.send_requested.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self.flush()
            if not self.pending_crashes and not self.pending_completions:
                self.send_requested.clear()
                continue
            await asyncio.sleep(REPEAT_INTERVAL_S)

    def flush(self) -> None:
        """Send pending evidence to all peers, and count that."""
        datagrams = self._encode(
            [
                self._make_own_report(key)
                for key in self.pending_crashes
                if key in self.evidence.crashes
            ],
            self.pending_completions,
            False,
        )
        for host in self.list_hosts():
            for data in datagrams:
                self.send(host, data)
        self.pending_crashes = _count_down(self.pending_crashes)
        self.pending_completions = _count_down(self.pending_completions)
        self.own_suspects = {
            key: self.own_suspects[key] for key in self.pending_crashes
        }

    def _send_all(self, host: str, wants_reply: bool) -> None:
        """Send all evidence to one router."""
        crash_ids = self.evidence.list_shared()[:MAX_SYNC_CRASHES]
        reports = [
            self._make_report(key, self.evidence.crashes[key].suspects)
            for key in crash_ids
        ]
        datagrams = self._encode(reports, (), wants_reply)
        if wants_reply and not datagrams:
            message = crash_report.CrashMessage(self.host, wants_reply=True)
            datagrams = [crash_report.encode(message)]
        for data in datagrams:
            self.send(host, data)

    def _encode(
        self,
        reports: list[crash_report.CrashReport],
        completed: Iterable[bytes],
        wants_reply: bool,
    ) -> list[bytes]:
        """Encode evidence; only the last datagram asks for a reply."""
        completions = [
            crash_report.Completion(
                digest, self._age_ms(self.evidence.completed_at[digest])
            )
            for digest in completed
            if digest in self.evidence.completed_at
        ]
        messages = list(crash_report.split(self.host, reports, completions))
        if wants_reply and messages:
            messages[-1] = dataclasses.replace(messages[-1], wants_reply=True)
        return [crash_report.encode(message) for message in messages]

    def _make_own_report(self, crash_id: int) -> crash_report.CrashReport:
        """Return what this router had in flight, without what was cleared."""
        kept = self.evidence.crashes[crash_id].suspects
        return self._make_report(crash_id, kept & self.own_suspects[crash_id])

    def _make_report(
        self, crash_id: int, suspects: Iterable[bytes]
    ) -> crash_report.CrashReport:
        """Return a report on a known crash."""
        digests = tuple(sorted(suspects))
        crash = self.evidence.crashes[crash_id]
        return crash_report.CrashReport(
            crash.incarnation,
            self._age_ms(crash.occurred_at),
            digests,
            tuple(filter(self.evidence.is_proven, digests)),
        )

    def _age_ms(self, since: float) -> int:
        """Return the time since then, within what a message carries."""
        age_ms = max(0.0, 1000 * (self.clock() - since))
        return int(min(crash_report.MAX_AGE_MS, age_ms))


def _count_down(pending: dict) -> dict:
    """Return what has sendings to go after one more."""
    return {key: count - 1 for key, count in pending.items() if count > 1}


def _discard(host: str, data: bytes) -> None:
    """Drop a datagram while no socket is open."""
