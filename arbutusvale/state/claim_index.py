"""Index of the claims read from the log; the first claim of a key wins.

The winner depends only on the records read and on their timestamps in the
log, so that all readers of the same range of the log agree.
"""

import collections
from collections.abc import Callable
import dataclasses
import hashlib
import time

DIGEST_BYTES = 16


@dataclasses.dataclass(slots=True)
class Claim:
    """The winning claim of a key.

    The key is protected until ``log_expires_at`` by the clock of the log
    service; ``expires_at`` is the same time by the local clock, counted
    from when the claim was read.  The VM that won may start the run until
    ``usable_until`` by its local clock.  ``used`` is set once this process
    has sent the request to its server.
    """

    fingerprint: bytes
    vm: str
    incarnation: int
    log_expires_at: float
    expires_at: float
    usable_until: float
    used: bool = False


def scope_key(organisation: str, service: str, key: str) -> bytes:
    """Return the digest of a key in its organisation and service."""
    text = '\0'.join((organisation, service, key))
    return hashlib.sha256(text.encode()).digest()[:DIGEST_BYTES]


class ClaimIndex:
    """The winning claims that the log still retains, by key.

    A later claim of a protected key loses but extends the protection,
    since a reader that started later may have read only that one.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.claims: collections.OrderedDict[bytes, Claim] = (
            collections.OrderedDict()
        )

    def add(self, key: bytes, claim: Claim, log_time: float) -> bool:
        """Add the next claim in log order; return whether it won its key.

        ``log_time`` is the timestamp of the claim's record.
        """
        self._expire(log_time)
        current = self.claims.get(key)
        if current is None or current.log_expires_at <= log_time:
            self.claims[key] = claim
            self.claims.move_to_end(key)
            return True
        current.log_expires_at = max(
            current.log_expires_at, claim.log_expires_at
        )
        current.expires_at = max(current.expires_at, claim.expires_at)
        self.claims.move_to_end(key)
        return False

    def find(self, key: bytes) -> Claim | None:
        """Return the winning claim of a key, None if there is none."""
        claim = self.claims.get(key)
        if claim is None or claim.expires_at <= self.clock():
            return None
        return claim

    def _expire(self, log_time: float) -> None:
        """Drop expired claims, from the oldest up to the first unexpired."""
        while self.claims:
            key, claim = next(iter(self.claims.items()))
            if claim.log_expires_at > log_time:
                return
            del self.claims[key]
