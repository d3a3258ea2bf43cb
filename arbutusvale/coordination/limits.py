"""Limits on the request rate and concurrency of each organisation."""

from collections.abc import Callable
import dataclasses
import time

from arbutusvale.protocol import bundle

_CONCURRENCY_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is admitted and must be released when it ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitExceeded:
    """The request exceeds a limit; ``retry_after`` is in seconds."""

    limit: str
    retry_after: float


@dataclasses.dataclass(slots=True)
class _Usage:
    """An organisation's token bucket and requests in flight."""

    tokens: float
    refilled_at: float
    in_flight: int = 0


class OrganisationLimits:
    """A token bucket and a concurrency limit per organisation."""

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.usages: dict[str, _Usage] = {}

    def admit(
        self, name: str, organisation: bundle.Organisation
    ) -> Admitted | LimitExceeded:
        """Take a token and count the request, or return the limit hit."""
        now = self.clock()
        usage = self.usages.setdefault(name, _Usage(organisation.burst, now))
        refill = (now - usage.refilled_at) * organisation.rate
        usage.tokens = min(organisation.burst, usage.tokens + refill)
        usage.refilled_at = now
        if usage.in_flight >= organisation.concurrency:
            return LimitExceeded('concurrency', _CONCURRENCY_RETRY_S)
        if usage.tokens < 1:
            wait_s = (1 - usage.tokens) / organisation.rate
            return LimitExceeded('rate', wait_s)
        usage.tokens -= 1
        usage.in_flight += 1
        return Admitted()

    def release(self, name: str) -> None:
        """Release the concurrency slot of a request that ended."""
        self.usages[name].in_flight -= 1
