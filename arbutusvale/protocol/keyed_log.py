"""Define what a topic with keyed records gives its readers."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Hold one record; a value of None drops the key.

    ``offset`` is its place in the topic, -1 if not known.
    """

    key: str
    value: bytes | None
    offset: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Hold records and the offset to read on from."""

    records: list[Record]
    next_offset: int


class KeyedLog(typing.Protocol):
    """Read one topic; raises StoreUnavailable and StoreHistoryGone."""

    async def read_newest(self) -> Page:
        """Return the newest record of each key."""

    async def read_from(self, offset: int, wait_s: float) -> Page:
        """Return the records from ``offset`` on, waiting for the first."""

    def is_receiving(self) -> bool:
        """Tell whether an answer to the call in flight has begun."""

    def disconnect(self) -> None:
        """Drop the connection, so that the next call opens a new one."""
