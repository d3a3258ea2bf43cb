"""Decisions on connections whose other side reads slowly.

Load patterns:

- Many callers that read slowly while servers send fast: each may buffer less
  the more is held in total, so that what is free remains for good readers.
- Callers that read nothing for long: the one that holds most bytes for the
  longest is cut first, a reader that takes bytes never.
"""

from collections.abc import Iterable
import dataclasses

# Below this share of the budget, connections buffer as much as they do alone.
PRESSURE_SHARE = 0.5
# Above this share of the budget, stalled readers are cut.
CUT_SHARE = 0.75
# One connection may buffer this share of what is free.
ALLOWANCE_SHARE = 1 / 1024
# One read from a socket, so that a response goes on with a spent budget, too.
MIN_READ_BYTES = 4096
# A reader without progress for so long is stalled: longer than a lost packet
# or two take to be sent again.
MIN_STALL_S = 1.0
# A server's connection that broke in so long a wait for the caller may have
# been cut because its response remained unread.
UNREAD_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """A connection with unsent bytes, and since when it has taken none.

    ``number`` identifies it; ``stalled_s`` is in seconds.
    """

    number: int
    held_bytes: int
    stalled_s: float


def allowance_bytes(limit_bytes: int, held_bytes: int, maximum: int) -> int:
    """Return how many bytes one connection may buffer."""
    if held_bytes <= limit_bytes * PRESSURE_SHARE:
        return maximum
    free_bytes = max(0, limit_bytes - held_bytes)
    return min(maximum, int(free_bytes * ALLOWANCE_SHARE))


def read_size(limit_bytes: int, held_bytes: int, maximum: int) -> int:
    """Return how many bytes to read at once from a server."""
    return max(
        MIN_READ_BYTES, allowance_bytes(limit_bytes, held_bytes, maximum)
    )


def must_cut(limit_bytes: int, held_bytes: int) -> bool:
    """Return whether stalled readers have to be cut."""
    return held_bytes > limit_bytes * CUT_SHARE


def choose_cuts(
    readers: Iterable[Reader], limit_bytes: int, held_bytes: int
) -> list[int]:
    """Return the numbers of the readers to cut, the first one first."""
    stalled = sorted(
        (
            reader
            for reader in readers
            if reader.held_bytes and reader.stalled_s >= MIN_STALL_S
        ),
        key=lambda reader: reader.held_bytes * reader.stalled_s,
        reverse=True,
    )
    cuts = []
    for reader in stalled:
        if not must_cut(limit_bytes, held_bytes):
            break
        cuts.append(reader.number)
        held_bytes -= reader.held_bytes
    return cuts
