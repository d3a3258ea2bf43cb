"""Remember which requests were in flight when a backend server crashed."""

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
    """Hold the crashes that one request was in flight at.

    ``crashes`` are ids of crashes, unique in the fleet; ``cleared`` are
    those after which a server ran the request to its end.
    """

    crashes: set[str]
    cleared: set[str]
    expires_at: float

    @property
    def suspected(self) -> bool:
        """Tell whether a crash counts against the request."""
        return bool(self.crashes - self.cleared)

    @property
    def quarantined(self) -> bool:
        """Tell whether the request crashed too many servers."""
        return len(self.crashes - self.cleared) >= QUARANTINE_CRASHES


class SuspectTable:
    """Hold suspects by fingerprint, bounded in number and time.

    The sets of a suspect only grow, so that tables which exchange their
    entries in any order agree in the end.
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
        """Add what another table knows of a request."""
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
        """Return the suspect of this fingerprint, if there is one."""
        suspect = self.entries.get(fingerprint)
        if suspect is None:
            return None
        if suspect.expires_at <= self.clock():
            del self.entries[fingerprint]
            return None
        return suspect

    def record_success(self, fingerprint: bytes) -> None:
        """Trust a request that ran to its end, unless quarantined."""
        suspect = self.find(fingerprint)
        if suspect is not None and not suspect.quarantined:
            suspect.cleared |= suspect.crashes

    def list_newest(self) -> list[tuple[bytes, Suspect]]:
        """List a bounded number of suspects, newest first."""
        now = self.clock()
        unexpired = [
            (fingerprint, suspect)
            for fingerprint, suspect in self.entries.items()
            if suspect.expires_at > now
        ]
        unexpired.sort(key=lambda item: item[1].expires_at, reverse=True)
        return unexpired[:MAX_EXPORTED]

    def _evict_if_full(self) -> None:
        """Drop the entry that expires first when the table is full."""
        if len(self.entries) < MAX_FINGERPRINTS:
            return
        oldest = min(
            self.entries, key=lambda key: self.entries[key].expires_at
        )
        del self.entries[oldest]
