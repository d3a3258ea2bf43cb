"""Check of the load bound against the engines' own request counts."""

import collections
import collections.abc
import dataclasses
import heapq
import math

# Loads of several engines have no common instant; one may be this old.
SNAPSHOT_WINDOW_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class LoadChange:
    """One engine's outstanding requests from ``time``, in seconds, on."""

    time: float
    engine: str
    load: int


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A request that an engine accepted above the load bound.

    ``load`` is the engine's outstanding requests with it, ``allowed`` the
    most that the bound permitted and ``total`` the pool's load at that time.
    """

    time: float
    engine: str
    load: int
    allowed: int
    total: int


@dataclasses.dataclass(frozen=True, slots=True)
class BoundReport:
    """How many requests were accepted and which exceeded the bound.

    ``above_instant`` counts those above the bound if only the newest load
    of each engine is considered.
    """

    accepted: int
    above_instant: int
    breaches: list[Breach]


def allowed_load(bound: float, total: int, engines: int) -> int:
    """Return the most requests that one engine may have outstanding.

    ``bound`` is a multiple of the mean of ``total`` over ``engines``.
    """
    return max(1, math.ceil(bound * total / engines))


def check_histories(
    histories: dict[str, list[list[float]]],
    bound: float,
    membership: dict[str, tuple[float, float]] | None = None,
) -> BoundReport:
    """Replay load changes and check each increase against the bound.

    ``histories`` maps an engine to pairs of time and load; ``membership``
    maps an engine to the start and end of its time in the pool, and engines
    without an entry were in it throughout.  Loads of several servers can't
    be read at one instant, so a request is a breach only if it exceeds the
    bound for every pool total of the last ``SNAPSHOT_WINDOW_S``.
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
    """All engines' loads from ``time`` on."""

    time: float
    loads: dict[str, int]


def _list_members(
    change: LoadChange,
    names: collections.abc.Iterable[str],
    spans: dict[str, tuple[float, float]],
) -> list[str]:
    """List the engines in the pool at a change, its own included."""
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
    """Add the changed load to the other members' loads in a snapshot."""
    others = sum(
        snapshot.loads[name] for name in members if name != change.engine
    )
    return change.load + others


def _merge_changes(
    histories: dict[str, list[list[float]]],
) -> list[LoadChange]:
    """Merge all engines' load changes in order of time."""
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
    """Return whether a time lies within a span, ends included."""
    return span[0] <= moment <= span[1]
