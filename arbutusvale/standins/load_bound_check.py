"""Check the load bound against the engines' own counts."""

import collections
import collections.abc
import dataclasses
import heapq
import math

SNAPSHOT_WINDOW_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class LoadChange:
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
    membership: dict[str, tuple[float, float]] | None = None,
) -> BoundReport:
    """Replay load changes and check each rise against the bound.

    ``histories`` maps an engine to its changes of time and load; ``live``
    maps an engine to the times between which it was in the pool, and
    engines that it lacks were always there.  Counts of several servers
    have no common instant, so a request breaks the bound if it is above
    that of every total within the last ``COMMON_INSTANT_S``.
    """
    spans = membership or {}
    loads = dict.fromkeys(histories, 0)
    snapshots = collections.deque([_LoadSnapshot(-math.inf, dict(loads))])
    accepted = 0
    above_instant = 0
    breaches = []
    for change in _merge_changes(histories):
        increased = change.load > loads[change.engine]
        loads[change.engine] = change.load
        snapshots.append(_LoadSnapshot(change.time, dict(loads)))
        while snapshots[1].time < change.time - SNAPSHOT_WINDOW_S:
            snapshots.popleft()
        if not increased:
            continue
        accepted += 1
        members = _list_members(change, histories, spans)
        total = _pool_load(change, members, snapshots[-1])
        above_instant += change.load > allowed_load(bound, total, len(members))
        total = max(
            _pool_load(change, members, snapshot) for snapshot in snapshots
        )
        allowed = allowed_load(bound, total, len(members))
        if change.load > allowed:
            breaches.append(
                Breach(change.time, change.engine, change.load, allowed, total)
            )
    return BoundReport(accepted, above_instant, breaches)


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadSnapshot:
    """Hold all engines' loads from a moment on."""

    time: float
    loads: dict[str, int]


def _list_members(
    change: LoadChange,
    names: collections.abc.Iterable[str],
    spans: dict[str, tuple[float, float]],
) -> list[str]:
    """List the engines in the pool at a change, with its own."""
    always = (-math.inf, math.inf)
    return [
        name
        for name in names
        if name == change.engine
        or _is_within(change.time, spans.get(name, always))
    ]


def _pool_load(
    change: LoadChange, members: list[str], snapshot: _LoadSnapshot
) -> int:
    """Return the pool's load: the others' as seen, the own as changed."""
    others = sum(
        snapshot.loads[name] for name in members if name != change.engine
    )
    return change.load + others


def _merge_changes(
    histories: dict[str, list[list[float]]],
) -> list[LoadChange]:
    """Order all engines' changes by time."""
    return list(
        heapq.merge(
            *(
                [
                    LoadChange(moment, name, int(load))
                    for moment, load in history
                ]
                for name, history in histories.items()
            ),
            key=lambda change: change.time,
        )
    )


def _is_within(moment: float, span: tuple[float, float]) -> bool:
    """Tell whether a moment lies in a span of time."""
    return span[0] <= moment <= span[1]
