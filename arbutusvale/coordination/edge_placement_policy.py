"""Choose the backend server of a request from what this router knows.

Load patterns answered:

- *new sessions*: their first parts are system prompts that other engines have
  read; the chosen engine copies what it lacks;
- *returning prompts*: a request goes where the shared parts of its prompt
  were read last, so that they are not read again;
- *hot prompt*: once an engine stands at its bound, the next engine of the
  prompt's own ranking takes the surplus, the same one at every router, and
  copies the cached parts from the first instead of reading them;
- *more work than all engines can do*: an engine whose slots are taken gets no
  request for its cache while another has free slots, or a shorter queue;
- *join and return of engines*: prompts stay where they are cached; only
  new prompts and surplus reach an empty engine;
- *plain calls from many routers*: a call is over before its router's count
  reaches the others, so all would crowd the server that looked idle; servers
  are drawn at random, those that stay loaded more seldom.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

# Stays below the users' bound of factor x mean + 3, as counts are stale.
LOAD_FACTOR_MARGIN = 0.1
LOAD_BOUND_RESERVE = 2.0
# Once slots are all taken a request waits: queues may differ by so much, in
# shares of the mean load, before the cache gives way.
QUEUE_MARGIN = 0.1
# A server with this many times its slots in requests is drawn hardly ever; a
# steeper slope would follow loads that are a second old.
SATURATION_FACTOR = 4
MIN_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a server that may be chosen.

    ``load`` is its estimated number of requests.
    """

    id: str
    load: float
    slots: int
    ejected: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Name the chosen server and why.

    ``bound`` is the highest load at which an engine is chosen by its cache.
    """

    id: str
    reason: str
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
    usable = [
        candidate for candidate in candidates if not candidate.ejected
    ] or candidates
    if not usable:
        return None
    bound = compute_load_bound(usable, load_factor)
    queue_bound = compute_queue_bound(usable)
    candidates_by_id = {candidate.id: candidate for candidate in usable}
    accepting = [
        candidates_by_id[name]
        for name in ranking
        if name in candidates_by_id
        and _accepts_load(candidates_by_id[name], bound, queue_bound)
    ]
    for candidate in accepting:
        if candidate.id in holders:
            return Choice(candidate.id, 'cached', bound)
    if accepting:
        reason = 'surplus' if holders else 'ranked'
        return Choice(accepting[0].id, reason, bound)
    least_loaded = min(usable, key=lambda candidate: candidate.load)
    return Choice(least_loaded.id, 'least-loaded', bound)


def find_cache_source(
    ranking: Sequence[str],
    holders_by_part: Sequence[Mapping[str, float]],
    chosen: str,
) -> str:
    """Return the engine to copy cached parts from; empty for none.

    ``levels`` holds the engines that read each shared part of the prompt,
    the deepest part first.  Copying beats reading: it costs a sixth, and a
    tenth of the time.
    """
    for holders in holders_by_part:
        if chosen in holders:
            return ''
        if holders:
            return _best_ranked_holder(ranking, holders)
    return ''


def choose_weighted(
    candidates: Sequence[Candidate], draw: float
) -> Choice | None:
    """Draw a server, one with much load more seldom; None without any.

    ``draw`` is between 0 and 1.
    """
    usable = [
        candidate for candidate in candidates if not candidate.ejected
    ] or candidates
    if not usable:
        return None
    weights = [_draw_weight(candidate) for candidate in usable]
    remaining = draw * sum(weights)
    for candidate, weight in zip(usable, weights, strict=True):
        remaining -= weight
        if remaining < 0:
            return Choice(candidate.id, 'drawn', 0.0)
    return Choice(usable[-1].id, 'drawn', 0.0)


def compute_load_bound(
    candidates: Sequence[Candidate], load_factor: float
) -> float:
    """Return the load that an engine may reach by this request."""
    mean = sum(candidate.load for candidate in candidates) / len(candidates)
    return (load_factor - LOAD_FACTOR_MARGIN) * mean + LOAD_BOUND_RESERVE


def compute_queue_bound(candidates: Sequence[Candidate]) -> float:
    """Return the load up to which an engine without free slots is chosen."""
    mean = sum(candidate.load for candidate in candidates) / len(candidates)
    return (1 + QUEUE_MARGIN) * mean + 1


def _accepts_load(
    candidate: Candidate, bound: float, queue_bound: float
) -> bool:
    """Tell whether an engine may be chosen by its place in the ranking."""
    load = candidate.load + 1
    return load <= bound and load <= max(candidate.slots, queue_bound)


def _draw_weight(candidate: Candidate) -> float:
    """Return the weight of a server in a draw."""
    utilisation = candidate.load / (candidate.slots * SATURATION_FACTOR)
    return candidate.slots * max(MIN_WEIGHT, 1 - utilisation)


def _best_ranked_holder(
    ranking: Sequence[str], holders: Mapping[str, float]
) -> str:
    """Return the best ranked engine that holds a part.

    An engine that no longer takes requests isn't ranked but still serves
    copies; the one that read the part last comes first among these.
    """
    for engine_id in ranking:
        if engine_id in holders:
            return engine_id
    return max(holders, key=holders.__getitem__, default='')
