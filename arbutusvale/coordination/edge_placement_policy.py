"""Placement policy: choose the backend server of a request.

Engines cache the prompts that they process.  They are chosen by rendezvous
hashing with bounded loads: every router has the same ranking for a prompt,
and an engine above the load bound is skipped.

Load patterns covered:

- *new sessions*: they begin with system prompts that other engines have
  cached; the chosen engine copies the parts that it lacks;
- *repeated prompts*: a request goes to an engine that has the shared parts of
  its prompt cached, so that they are not processed again;
- *the same new prompt from many callers at once*: the first request makes an
  engine read its parts, the others wait for that, briefly, as reading them
  again on another engine takes at least as long;
- *hot prompt*: one that asks for more than an engine takes beside its other
  work gets further engines before the first is at its load bound; they copy
  the cached parts instead of processing them;
- *surplus*: when an engine reaches its load bound, the next one in the
  prompt's ranking takes what is beyond, the same one at every router;
- *many routers*: each hears of the others' requests too late to stay below the
  users' bound, so its own is lower, the more so the older the counts;
- *engines that can't be chosen*: evacuated ones, and those that are cold and
  have had their requests, count in the pool's mean, so the bound of the others
  falls to what the whole pool allows;
- *overload of all engines*: an engine without free slots isn't chosen for its
  cache while another one has free slots or a shorter queue;
- *engines join or return*: prompts stay where they are cached; only new
  prompts, copies of hot ones and surplus go to an engine with an empty cache;
- *uneven servers*: some take several times as long as usual, for a moment or
  for many seconds; an engine is passed over, also for its cache, if the next
  one is expected to answer much sooner, and a slow server of plain calls is
  drawn more seldom;
- *short plain calls from many routers*: they end before other routers learn of
  them, so choosing the least loaded server would make all routers crowd onto
  the same one; servers are drawn at random, with a lower weight for those
  that stay loaded.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import math

# Stay below the required bound of factor x mean + 3, as load counts are stale.
LOAD_FACTOR_MARGIN = 0.1
LOAD_BOUND_RESERVE = 2.0
# The older the counts, the more requests reach an engine beyond them.
FRESH_LOAD_S = 0.25
MAX_STALE_S = 2.0
STALE_MARGIN_PER_S = 0.2
# When all slots are taken, an engine is still chosen for its cache while its
# load exceeds the mean by no more than this share.
QUEUE_MARGIN = 0.1
# A server with this many requests per slot gets the minimum weight; a steeper
# slope would react to load counts that are a second old.
SATURATION_FACTOR = 4
MIN_WEIGHT = 0.05
# A request leaves a slow engine only if it takes so much less time elsewhere:
# speeds change while the news of them travel, and a copy costs.
MIN_SPEEDUP = 1.5
# An engine is slow for a request if its first event is expected to take more
# than this share of the target latency; the rest is for queues and prompts
# that are longer than usual.
MAX_TARGET_SHARE = 0.5
# Whatever the target, a slower engine ends requests so seldom that it queues
# what others would have served.
MAX_TOLERATED_SLOWDOWN = 3.0
# How much longer a token takes with all slots in use than with one.
FULL_ENGINE_DELAY = 2.0
# Calls at a slow server are late, so it gets fewer than its speed allows.
SPEED_EXPONENT = 2
# The next engine of a hot prompt is the least loaded of the next few in its
# ranking, so that routers agree on it mostly, and a new one gets work.
HOT_CHOICES = 3
# A hot prompt gets so many engines that it fills this share of what the load
# bound leaves beside the mean load, as counts of other routers come late.
HOT_LOAD_SHARE = 0.33
# Fewer tokens are read in less time than news take between routers.
MIN_AWAITED_TOKENS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be chosen.

    ``load`` is its estimated number of requests; ``ejected`` means that
    outlier detection avoids it for now; ``slowdown`` is how long work takes
    there, 1.0 as usual.
    """

    id: str
    load: float
    slots: int
    ejected: bool
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A chosen server and the reason.

    ``bound`` is the highest load that the engine may reach; 0 for plain
    calls.
    """

    id: str
    reason: str
    bound: float


class PartState(enum.Enum):
    """What is known of a prompt part at the engines of a pool."""

    CACHED = 'cached'
    BEING_READ = 'being read'
    UNKNOWN = 'unknown'


def is_worth_awaiting(parts: Sequence[tuple[PartState, int]]) -> bool:
    """Return whether a request should wait for parts that are being read.

    ``parts`` has the state and tokens of the shared parts, in their order.  A
    part is only of use if all before it are cached too.
    """
    awaited_tokens = 0
    for state, tokens in parts:
        match state:
            case PartState.BEING_READ:
                awaited_tokens += tokens
            case PartState.UNKNOWN:
                break
    return awaited_tokens >= MIN_AWAITED_TOKENS


def choose_engine(
    candidates: Sequence[Candidate],
    ranking: Sequence[str],
    holders: Mapping[str, float],
    load_factor: float,
    load_age_s: float,
    prompt_load: float = 0.0,
    draw: float = 0.0,
    tolerated_slowdown: float = MIN_SPEEDUP,
) -> Choice | None:
    """Choose an engine for a prompt.

    ``ranking`` orders the ids of all candidates for this prompt; ``holders``
    maps each engine that has the prompt cached to the time at which it was
    cached; ``load_age_s`` is how old the counts of other routers get.
    ``prompt_load`` is how many requests in flight the prompt asks for;
    ``draw``, between 0 and 1, picks among the engines that hold a hot one.
    An engine is passed over only beyond ``tolerated_slowdown``.  Return None
    without a candidate.
    """
    usable = [
        candidate for candidate in candidates if not candidate.ejected
    ] or candidates
    if not usable:
        return None
    mean = sum(candidate.load for candidate in usable) / len(usable)
    bound = compute_load_bound(mean, load_factor, load_age_s)
    queue_bound = compute_queue_bound(mean)
    candidates_by_id = {candidate.id: candidate for candidate in usable}
    accepting = [
        candidates_by_id[name]
        for name in ranking
        if name in candidates_by_id
        and _accepts_load(candidates_by_id[name], bound, queue_bound)
    ]
    if accepting:
        # Sorting is stable, so both parts keep the order of the ranking.
        if holders:
            accepting.sort(key=lambda candidate: candidate.id not in holders)
        chosen = _find_faster(accepting, tolerated_slowdown)
        room = max(1.0, HOT_LOAD_SHARE * (bound - mean))
        needed = math.ceil(prompt_load / room)
        if holders and needed > 1:
            engines = _list_hot_engines(accepting, holders, needed)
            if engines:
                chosen = _draw_by_room(engines, bound, draw)
        reason = 'surplus' if holders else 'ranked'
        if chosen.id in holders:
            reason = 'cached'
        elif holders and needed > 1:
            reason = 'hot'
        elif chosen is not accepting[0]:
            reason = 'faster'
        return Choice(chosen.id, reason, bound)
    least_loaded = min(usable, key=lambda candidate: candidate.load)
    return Choice(least_loaded.id, 'least-loaded', bound)


def find_cache_source(
    ranking: Sequence[str],
    holders_by_part: Sequence[Mapping[str, float]],
    chosen: str,
) -> str:
    """Return the id of the engine to copy cached parts from; empty for none.

    ``holders_by_part`` has the engines that cache each shared part of the
    prompt, the deepest part first.  Copying a part costs a sixth of
    processing it, and takes a tenth of the time.
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
    """Draw a server at random, weighted by free capacity; None without any.

    ``draw`` is between 0 and 1.
    """
    usable = [
        candidate for candidate in candidates if not candidate.ejected
    ] or candidates
    if not usable:
        return None
    weights = [_draw_weight(candidate) for candidate in usable]
    chosen = usable[_draw_index(weights, draw)]
    return Choice(chosen.id, 'drawn', 0.0)


def compute_load_bound(
    mean: float, load_factor: float, load_age_s: float
) -> float:
    """Return the load that an engine may reach with this request.

    ``mean`` is the mean load of the pool's engines; ``load_age_s`` is how old
    the counts of other routers get.
    """
    stale_s = min(max(0.0, load_age_s - FRESH_LOAD_S), MAX_STALE_S)
    margin = LOAD_FACTOR_MARGIN + STALE_MARGIN_PER_S * stale_s
    return (load_factor - margin) * mean + LOAD_BOUND_RESERVE


def scale_load_factor(
    load_factor: float, loads: Sequence[float], other_loads: Sequence[float]
) -> float:
    """Return the multiple of the candidates' mean load that is allowed.

    ``loads`` are those of the candidates, ``other_loads`` of servers that
    take no requests, but count in the mean that ``load_factor`` refers to.
    """
    mean = sum(loads) / max(1, len(loads))
    total = sum(loads) + sum(other_loads)
    pool_mean = total / max(1, len(loads) + len(other_loads))
    if pool_mean >= mean:
        return load_factor
    return load_factor * pool_mean / mean


def compute_queue_bound(mean: float) -> float:
    """Return the load that an engine without free slots may reach."""
    return (1 + QUEUE_MARGIN) * mean + 1


def _accepts_load(
    candidate: Candidate, bound: float, queue_bound: float
) -> bool:
    """Check whether an engine may take one more request."""
    load = candidate.load + 1
    return load <= bound and load <= max(candidate.slots, queue_bound)


def _list_hot_engines(
    accepting: Sequence[Candidate],
    holders: Mapping[str, float],
    needed: int,
) -> list[Candidate]:
    """List the engines for a hot prompt, with one more if they are too few.

    ``accepting`` has the engines that hold the prompt first.
    """
    engines = [candidate for candidate in accepting if candidate.id in holders]
    others = accepting[len(engines) :]
    if len(holders) < needed and others:
        engines.append(min(others[:HOT_CHOICES], key=_relative_time))
    return engines[:needed]


def _draw_by_room(
    engines: Sequence[Candidate], bound: float, draw: float
) -> Candidate:
    """Draw an engine, weighted by what it takes up to its load bound."""
    weights = [
        (bound - engine.load) / engine.slowdown**SPEED_EXPONENT
        for engine in engines
    ]
    return engines[_draw_index(weights, draw)]


def _draw_index(weights: Sequence[float], draw: float) -> int:
    """Return the index that ``draw``, between 0 and 1, picks by weight."""
    remaining = draw * sum(weights)
    for index, weight in enumerate(weights):
        remaining -= weight
        if remaining < 0:
            return index
    return len(weights) - 1


def compute_tolerated_slowdown(
    target_latency_s: float, first_event_s: float
) -> float:
    """Return the slowdown up to which a request is in time on an engine.

    ``first_event_s`` is how long its first event usually takes; 0 if that
    isn't known.
    """
    if not first_event_s:
        return MIN_SPEEDUP
    slowdown = MAX_TARGET_SHARE * target_latency_s / first_event_s
    return min(max(MIN_SPEEDUP, slowdown), MAX_TOLERATED_SLOWDOWN)


def _find_faster(
    candidates: Sequence[Candidate], tolerated_slowdown: float
) -> Candidate:
    """Return the first of the candidates unless it is slow.

    Then it is the next one that is expected to take much less time.
    """
    chosen = candidates[0]
    for candidate in candidates:
        if chosen.slowdown <= tolerated_slowdown:
            break
        if _relative_time(candidate) * MIN_SPEEDUP <= _relative_time(chosen):
            chosen = candidate
    return chosen


def _relative_time(candidate: Candidate) -> float:
    """Return how long a token takes, 1.0 on an idle engine as usual."""
    utilisation = min(1.0, candidate.load / candidate.slots)
    return candidate.slowdown * (1 + FULL_ENGINE_DELAY * utilisation)


def _draw_weight(candidate: Candidate) -> float:
    """Return the weight of a server in the random choice."""
    utilisation = candidate.load / (candidate.slots * SATURATION_FACTOR)
    weight = candidate.slots * max(MIN_WEIGHT, 1 - utilisation)
    return weight / candidate.slowdown**SPEED_EXPONENT


def _best_ranked_holder(
    ranking: Sequence[str], holders: Mapping[str, float]
) -> str:
    """Return the id of the best ranked engine that has a part cached.

    An engine that no longer takes requests isn't ranked but still serves
    copies; among these the one that cached the part last is preferred.
    """
    for engine_id in ranking:
        if engine_id in holders:
            return engine_id
    return max(holders, key=holders.__getitem__, default='')
