"""Declare what a measured fleet shows and lets the load tool do."""

import dataclasses
import typing

from arbutusvale.load import plan


@dataclasses.dataclass(frozen=True)
class Target:
    """Say where and for whom the load tool calls.

    ``routers`` are the callers' addresses.
    """

    routers: list[str]
    customers: list[plan.Customer]
    model: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Hold what one process of the fleet has used since its start.

    ``sent`` maps a kind of control message to bytes; ``request_bytes``
    counts what links carried for requests.
    """

    name: str
    role: str
    sent: dict[str, int]
    received: dict[str, int]
    request_bytes: int


class Fleet(typing.Protocol):
    """Show the engines' own state and change the pool."""

    async def loads(self) -> dict[str, int]:
        """Return the outstanding requests of each engine in the pool."""

    async def holders(self, organisation: str, chat: str) -> list[str]:
        """Return the engines in the pool that hold a chat's prefix."""

    async def usage(self) -> list[ProcessUsage]:
        """Return the byte counts of each router and sidecar."""

    async def leave(self) -> None:
        """Take one engine out of the pool, gracefully."""

    async def join(self) -> None:
        """Add one engine to the pool."""
