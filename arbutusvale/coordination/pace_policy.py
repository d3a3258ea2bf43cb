"""Pace policy: how fast a started or recovered server gets its full load.

The pace is the requests a second that a server gets from all routers.  It
begins low and follows from how the server answers.

Load patterns covered:

- *a server returns to a pool short of room*: it looks like the least loaded
  one to every router at once, which would all send to it; its pace doubles
  while it answers as fast as others do with as much work;
- *a server answers slowly, refuses or fails after its start*: its pace falls
  by half at once, and rises again when its answers are good;
- *many routers*: each sees loads that are a second old, so a pace ends only
  far above the usual rate, when the server is loaded like the others;
- *a server returns to a pool with room*: all prompts are cached at others, so
  it would stay idle; it gets back the prompts that many share and that rank it
  first, and copies their parts; chats stay where only one engine knows them;
- *news of other routers are lost*: a pace without answers stays as it is, but
  no longer than ``MAX_PACED_S``.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from arbutusvale.coordination import edge_placement_policy

RISE_FACTOR = 2.0
FALL_FACTOR = 0.5
# A single slow answer of many is no reason to lower the pace.
MAX_BAD_SHARE = 0.2
# The part of the usual rate with which a server begins that declares nothing.
FIRST_SHARE = 0.25
MIN_PACE = 1.0
# A pace ends at this multiple of the usual rate of a server of the pool.
END_FACTOR = 4.0
MAX_PACED_S = 15.0
# An answer is slow beyond this multiple of the usual time to the first byte.
SLOW_FACTOR = 2.0
# Short answers vary by more than their length.
SLOW_FLOOR_S = 0.1
# A prompt that fewer engines have cached may be a chat.
MIN_HOLDERS = 2
# Where more of a pool has just returned, the surplus of the others fills it,
# and copies would queue at the few engines that have something cached.
MAX_RETURNING_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """How a server answered one request.

    ``first_byte_s`` is the time to its first byte, ``usual_s`` that of the
    pool for as much work, 0 if not known; ``waiting`` are the requests that
    the server says are in its queue.
    """

    succeeded: bool
    first_byte_s: float
    usual_s: float
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What is known at the end of an interval; rates are requests a second.

    ``good`` and ``bad`` count the answers of the interval at all routers.
    ``usual`` is the rate of a server of the pool without a pace, and
    ``ceiling`` the rate that the server declares, None if it isn't cold.
    """

    pace: float
    usual: float
    ceiling: float | None
    good: int
    bad: int
    paced_for_s: float


def first_pace(usual: float, declared: float | None) -> float:
    """Return the pace to begin with, in requests a second."""
    if declared is not None:
        return declared
    return max(MIN_PACE, FIRST_SHARE * usual)


def is_good(answer: Answer) -> bool:
    """Return whether an answer shows that a server keeps up."""
    if not answer.succeeded or answer.waiting:
        return False
    return answer.first_byte_s <= max(
        SLOW_FLOOR_S, SLOW_FACTOR * answer.usual_s
    )


def next_pace(progress: Progress) -> float | None:
    """Return the pace of the next interval, None for no limit."""
    pace = progress.pace
    answers = progress.good + progress.bad
    if answers and progress.bad > MAX_BAD_SHARE * answers:
        return max(MIN_PACE, FALL_FACTOR * pace)
    if progress.good:
        pace *= RISE_FACTOR
    if progress.ceiling is not None:
        # One step ahead of the rate that binds, for when that ends.
        return min(pace, RISE_FACTOR * progress.ceiling)
    if progress.paced_for_s > MAX_PACED_S:
        return None
    if progress.good and pace >= END_FACTOR * progress.usual:
        return None
    return pace


def restore_ranking(
    choice: edge_placement_policy.Choice,
    ranking: Sequence[str],
    candidates: Sequence[edge_placement_policy.Candidate],
    holders: Mapping[str, float],
    returning: Collection[str],
) -> edge_placement_policy.Choice:
    """Return a returning engine in place of one that has a prompt cached.

    ``returning`` are the ids of engines that are cold or paced.  One of them
    is chosen if it is ranked above the choice and has less than the mean load;
    it then has the prompt cached, too.
    """
    if choice.reason != 'cached' or len(holders) < MIN_HOLDERS:
        return choice
    returned = sum(engine_id in returning for engine_id in ranking)
    if returned > MAX_RETURNING_SHARE * len(ranking):
        return choice
    loads = {each.id: each.load for each in candidates if not each.ejected}
    mean = sum(loads.values()) / max(1, len(loads))
    for engine_id in ranking:
        if engine_id == choice.id:
            break
        if engine_id in returning and loads.get(engine_id, mean) < mean:
            return edge_placement_policy.Choice(
                engine_id, 'returning', choice.bound
            )
    return choice
