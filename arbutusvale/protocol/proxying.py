"""Requests and responses that an edge router proxies to backend servers."""

import dataclasses
import enum


class ServerState(enum.Enum):
    """Whether a backend server accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One listed incarnation of a backend server.

    ``started_at_ms`` is the Unix time of its start in milliseconds, 0 if
    unknown; it differs after a restart under the same id.
    ``software_version`` is that of the server's program, without an order.
    ``cold_for_s`` is for how long its entry says that it stays cold; as it
    counts down, it doesn't tell one entry from another.
    """

    id: str
    pool: str
    address: str
    data_centre: str
    slots: int
    state: ServerState
    started_at_ms: int
    software_version: str
    cold_for_s: float = dataclasses.field(default=0.0, compare=False)

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return host and port."""
        host, _, port = self.address.rpartition(':')
        return host, int(port)


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One complete request as a caller sent it.

    ``received_at`` is the monotonic time of its first byte, in seconds.
    ``target`` is the unchanged request target, with its query.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float
    has_body: bool

    @property
    def path(self) -> str:
        """Return the path of the target, without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which other requests may share, and its length."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata from the headers of a caller's request.

    ``time_left_s`` counts from the arrival; it is None if the caller set no
    deadline.  ``resumes`` is the attempt id that brought the first event of
    the stream that this request resumes; empty if it names none.  ``prompt``
    lists the parts of a prompt in order; the last one
    is specific to the request or its session.  ``validation_error`` says
    why the request is invalid; it is empty for a valid one.
    ``max_output_tokens`` is the longest answer, 0 if the caller names none.
    """

    attempt_id: str
    host: str
    api_key: str
    time_left_s: float | None
    last_event_id: int | None
    resumes: str
    model: str
    prompt: tuple[PromptPart, ...]
    validation_error: str
    max_output_tokens: int = 0

    @property
    def total_tokens(self) -> int:
        """Tokens of the prompt and of the longest answer."""
        return sum(part.tokens for part in self.prompt) + (
            self.max_output_tokens
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptParameters:
    """What a router adds to a request for one attempt at a server.

    ``cache_source`` is the address of an engine from which the receiving
    engine may copy the cached part of the prompt; empty for none.
    """

    server: BackendServer
    time_left_s: float
    organisation: str | None
    priority: int
    last_event_id: int | None
    cache_source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that a backend server reported with a response, in requests.

    ``slowdown`` is how long work takes there now: 1.0 as usual, 2.0 twice as
    long; None if the server doesn't say.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The status and headers of a backend server's response.

    ``headers`` are those that the caller receives.  ``not_run`` means that
    the server guarantees it did not run the request.  ``keep_alive_s`` is
    the idle timeout of the connection, None if the server names none.
    ``leaving`` means that the server says that it is going to stop.
    ``pause_s`` is for how long a server that turns requests away wants none
    from this router, None if it doesn't say or ``malformed_pause`` is what it
    says.  ``rate_limit`` is how many requests a second the server takes from
    all routers, None if it names no limit or ``malformed_limit``.
    ``cold_for_s`` is for how long it stays cold, 0 if it doesn't say.
    ``malformed_slowdown`` is what it says of its speed, if that is none.
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
    leaving: bool
    pause_s: float | None
    malformed_pause: str
    rate_limit: float | None = None
    malformed_limit: str = ''
    cold_for_s: float = 0.0
    malformed_slowdown: str = ''
