"""Define what an edge router knows of routes, pools and organisations."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """Tell how often a request of a route may run."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Give a pool its weight among the pools of one route."""

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Describe the requests below one path prefix of a host.

    ``timeout_s`` bounds the whole answer; ``target_latency_s`` is the time
    to the answer, or to a stream's first event, that callers aim at.
    ``max_attempts`` counts backend servers for one caller attempt;
    ``target_gap_s`` is the longest pause between events that is on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int
    anonymous: bool
    resumable: bool
    target_gap_s: float

    @property
    def retryable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        """Tell whether answers are event streams."""
        return self.kind is RouteKind.STREAM


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Name the owner of an API key; ``priority`` None leaves the route's."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Describe the backend servers of one service.

    ``max_connections`` bounds the connections of all routers to one server.
    """

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take or idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the operators' configuration.

    ``organisations`` maps API keys to their owners; None means that no key
    is asked for.
    """

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: CallerLimits
    organisations: dict[str, Organisation] | None
