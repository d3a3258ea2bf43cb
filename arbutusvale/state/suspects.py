"""Requests that may crash backend servers: those in flight at a crash."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import time

QUARANTINE_CRASHES = 2
RETENTION_S = 3600.0
MAX_FINGERPRINTS = 4096
MAX_EXPORTED = 16


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request that was in flight at one or more crashes.

    ``crashes`` are crash ids, unique in the fleet; ``cleared`` are those
    after which a server completed the request, so they no longer count.
    """

    crashes: set[str]
    cleared: set[str]
    expires_at: float

    @property
    def suspected(self) -> bool:
        """Return whether a crash counts against the request."""
        return bool(self.crashes - self.cleared)

    @property
    def quarantined(self) -> bool:
        """Return whether too many crashes count against the request."""
        return len(self.crashes - self.cleared) >= QUARANTINE_CRASHES


class SuspectTable:
    """Suspects by request fingerprint, bounded in number and age.

    The sets of a suspect only grow, so tables converge whatever the order
    in which they exchange their entries.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.entries: dict[bytes, Suspect] = {}

    def merge(
        self,
        fingerprint: bytes,
        crashes: Iterable[str],
        cleared: Iterable[str] = (),
    ) -> None:
        """Merge another table's entry, or a new crash, into this table."""
        suspect = self.find(fingerprint)
        if suspect is None:
            self._evict_if_full()
            suspect = Suspect(set(), set(), self.clock() + RETENTION_S)
            self.entries[fingerprint] = suspect
        new_crashes = set(crashes) - suspect.crashes
        if new_crashes and not suspect.quarantined:
            suspect.crashes |= new_crashes
            suspect.expires_at = self.clock() + RETENTION_S
        suspect.cleared |= set(cleared) & suspect.crashes

    def find(self, fingerprint: bytes) -> Suspect | None:
        """Return the suspect with this fingerprint, or None."""
        suspect = self.entries.get(fingerprint)
        if suspect is None:
            return None
        if suspect.expires_at <= self.clock():
            del self.entries[fingerprint]
            return None
        return suspect

    def record_success(self, fingerprint: bytes) -> None:
        """Clear the crashes of a completed request, unless quarantined."""
        suspect = self.find(fingerprint)
        if suspect is not None and not suspect.quarantined:
            suspect.cleared |= suspect.crashes

    def list_newest(self) -> list[tuple[bytes, Suspect]]:
        """List up to ``MAX_EXPORTED`` suspects, newest first."""
        now = self.clock()
        unexpired = [
            (fingerprint, suspect)
            for fingerprint, suspect in self.entries.items()
            if suspect.expires_at > now
        ]
        unexpired.sort(key=lambda item: item[1].expires_at, reverse=True)
        return unexpired[:MAX_EXPORTED]

    def _evict_if_full(self) -> None:
        """Evict the entry that expires first if the table is full."""
        if len(self.entries) < MAX_FINGERPRINTS:
            return
        oldest = min(
            self.entries, key=lambda key: self.entries[key].expires_at
        )
        del self.entries[oldest]
