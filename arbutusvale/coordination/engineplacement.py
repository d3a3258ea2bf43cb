"""Choose the backend server of a request from what this router knows.

Load patterns answered:

- *returning prompts*: a request goes where the shared parts of its prompt
  were read last, so that they are not read again;
- *hot prompt*: once an engine stands at its bound, the next engine of the
  prompt's own ranking takes the surplus, the same one at every router, and
  copies the cached parts from the first instead of reading them;
- *join and return of engines*: prompts stay where they are cached; only
  new prompts and surplus reach an empty engine;
- *bursts of plain calls*: the least loaded server, a near one among equals.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

# Stays below the users' bound of factor x mean + 3, as counts are stale.
BOUND_MARGIN = 0.1
BOUND_RESERVE = 2.0
# A call that crosses data centres costs money, but less than a waiting one.
FAR_PENALTY = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a server that may be chosen.

    ``load`` is its estimated number of requests, ``near`` tells that it
    shares this router's data centre.
    """

    id: str
    load: float
    slots: int
    near: bool
    avoided: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Name the chosen server and why.

    ``cache_source`` is the id of the engine that holds the prompt when the
    chosen one doesn't; empty for none.  ``bound`` is the highest load at
    which the server would have been chosen by its cache.
    """

    id: str
    reason: str
    cache_source: str
    bound: float


def choose_engine(
    candidates: Sequence[Candidate],
    ranking: Sequence[str],
    holders: Mapping[str, float],
    load_factor: float,
) -> Choice | None:
    """Choose an engine for a prompt.

    ``ranking`` orders all candidates for this prompt, ``holders`` maps the
    engines that read it to when they did.  None without a candidate.
    """
    usable = [one for one in candidates if not one.avoided] or candidates
    if not usable:
        return None
    bound = find_bound(usable, load_factor)
    by_id = {one.id: one for one in usable}
    ranked = [by_id[one] for one in ranking if one in by_id]
    holding = [one for one in ranked if one.id in holders]
    for one in holding:
        if one.load + 1 <= bound:
            return Choice(one.id, 'cached', '', bound)
    source = _find_source(ranking, holders)
    for one in ranked:
        if one.load + 1 <= bound:
            reason = 'surplus' if holders else 'ranked'
            return Choice(one.id, reason, source, bound)
    least = min(usable, key=lambda one: one.load)
    return Choice(least.id, 'least-loaded', source, bound)


def choose_plain(candidates: Sequence[Candidate], tie: float) -> Choice | None:
    """Choose the least loaded server for its slots; near ones win ties.

    ``tie`` between 0 and 1 spreads equal choices over routers.
    """
    usable = [one for one in candidates if not one.avoided] or candidates
    if not usable:
        return None
    offset = int(tie * len(usable))
    turned = [*usable[offset:], *usable[:offset]]
    least = min(turned, key=_weigh_plain)
    return Choice(least.id, 'least-loaded', '', 0.0)


def find_bound(candidates: Sequence[Candidate], load_factor: float) -> float:
    """Return the load that an engine may reach by this request."""
    mean = sum(one.load for one in candidates) / len(candidates)
    return (load_factor - BOUND_MARGIN) * mean + BOUND_RESERVE


def _weigh_plain(candidate: Candidate) -> float:
    """Return the load for each slot, with a penalty for distance."""
    penalty = 0.0 if candidate.near else FAR_PENALTY
    return (candidate.load + penalty) / candidate.slots


def _find_source(ranking: Sequence[str], holders: Mapping[str, float]) -> str:
    """Return the engine to copy from: the best ranked one that holds it.

    An engine that no longer takes requests isn't ranked but still serves
    copies; the one that read the prompt last comes first among these.
    """
    for one in ranking:
        if one in holders:
            return one
    return max(holders, key=holders.__getitem__, default='')
