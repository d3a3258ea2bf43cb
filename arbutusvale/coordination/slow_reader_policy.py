"""Decisions on connections whose other side reads or sends slowly.

Load patterns:

- Many callers that read slowly while servers send fast: each may buffer less
  the more is held in total, so that what is free remains for good readers.
- Callers that read nothing for long: the one that holds most bytes for the
  longest is cut first, a reader that takes bytes never.
- Callers that stop within their requests: each may take a share of what the
  others leave, so that small requests find room; those that hold most for the
  longest are refused first.
"""

from collections.abc import Iterable
import dataclasses

# Below this share of the budget, connections buffer as much as they do alone.
PRESSURE_SHARE = 0.5
# Above this share of the budget, stalled readers are cut.
CUT_SHARE = 0.75
# Above this share of the budget, responses wait until readers were cut.
WAIT_SHARE = 0.875
# One connection may buffer this share of what is free.
ALLOWANCE_SHARE = 1 / 1024
# One read from a socket, so that a response goes on with a spent budget, too.
MIN_READ_BYTES = 4096
# The same while responses wait: all connections together stay within the rest.
MIN_READ_SPENT_BYTES = 256
# A request that is being received may take this share of what others leave.
REQUEST_SHARE = 0.5
# A reader without progress for so long is stalled: longer than a lost packet
# or two take to be sent again.  With a spent budget a shorter time has to do,
# still longer than the round trip of a reader that takes bytes.
MIN_STALL_S = 1.0
MIN_STALL_SPENT_S = 0.1
# A server may cut off a response that has remained unread for so long.
UNREAD_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A connection with unsent bytes or an incomplete request.

    ``number`` identifies it; ``stalled_s`` is for how many seconds it has
    taken none, or since when the request arrives.
    """

    number: int
    held_bytes: int
    stalled_s: float


def calm_bytes(limit_bytes: int) -> int:
    """Return up to how many held bytes nothing is limited."""
    return int(limit_bytes * PRESSURE_SHARE)


def allowance_bytes(limit_bytes: int, held_bytes: int, maximum: int) -> int:
    """Return how many bytes one connection may buffer."""
    if held_bytes <= calm_bytes(limit_bytes):
        return maximum
    free_bytes = max(0, limit_bytes - held_bytes)
    return min(maximum, int(free_bytes * ALLOWANCE_SHARE))


def may_hold(limit_bytes: int, others_bytes: int, own_bytes: int) -> bool:
    """Return whether a request may take ``own_bytes`` beside the others."""
    return own_bytes <= REQUEST_SHARE * (limit_bytes - others_bytes)


def read_size(limit_bytes: int, held_bytes: int, maximum: int) -> int:
    """Return how many bytes to read at once from a socket."""
    if must_wait(limit_bytes, held_bytes):
        return MIN_READ_SPENT_BYTES
    return max(
        MIN_READ_BYTES, allowance_bytes(limit_bytes, held_bytes, maximum)
    )


def must_cut(limit_bytes: int, held_bytes: int) -> bool:
    """Return whether stalled connections have to be cut."""
    return held_bytes > limit_bytes * CUT_SHARE


def must_wait(limit_bytes: int, held_bytes: int) -> bool:
    """Return whether responses have to wait for readers to be cut."""
    return held_bytes > limit_bytes * WAIT_SHARE


def min_stall_s(limit_bytes: int, held_bytes: int) -> float:
    """Return after how many seconds without progress one is cut."""
    free_share = max(0.0, 1 - held_bytes / limit_bytes) / (1 - CUT_SHARE)
    return MIN_STALL_SPENT_S + min(1.0, free_share) * (
        MIN_STALL_S - MIN_STALL_SPENT_S
    )


def choose_cuts(
    holders: Iterable[Holder], limit_bytes: int, held_bytes: int
) -> list[int]:
    """Return the numbers of the connections to cut, the first one first."""
    stall_s = min_stall_s(limit_bytes, held_bytes)
    stalled = sorted(
        (
            holder
            for holder in holders
            if holder.held_bytes and holder.stalled_s >= stall_s
        ),
        key=lambda holder: holder.held_bytes * holder.stalled_s,
        reverse=True,
    )
    cuts = []
    for holder in stalled:
        if not must_cut(limit_bytes, held_bytes):
            break
        cuts.append(holder.number)
        held_bytes -= holder.held_bytes
    return cuts
