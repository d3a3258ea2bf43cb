"""Declare the ports through which decisions reach the outside world.

Adapters implement them; tests put small fakes in their place.
"""

from collections.abc import AsyncIterator
import dataclasses
import typing

from arbutusvale.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """Hold one record of a log stream; ``time`` is seconds since 1970."""

    offset: int
    time: float
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Hold records read from a stream.

    ``head`` is the offset that the next append will get, ``oldest`` the
    lowest retained offset, ``retention`` the seconds a record is kept.
    """

    records: list[LogRecord]
    head: int
    oldest: int
    retention: float


class LogService(typing.Protocol):
    """Append to and read from the platform's log service."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raises :class:`errors.LogUnavailable` when nothing was appended and
        :class:`errors.LogAnswerLost` when that is not known.
        """

    async def read(self, stream: str, start: int, wait: float) -> LogPage:
        """Read from ``start`` on, waiting up to ``wait`` s for a record.

        Raises :class:`errors.LogUnavailable` and
        :class:`errors.LogExpired`.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """Describe one VM of the platform's list.

    ``role`` is router or sidecar, ``address`` where links or callers
    connect, ``admin`` the health and status port, ``pool`` empty for
    routers.  Addresses are ``host:port``.
    """

    name: str
    role: str
    address: str
    admin: str
    data_centre: str
    pool: str
    state: str


class VmList(typing.Protocol):
    """Read the platform's list of live and leaving VMs."""

    async def read(self) -> list[Vm]:
        """Return the list; raises :class:`errors.LogUnavailable`."""


class WeightStore(typing.Protocol):
    """Fetch model weights from the platform's rate-limited store."""

    async def request_weights(self, model: str, version: str) -> float:
        """Ask for weights.

        Returns 0 when granted, else the seconds after which to ask again.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRequest:
    """Hold one request as it is handed to a backend server.

    ``chat`` is the digest under which an engine keeps the prompt's prefix.
    """

    request_id: str
    method: str
    path: str
    headers: list
    body: bytes
    chat: str
    priority: int
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerResponseHead:
    """Hold the status and headers of a backend server's answer."""

    status: int
    headers: list


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Tell that an engine stored or evicted a chat's prefix."""

    number: int
    kind: str
    chat: str


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventPage:
    """Hold cache events; ``missed`` says that some were lost before."""

    events: list[CacheEvent]
    next_number: int
    missed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCommand:
    """Tell an engine to load a model version or to change its role.

    ``fence`` is the log offset that the giving sidecar took at its start.
    """

    kind: str
    model: str
    version: str
    role: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """Hold an engine's own, late report of its load."""

    running: int
    waiting: int
    model: str
    version: str


class BackendServer(typing.Protocol):
    """Reach the one backend server beside a sidecar."""

    def run(
        self, request: ServerRequest
    ) -> AsyncIterator[ServerResponseHead | bytes]:
        """Run a request: yields one head, then pieces of the body.

        Raises :class:`errors.ServerUnreachable` when nothing was sent and
        :class:`errors.ServerBroken` when the answer broke off.
        """

    async def cancel(self, request_id: str) -> None:
        """Ask the server to stop a request; failures are ignored."""

    async def healthy(self) -> bool:
        """Tell whether the server answers its health check."""


class Engine(BackendServer, typing.Protocol):
    """Reach a model engine, which offers more than a plain service."""

    async def read_cache_events(
        self, start: int, wait: float
    ) -> CacheEventPage:
        """Read cache events from number ``start`` on."""

    async def read_load(self) -> EngineLoad:
        """Read the engine's load report."""

    async def send_command(self, order: EngineCommand) -> bool:
        """Give an order; False when a newer fencing number refused it."""

    async def export_cache(self, chat: str) -> bytes:
        """Export a chat's KV cache; empty when the engine has none."""

    async def import_cache(self, chat: str, data: bytes) -> bool:
        """Import a chat's KV cache; False when the engine has no room."""


class Link(typing.Protocol):
    """Send messages to one VM over an authenticated connection."""

    vm: str
    incarnation: int
    role: str

    def send(self, message: messages.Message) -> None:
        """Queue a message; raises :class:`errors.LinkClosed`."""

    def close(self) -> None:
        """Close the connection; queued messages may be lost."""

    @property
    def closed(self) -> bool:
        """Tell whether the link is closed."""


class LinkHandler(typing.Protocol):
    """Take what arrives on links."""

    async def receive(self, link: Link, message: messages.Message) -> None:
        """Handle one message; must not wait long, or the link stalls."""

    async def on_link_closed(self, link: Link) -> None:
        """Handle the end of a link."""


class Links(typing.Protocol):
    """Open and keep links to other VMs."""

    async def get(self, vm: str) -> Link:
        """Return the open link to ``vm``, opening it at need.

        Raises :class:`errors.LinkClosed` when the VM cannot be reached.
        """

    def drop(self, vm: str) -> None:
        """Close the link to ``vm``, so that the next get opens another."""
