"""Check the load bound against the engines' own counts."""

import collections
import collections.abc
import dataclasses
import heapq
import math

COMMON_INSTANT_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Hold one engine's load from a moment on."""

    time: float
    engine: str
    load: int


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """Report a request taken above the bound.

    ``allowed`` is what the bound let the engine carry at that moment.
    """

    time: float
    engine: str
    load: int
    allowed: int
    total: int


@dataclasses.dataclass(frozen=True, slots=True)
class BoundReport:
    """Hold how many requests were taken and which broke the bound.

    ``instant`` counts those above the bound by the counts of one instant.
    """

    accepted: int
    above_instant: int
    breaches: list[Breach]


def allowed_load(bound: float, total: int, engines: int) -> int:
    """Return the load that one of ``engines`` may carry."""
    return max(1, math.ceil(bound * total / engines))


def check_histories(
    histories: dict[str, list[list[float]]],
    bound: float,
    live: dict[str, tuple[float, float]] | None = None,
) -> BoundReport:
    """Replay load changes and check each rise against the bound.

    ``histories`` maps an engine to its changes of time and load; ``live``
    maps an engine to the times between which it was in the pool, and
    engines that it lacks were always there.  Counts of several servers
    have no common instant, so a request breaks the bound if it is above
    that of every total within the last ``COMMON_INSTANT_S``.
    """
    spans = live or {}
    loads = dict.fromkeys(histories, 0)
    recent = collections.deque([_Counts(-math.inf, dict(loads))])
    taken = 0
    instant = 0
    breaches = []
    for change in _merged(histories):
        rose = change.load > loads[change.engine]
        loads[change.engine] = change.load
        recent.append(_Counts(change.time, dict(loads)))
        while recent[1].time < change.time - COMMON_INSTANT_S:
            recent.popleft()
        if not rose:
            continue
        taken += 1
        members = _list_members(change, histories, spans)
        total = _pool_load(change, members, recent[-1])
        instant += change.load > allowed_load(bound, total, len(members))
        total = max(_pool_load(change, members, seen) for seen in recent)
        allowed = allowed_load(bound, total, len(members))
        if change.load > allowed:
            breaches.append(
                Breach(change.time, change.engine, change.load, allowed, total)
            )
    return BoundReport(taken, instant, breaches)


@dataclasses.dataclass(frozen=True, slots=True)
class _Counts:
    """Hold all engines' loads from a moment on."""

    time: float
    loads: dict[str, int]


def _list_members(
    change: Change,
    names: collections.abc.Iterable[str],
    spans: dict[str, tuple[float, float]],
) -> list[str]:
    """List the engines in the pool at a change, with its own."""
    always = (-math.inf, math.inf)
    return [
        name
        for name in names
        if name == change.engine
        or _within(change.time, spans.get(name, always))
    ]


def _pool_load(change: Change, members: list[str], seen: _Counts) -> int:
    """Return the pool's load: the others' as seen, the own as changed."""
    others = sum(seen.loads[name] for name in members if name != change.engine)
    return change.load + others


def _merged(histories: dict[str, list[list[float]]]) -> list[Change]:
    """Order all engines' changes by time."""
    return list(
        heapq.merge(
            *(
                [Change(moment, name, int(load)) for moment, load in history]
                for name, history in histories.items()
            ),
            key=lambda change: change.time,
        )
    )


def _within(moment: float, span: tuple[float, float]) -> bool:
    """Tell whether a moment lies in a span of time."""
    return span[0] <= moment <= span[1]
