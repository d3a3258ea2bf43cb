"""Requests bound to a route, and the outcomes of forwarding them."""

import dataclasses

from arbutusvale.protocol import proxying
from arbutusvale.protocol import routing
from arbutusvale.state import pool_room


@dataclasses.dataclass(slots=True)
class RoutedRequest:
    """A caller's request with its route, pool, priority and deadline.

    ``deadline`` is on the monotonic clock, in seconds; ``organisation`` is
    None for a request without a known key.  ``version`` is that of the
    configuration.  ``suspects`` are the digests under which crashes count
    against it, its own first, then those of its prompt parts.  ``work`` is its
    expected time in a slot over that of its pool's requests.  ``holds_room``
    is set while it counts in its pool's room.  ``late`` is set if its answer
    can't be in time any more.
    """

    caller_request: proxying.CallerRequest
    metadata: proxying.RequestMetadata
    route: routing.Route
    pool: str
    organisation: str | None
    priority: int
    deadline: float
    version: int
    suspects: tuple[bytes, ...]
    work: float = 1.0
    holds_room: bool = False
    late: bool = False

    @property
    def urgency(self) -> tuple[int, int]:
        """The order of urgency, 0 first: its priority, then its route's.

        An organisation's priority precedes those of routes.  What is late
        comes last: it must not make others late, too.
        """
        if self.late:
            return pool_room.LATE
        return self.priority, self.route.priority

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller has events of the stream from before."""
        if not self.route.is_stream:
            return False
        metadata = self.metadata
        return bool(metadata.resumes) or metadata.last_event_id is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller got its response, or its connection was closed early.

    ``cut_cause`` is why a response ended early, empty for a whole one.
    """

    result: str
    status: int
    cut_cause: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The server guarantees that it did not execute the request."""

    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The server gave no usable response; it may have run the request.

    ``head`` and ``body`` are a complete error response that may be passed
    on to the caller.
    """

    cause: str
    head: proxying.ResponseHead | None = None
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Ambiguous:
    """The server ended the stream, or failed, which looks the same."""

    cause: str


Outcome = Delivered | NotRun | Failed | Ambiguous


def error_body(cause: str) -> bytes:
    """Return the JSON body of an error response of the router itself."""
    return b'{"error":"%s"}\n' % cause.encode('latin-1', 'replace')
