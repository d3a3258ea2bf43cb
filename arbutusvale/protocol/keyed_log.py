"""The read interface of a compacted log: a topic of keyed records."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record; a value of None is a tombstone, which deletes the key.

    ``offset`` is its offset in the topic, -1 if unknown.
    """

    key: str
    value: bytes | None
    offset: int = -1


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in a log; the era of a log that tells none is 0."""

    era: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A page of records and the offset of the next read.

    An offset has a meaning only within its ``era``, which rises each time
    the log comes back from an older copy of itself; None if unknown.
    """

    records: list[Record]
    next_offset: int
    era: int | None = None


class KeyedLog(typing.Protocol):
    """One topic; reads raise StoreUnavailable or StoreHistoryGone."""

    async def read_newest(self) -> Page:
        """Return the newest record of each key."""

    async def read_from(self, offset: int, wait_s: float) -> Page:
        """Return the records from ``offset`` on; long-poll if none."""

    def is_receiving(self) -> bool:
        """Return whether a response to the call in flight has begun."""

    def disconnect(self) -> None:
        """Close the connection, so that the next call opens a new one."""
