"""Interfaces to the platform, backend servers and links, with their data.

Adapters implement the protocols; tests use small fakes instead.
"""

from collections.abc import AsyncIterator
import dataclasses
import typing

from arbutusvale.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a log stream; ``time`` is Unix time in seconds."""

    offset: int
    time: float
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Records read from a stream.

    ``head`` is the offset that the next append will get, ``oldest`` the
    lowest retained offset, ``retention`` the seconds a record is kept.
    """

    records: list[LogRecord]
    head: int
    oldest: int
    retention: float


class LogService(typing.Protocol):
    """The platform's log service, with append-only streams."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raises :class:`errors.LogUnavailable` if nothing was appended and
        :class:`errors.AppendOutcomeUnknown` if that is unknown.
        """

    async def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Read from ``start`` on, waiting up to ``wait_s`` s for a record.

        Raises :class:`errors.LogUnavailable`, and
        :class:`errors.OffsetExpired` if ``start`` is no longer retained.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the platform's list.

    ``role`` is router or sidecar, ``address`` is for links or callers,
    ``admin`` for health and status, ``pool`` is empty for routers.
    Addresses are ``host:port``.
    """

    name: str
    role: str
    address: str
    admin: str
    data_centre: str
    pool: str
    state: str


class VmList(typing.Protocol):
    """The platform's list of live and leaving VMs."""

    async def read(self) -> list[Vm]:
        """Return the VMs; raises :class:`errors.LogUnavailable`."""


class WeightStore(typing.Protocol):
    """The platform's rate-limited store of model weights."""

    async def request_weights(self, model: str, version: str) -> float:
        """Request weights.

        Returns 0 if granted, else the seconds after which to retry.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRequest:
    """One request to a backend server.

    ``chat`` is the digest that keys the engine's prompt cache; ``timeout``
    is in seconds.
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
    """The status and headers of a backend server's response."""

    status: int
    headers: list


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """An engine has stored or evicted the cached prefix of a chat."""

    number: int
    kind: str
    chat: str


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventPage:
    """Cache events; ``missed`` if some were lost before or among them."""

    events: list[CacheEvent]
    next_number: int
    missed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to load a model version or to change the role.

    ``fence`` is the fencing number of the sidecar that sends it.
    """

    kind: str
    model: str
    version: str
    role: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """An engine's report of its load, which lags behind the actual load."""

    running: int
    waiting: int
    model: str
    version: str


class BackendServer(typing.Protocol):
    """The backend server that a sidecar runs requests on."""

    def run(
        self, request: ServerRequest
    ) -> AsyncIterator[ServerResponseHead | bytes]:
        """Run a request; yields one head, then chunks of the body.

        Raises :class:`errors.ServerUnreachable` if nothing was sent and
        :class:`errors.ServerResponseError` if the response is incomplete.
        """

    async def cancel(self, request_id: str) -> None:
        """Cancel a request at the server; failures are ignored."""

    async def healthy(self) -> bool:
        """Return whether the server passes its health check."""


class Engine(BackendServer, typing.Protocol):
    """A model engine, which has more operations than a plain service."""

    async def read_cache_events(
        self, start: int, wait_s: float
    ) -> CacheEventPage:
        """Read cache events from ``start`` on, waiting up to ``wait_s`` s."""

    async def read_load(self) -> EngineLoad:
        """Read the engine's load report."""

    async def send_order(self, order: EngineOrder) -> bool:
        """Send an order; returns False if its fencing number is outdated."""

    async def export_cache(self, chat: str) -> bytes:
        """Export the KV cache of a chat; empty if the engine has none."""

    async def import_cache(self, chat: str, data: bytes) -> bool:
        """Import the KV cache of a chat; returns False if it does not fit."""


class Link(typing.Protocol):
    """An authenticated connection to one VM, which carries messages."""

    vm: str
    incarnation: int
    role: str

    def send(self, message: messages.Message) -> None:
        """Queue a message for sending; raises :class:`errors.LinkClosed`."""

    def close(self) -> None:
        """Close the connection; queued messages may be lost."""

    @property
    def closed(self) -> bool:
        """Return whether the link is closed."""


class LinkHandler(typing.Protocol):
    """Receiver of messages and events of links."""

    async def receive(self, link: Link, message: messages.Message) -> None:
        """Handle one message; must not block, as later ones wait for it."""

    async def on_link_closed(self, link: Link) -> None:
        """Handle the closing of a link."""


class Links(typing.Protocol):
    """A pool of links to other VMs."""

    async def get(self, vm: str) -> Link:
        """Return the link to ``vm``, opening one if there is none.

        Raises :class:`errors.LinkClosed` if the VM cannot be reached.
        """

    def drop(self, vm: str) -> None:
        """Close the link to ``vm``, so that the next get opens another."""
