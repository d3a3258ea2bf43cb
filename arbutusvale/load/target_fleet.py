"""Declare what a measured fleet shows and lets the load tool do."""

import dataclasses
import typing

from arbutusvale.load import workloads


@dataclasses.dataclass(frozen=True)
class Target:
    """Say where and for whom the load tool calls.

    ``routers`` are the callers' addresses.
    """

    routers: list[str]
    accounts: list[workloads.Account]
    model: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessTraffic:
    """Hold what one process of the fleet has used since its start.

    ``sent`` maps a kind of control message to bytes; ``request_bytes``
    counts what links carried for requests.
    """

    name: str
    role: str
    sent_bytes_by_kind: dict[str, int]
    received_bytes_by_kind: dict[str, int]
    request_bytes: int


class Fleet(typing.Protocol):
    """Show the engines' own state and change the pool."""

    async def read_loads(self) -> dict[str, int]:
        """Return the outstanding requests of each engine in the pool."""

    async def list_cache_holders(
        self, organisation: str, chat: str
    ) -> list[str]:
        """Return the engines in the pool that hold a chat's prefix."""

    async def read_traffic(self) -> list[ProcessTraffic]:
        """Return the byte counts of each router and sidecar."""

    async def drain_engine(self) -> None:
        """Take one engine out of the pool, gracefully."""

    async def start_engine(self) -> None:
        """Add one engine to the pool."""
