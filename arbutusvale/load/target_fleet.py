"""Interface between the load generator and the fleet under load."""

import dataclasses
import typing

from arbutusvale.load import workloads


@dataclasses.dataclass(frozen=True)
class Target:
    """Routers to call, and the accounts, model and service to use.

    ``routers`` are the addresses on which routers accept requests;
    ``service`` is a plain service that accepts reads and bookings.
    """

    routers: list[str]
    accounts: list[workloads.Account]
    model: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessTraffic:
    """Bytes that one process has sent and received since its start.

    The dicts map a kind of control message to bytes; ``request_bytes``
    counts the bytes of requests and answers on links.
    """

    name: str
    role: str
    sent_bytes_by_kind: dict[str, int]
    received_bytes_by_kind: dict[str, int]
    request_bytes: int


class Fleet(typing.Protocol):
    """Access to the engines' state and counters, and changes of the pool."""

    async def read_loads(self) -> dict[str, int]:
        """Return the requests in flight of each engine in the pool."""

    async def list_cache_holders(
        self, organisation: str, chat: str
    ) -> list[str]:
        """Return the engines in the pool that cache a chat's prompt prefix."""

    async def read_traffic(self) -> list[ProcessTraffic]:
        """Return the byte counts of each router and sidecar."""

    async def drain_engine(self) -> None:
        """Remove one engine from the pool after it drained."""

    async def start_engine(self) -> None:
        """Start one engine and add it to the pool."""
