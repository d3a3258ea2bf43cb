"""Requests, and messages of chats, that were in flight at a crash."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import hashlib
import time

QUARANTINE_CRASHES = 2
# Most messages in flight at a crash are innocent, and many chats share them.
MESSAGE_QUARANTINE_CRASHES = 4
_MESSAGE = b'message:'
RETENTION_S = 3600.0
MAX_FINGERPRINTS = 4096
MAX_EXPORTED = 48


def digest_message(text: bytes) -> bytes:
    """Return the fingerprint of a message that chats may share."""
    return _MESSAGE + hashlib.sha256(text).digest()[:16]


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request or message that was in flight at one or more crashes.

    ``crashes`` are crash ids, unique in the fleet; ``cleared`` are those
    after which a server completed the request, so they no longer count.
    ``limit`` is how many crashes quarantine it.
    """

    crashes: set[str]
    cleared: set[str]
    expires_at: float
    limit: int = QUARANTINE_CRASHES

    @property
    def suspected(self) -> bool:
        """Return whether a crash counts against the request."""
        return self.crash_count > 0

    @property
    def quarantined(self) -> bool:
        """Return whether too many crashes count against the request."""
        return self.crash_count >= self.limit

    @property
    def crash_count(self) -> int:
        """Return how many crashes count against the request."""
        return len(self.crashes - self.cleared)


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
            suspect = Suspect(
                set(),
                set(),
                self.clock() + RETENTION_S,
                _get_limit(fingerprint),
            )
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

    def blocks_messages(self, digests: Collection[bytes]) -> bool:
        """Return whether a chat holds quarantined messages.

        Of messages that were in flight at the same crashes it must hold all.
        """
        for digest in digests:
            suspect = self.find(digest)
            if suspect is None or not suspect.quarantined:
                continue
            counted = suspect.crashes - suspect.cleared
            if all(
                other in digests
                for other, entry in self.entries.items()
                if _is_message(other)
                and entry.crashes - entry.cleared == counted
            ):
                return True
        return False

    def record_success(self, fingerprint: bytes) -> None:
        """Clear the crashes of a completed request, unless quarantined.

        A quarantined message is cleared, too: it ran as one of several that
        nothing had told apart.
        """
        suspect = self.find(fingerprint)
        if suspect is None:
            return
        if _is_message(fingerprint) or not suspect.quarantined:
            suspect.cleared |= suspect.crashes

    def list_newest(self) -> list[tuple[bytes, Suspect]]:
        """List up to ``MAX_EXPORTED`` suspects.

        Those with most crashes come first, newer ones before others.
        """
        now = self.clock()
        unexpired = [
            (fingerprint, suspect)
            for fingerprint, suspect in self.entries.items()
            if suspect.expires_at > now
        ]
        unexpired.sort(
            key=lambda item: (item[1].crash_count, item[1].expires_at),
            reverse=True,
        )
        return unexpired[:MAX_EXPORTED]

    def _evict_if_full(self) -> None:
        """Evict the entry that expires first if the table is full."""
        if len(self.entries) < MAX_FINGERPRINTS:
            return
        oldest = min(
            self.entries, key=lambda key: self.entries[key].expires_at
        )
        del self.entries[oldest]


def _get_limit(fingerprint: bytes) -> int:
    """Return how many crashes quarantine what has this fingerprint."""
    if _is_message(fingerprint):
        return MESSAGE_QUARANTINE_CRASHES
    return QUARANTINE_CRASHES


def _is_message(fingerprint: bytes) -> bool:
    """Return whether a fingerprint is that of a message of a chat."""
    return fingerprint.startswith(_MESSAGE)
