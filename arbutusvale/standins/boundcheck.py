"""Check the load bound against the engines' own counts."""

import dataclasses
import heapq
import math


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
    """Hold how many requests were taken and which broke the bound."""

    taken: int
    breaches: list[Breach]


def allowed_load(bound: float, total: int, engines: int) -> int:
    """Return the load that one of ``engines`` may carry."""
    return max(1, math.ceil(bound * total / engines))


def check(
    histories: dict[str, list[list[float]]],
    bound: float,
    live: dict[str, tuple[float, float]] | None = None,
) -> BoundReport:
    """Replay load changes and check each rise against the bound.

    ``histories`` maps an engine to its changes of time and load; ``live``
    maps an engine to the times between which it was in the pool, and
    engines that it lacks were always there.
    """
    spans = live or {}
    always = (-math.inf, math.inf)
    loads = dict.fromkeys(histories, 0)
    taken = 0
    breaches = []
    for change in _merged(histories):
        rose = change.load > loads[change.engine]
        loads[change.engine] = change.load
        if not rose:
            continue
        taken += 1
        members = [
            name
            for name in histories
            if _within(change.time, spans.get(name, always))
            or name == change.engine
        ]
        total = sum(loads[name] for name in members)
        allowed = allowed_load(bound, total, len(members))
        if change.load > allowed:
            breaches.append(
                Breach(change.time, change.engine, change.load, allowed, total)
            )
    return BoundReport(taken, breaches)


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
