"""Index the claims that were read from the log, first of a key winning.

What wins depends on nothing but the records read and their log times, so
that all readers of one stretch of the log agree.
"""

import collections
from collections.abc import Callable
import dataclasses
import hashlib
import time

DIGEST_BYTES = 16


@dataclasses.dataclass(slots=True)
class Claim:
    """Hold the winning claim of a key.

    ``log_expires_at`` is a time of the log service, ``expires_at`` and
    ``usable_until`` are local clock times: the key is taken until the
    first two, and its own claimer may start the run until the third.
    ``used`` says that this process gave the request to its server.
    """

    fingerprint: bytes
    vm: str
    incarnation: int
    log_expires_at: float
    expires_at: float
    usable_until: float
    used: bool = False


def scope_key(organisation: str, service: str, key: str) -> bytes:
    """Digest a caller's key within its organisation and service."""
    text = '\0'.join((organisation, service, key))
    return hashlib.sha256(text.encode()).digest()[:DIGEST_BYTES]


class ClaimIndex:
    """Hold the winning claims that the log still retains.

    Any later claim of a held key loses, and extends the hold: a reader
    that started later may have seen only that one.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.claims: collections.OrderedDict[bytes, Claim] = (
            collections.OrderedDict()
        )

    def add(self, key: bytes, claim: Claim, log_time: float) -> bool:
        """Add the next claim in log order; True when it won its key."""
        self._expire(log_time)
        held = self.claims.get(key)
        if held is None or held.log_expires_at <= log_time:
            self.claims[key] = claim
            self.claims.move_to_end(key)
            return True
        held.log_expires_at = max(held.log_expires_at, claim.log_expires_at)
        held.expires_at = max(held.expires_at, claim.expires_at)
        self.claims.move_to_end(key)
        return False

    def find(self, key: bytes) -> Claim | None:
        """Return the winning claim of a key, if the log holds one."""
        claim = self.claims.get(key)
        if claim is None or claim.expires_at <= self.clock():
            return None
        return claim

    def _expire(self, log_time: float) -> None:
        """Drop claims from the oldest on that the log no longer holds."""
        while self.claims:
            key, claim = next(iter(self.claims.items()))
            if claim.log_expires_at > log_time:
                return
            del self.claims[key]
