"""Define an admitted request and the outcomes of sending it."""

import dataclasses

from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing


@dataclasses.dataclass(slots=True)
class RoutedRequest:
    """Hold an admitted request and what its run is bound by.

    ``deadline`` is in steady seconds; ``organisation`` is None where no
    keys are configured.
    """

    caller_request: proxying.CallerRequest
    metadata: proxying.RequestMetadata
    route: routing.Route
    pool: str
    organisation: str | None
    priority: int
    deadline: float
    version: int
    fingerprint: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """Tell that the caller has its answer, or has been cut off from it."""

    result: str
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Tell that the server vouched for not having run the request."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """Tell that the server gave no usable answer.

    ``head`` and ``body`` hold a whole failure that may be passed on.
    """

    cause: str
    head: proxying.ResponseHead | None = None
    body: bytes = b''


Outcome = Delivered | NotRun | Failed


def error_body(cause: str) -> bytes:
    """Return the body of an own answer."""
    return b'{"error":"%s"}\n' % cause.encode('latin-1', 'replace')
