"""Keep requests that crash backend servers away from further servers.

A request in flight at a crash is a suspect; its second crash, at whichever
server of the pool, quarantines it.  Sidecars exchange suspects as well as
quarantined requests, as sets of crash ids: the sidecar that meets the
second crash must know of the first, and a set may be merged twice or in
any order.  A server runs its suspects one at a time, so that the second
crash names one request and not all that shared the first.  All sidecars
send a suspect to the same server first, as copies of it may arrive side by
side.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import time

from absl import logging

from arbutusvale.state import rendezvous
from arbutusvale.state import suspects

AVOIDED_S = 10.0
SPREAD_TIMEOUT_S = 0.25
SHOWN_DIGITS = 12


async def _spread_to_nobody() -> None:
    """Stand in for the exchange with pool mates."""


class Quarantine:
    """Count crashes per request and tell which requests may not run.

    ``spread`` sends the exported suspects to the pool mates at once and
    returns when they have them; ``list_vms`` names the pool's live VMs.
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
        self.crashes = 0
        self.turn = asyncio.Lock()

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tell whether a request is quarantined."""
        suspect = self.table.find(fingerprint)
        return suspect is not None and suspect.quarantined

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Tell whether a crash counts against a request."""
        suspect = self.table.find(fingerprint)
        return suspect is not None and suspect.suspected

    def take_turn(
        self, fingerprint: bytes
    ) -> contextlib.AbstractAsyncContextManager:
        """Return what a run must hold: the lock of suspects, or nothing."""
        if self.is_suspect(fingerprint):
            return self.turn
        return contextlib.nullcontext()

    def clear(self, fingerprint: bytes) -> None:
        """Trust a request again that a server ran to its end."""
        self.table.record_success(fingerprint)

    async def record_crash(self, fingerprints: Iterable[bytes]) -> None:
        """Suspect all requests in flight at a crash and tell pool mates.

        Returns when the mates know, or after a short timeout.
        """
        self.crashes += 1
        crash = f'{self.vm}/{self.incarnation}/{self.crashes}'
        for fingerprint in set(fingerprints):
            self._merge(fingerprint, [crash], [])
            logging.warning(
                'event=crash-suspect request=%s crash=%s quarantined=%s',
                fingerprint.hex()[:SHOWN_DIGITS],
                crash,
                self.is_quarantined(fingerprint),
            )
        try:
            async with asyncio.timeout(SPREAD_TIMEOUT_S):
                await self.spread()
        except TimeoutError:
            logging.warning('event=suspects-not-spread crash=%s', crash)

    def export(self) -> list:
        """List suspects for gossip: fingerprint, crashes, cleared ones."""
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
        """Take over suspects from a mate's gossip, ignoring odd entries."""
        for entry in entries:
            match entry:
                case [bytes() as fingerprint, [*crashes], [*cleared]]:
                    self._merge(
                        fingerprint, _keep_text(crashes), _keep_text(cleared)
                    )

    def choose_server(self, fingerprint: bytes) -> str:
        """Return the VM where a suspect should run; empty for any.

        It is none that the request has crashed, and none that crashed of
        late, as that may still be down.
        """
        suspect = self.table.find(fingerprint)
        if suspect is None or not suspect.suspected:
            return ''
        limit = self.clock() - AVOIDED_S
        avoided = {vm for vm, at in self.crashed_at.items() if at > limit}
        avoided.update(_name_vm(crash) for crash in suspect.crashes)
        names = [vm for vm in self.list_vms() if vm not in avoided]
        return rendezvous.first(fingerprint.hex(), names)

    def _merge(
        self, fingerprint: bytes, crashes: list[str], cleared: list[str]
    ) -> None:
        """Add to the table and note which VMs crashed of late."""
        known = self.table.find(fingerprint)
        seen = known.crashes if known is not None else set()
        for crash in set(crashes) - seen:
            self.crashed_at[_name_vm(crash)] = self.clock()
        self.table.merge(fingerprint, crashes, cleared)


def _name_vm(crash: str) -> str:
    """Return the VM that a crash id names."""
    return crash.rsplit('/', 2)[0]


def _keep_text(values: list) -> list[str]:
    """Keep the strings of a list that came from outside."""
    return [value for value in values if isinstance(value, str)]
