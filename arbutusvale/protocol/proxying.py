"""Define requests and answers that a router exchanges with servers itself."""

import dataclasses
import enum


class ServerState(enum.Enum):
    """Tell whether a backend server takes new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe one listed incarnation of a backend server.

    ``started_at_ms`` is the Unix time of its start in milliseconds, 0 if
    not told; a new start under an old id has another one.
    """

    id: str
    pool: str
    address: str
    data_centre: str
    slots: int
    state: ServerState
    started_at_ms: int

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return host and port."""
        host, _, port = self.address.rpartition(':')
        return host, int(port)


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """Hold one whole request as a caller sent it.

    ``received_at`` is the steady time of its first byte, in seconds.
    ``target`` is the request target as it came, with its query.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float
    has_body: bool

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition(b'?')[0].decode('latin-1')


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Hold what the headers of a caller's request say.

    ``time_left_s`` counts from the arrival, None when the caller set no
    deadline.  ``prompt`` lists the parts of a prompt in order; the last one
    belongs to the request or its session alone.  ``validation_error`` names
    what makes the request improper; it is empty for a proper one.
    """

    attempt_id: str
    host: str
    api_key: str
    time_left_s: float | None
    last_event_id: int | None
    model: str
    prompt: tuple[PromptPart, ...]
    validation_error: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptParameters:
    """Hold what a router adds to one sending of a request.

    ``cache_source`` is the address of an engine from which the receiving
    engine may copy what is cached of the prompt; empty for none.
    """

    server: BackendServer
    time_left_s: float
    organisation: str | None
    priority: int
    last_event_id: int | None
    cache_source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Hold the load that a backend server reported with an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Hold the head of a backend server's answer.

    ``headers`` are those that the caller is given.  ``not_run`` tells that
    the server vouches that the request did not run there.  ``keep_alive_s``
    bounds the idle time of the connection, None when nothing is said.
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    attempt_id: str
    signed: bool
    not_run: bool
    misdirected: bool
    load: ReportedLoad | None
    keep_alive_s: float | None
    encoded: bool
