"""Routing configuration of an edge router: routes, pools, organisations."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """The weight of one pool in a route's traffic split."""

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The policy for requests under one path prefix of a host.

    ``timeout_s`` limits the time to the complete response;
    ``target_latency_s`` is the service objective for the time to the
    response, or to a stream's first event.  ``max_attempts`` limits the
    backend servers tried for one request of a caller; ``target_gap_s`` is
    the objective for the pause between events.
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
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        """Return whether responses are event streams."""
        return self.kind is RouteKind.STREAM


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """The owner of an API key; ``priority`` overrides the route's if set."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The backend servers of one service.

    ``max_connections`` limits the connections of all routers to one server.
    A server is cold for ``warmup_s`` after its start and takes
    ``warmup_rate`` requests a second from all routers meanwhile; both are 0
    for a pool that declares no warm-up.
    ``memory_tokens`` is how many tokens of prompts and answers each server
    holds; 0 if the configuration doesn't say.
    """

    name: str
    max_connections: int
    warmup_s: float = 0.0
    warmup_rate: float = 0.0
    memory_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests and idle time."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    ``organisations`` maps API keys to their owners; None means that no API
    key is required.
    """

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: CallerLimits
    organisations: dict[str, Organisation] | None
