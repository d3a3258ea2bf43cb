"""Quarantine of requests and messages that crash backend servers.

A request in flight at a crash is a suspect; its second crash, at whichever
server of the pool, quarantines it.  Sidecars gossip suspects as well as
quarantined requests, as sets of crash ids: the sidecar that sees the second
crash must know of the first, and sets may be merged twice or in any order.
A server runs its suspects one at a time, so that a second crash implicates
one request and not all that shared the first.  All sidecars choose the same
server for a suspect, as duplicates of it may arrive at several at once.

Turns of a chat, or chats with one system message, differ as requests.  So the
messages that they share are suspects, too; a completed turn clears its own.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import time

from absl import logging

from arbutusvale.coordination import chat_body
from arbutusvale.protocol import messages
from arbutusvale.state import rendezvous
from arbutusvale.state import suspects

CRASH_AVOIDANCE_S = 10.0
SPREAD_TIMEOUT_S = 0.25
LOGGED_FINGERPRINT_DIGITS = 12


async def _spread_to_nobody() -> None:
    """Do nothing, as long as there is no pool to send suspects to."""


class Quarantine:
    """Crash counts by request, which decide what may not run any more.

    ``spread`` sends the exported suspects to the other sidecars of the pool
    at once and returns when they have them; ``list_vms`` lists the pool's
    live VMs.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        table: suspects.SuspectTable | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.clock = clock
        self.vm = vm
        self.incarnation = incarnation
        self.table = table or suspects.SuspectTable(clock)
        self.spread: Callable[[], Awaitable[None]] = _spread_to_nobody
        self.list_vms: Callable[[], list[str]] = list
        self.crashed_at: dict[str, float] = {}
        self.crash_count = 0
        self.suspect_lock = asyncio.Lock()

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request is quarantined."""
        suspect = self.table.find(fingerprint)
        return suspect is not None and suspect.quarantined

    def blocks(self, submit: messages.Submit) -> bool:
        """Return whether a request or a message of it is quarantined."""
        return self.is_quarantined(
            submit.fingerprint
        ) or self.table.blocks_messages(self.list_messages(submit))

    def list_messages(self, submit: messages.Submit) -> tuple[bytes, ...]:
        """List the digests of a chat's shared messages.

        Bodies are parsed only while there are suspects.
        """
        if not submit.chat or not self.table.entries:
            return ()
        return chat_body.digest_messages(submit.organisation, submit.body)

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether a crash counts against a request."""
        suspect = self.table.find(fingerprint)
        return suspect is not None and suspect.suspected

    def lock_if_suspect(
        self, fingerprint: bytes
    ) -> contextlib.AbstractAsyncContextManager:
        """Return the lock of suspects for a suspect, else a null context."""
        if self.is_suspect(fingerprint):
            return self.suspect_lock
        return contextlib.nullcontext()

    def clear(self, submit: messages.Submit) -> None:
        """Clear a request of its crashes, as a server ran it to its end."""
        self.table.record_success(submit.fingerprint)
        for digest in self.list_messages(submit):
            self.table.record_success(digest)

    async def record_crash_of(
        self, submits: Iterable[messages.Submit]
    ) -> None:
        """Suspect requests in flight at a crash, and their messages."""
        digests: set[bytes] = set()
        for submit in submits:
            digests.add(submit.fingerprint)
            if submit.chat:
                digests.update(
                    chat_body.digest_messages(submit.organisation, submit.body)
                )
        await self.record_crash(digests)

    async def record_crash(self, fingerprints: Iterable[bytes]) -> None:
        """Suspect all requests in flight at a crash and spread that.

        Returns when the other sidecars have it, or after a short timeout.
        """
        self.crash_count += 1
        crash = f'{self.vm}/{self.incarnation}/{self.crash_count}'
        for fingerprint in set(fingerprints):
            self._merge_suspect(fingerprint, [crash], [])
            logging.warning(
                'event=crash-suspect request=%s crash=%s quarantined=%s',
                fingerprint.hex()[:LOGGED_FINGERPRINT_DIGITS],
                crash,
                self.is_quarantined(fingerprint),
            )
        try:
            async with asyncio.timeout(SPREAD_TIMEOUT_S):
                await self.spread()
        except TimeoutError:
            logging.warning('event=suspects-not-spread crash=%s', crash)

    def export(self) -> list:
        """List suspects for gossip: fingerprint, crashes, cleared crashes."""
        return [
            [fingerprint, sorted(suspect.crashes), sorted(suspect.cleared)]
            for fingerprint, suspect in self.table.list_newest()
        ]

    def list_quarantined(self) -> list[bytes]:
        """List the fingerprints of quarantined requests."""
        return [
            fingerprint
            for fingerprint in list(self.table.entries)
            if self.is_quarantined(fingerprint)
        ]

    def merge(self, entries: list) -> None:
        """Merge the suspects of another sidecar; skips malformed entries."""
        for entry in entries:
            match entry:
                case [bytes() as fingerprint, [*crashes], [*cleared]]:
                    self._merge_suspect(
                        fingerprint,
                        _filter_strings(crashes),
                        _filter_strings(cleared),
                    )

    def choose_server(self, fingerprint: bytes) -> str:
        """Return the VM where a suspect should run; empty for any.

        VMs whose server the request crashed are excluded, and so are those
        with a recent crash, as their server may still be down.
        """
        suspect = self.table.find(fingerprint)
        if suspect is None or not suspect.suspected:
            return ''
        limit = self.clock() - CRASH_AVOIDANCE_S
        excluded_vms = {vm for vm, at in self.crashed_at.items() if at > limit}
        excluded_vms.update(_parse_vm(crash) for crash in suspect.crashes)
        names = [vm for vm in self.list_vms() if vm not in excluded_vms]
        return rendezvous.first(fingerprint.hex(), names)

    def _merge_suspect(
        self, fingerprint: bytes, crashes: list[str], cleared: list[str]
    ) -> None:
        """Merge one suspect into the table and record when VMs crashed."""
        known = self.table.find(fingerprint)
        seen = known.crashes if known is not None else set()
        for crash in set(crashes) - seen:
            self.crashed_at[_parse_vm(crash)] = self.clock()
        self.table.merge(fingerprint, crashes, cleared)


def _parse_vm(crash: str) -> str:
    """Return the VM in a crash id, which is VM/incarnation/number."""
    return crash.rsplit('/', 2)[0]


def _filter_strings(values: list) -> list[str]:
    """Return the strings of a list received from another process."""
    return [value for value in values if isinstance(value, str)]
