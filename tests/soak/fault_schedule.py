"""Random fault schedules, reproducible from a seed."""

import dataclasses
import random

# Faults are injected only in this share of a run; the rest is for recovery.
FAULT_PERIOD_SHARE = 0.7

FAULT_KINDS = (
    'kill-router', 'pause-router', 'terminate-router', 'reload-router',
    'reset-engine-connections', 'freeze-engine-connections',
    'freeze-engine-responses', 'delay-engine', 'store-busy', 'store-silent',
    'store-reset', 'compact-store', 'restore-store',
    'freeze-store-connections', 'engine-fault', 'drain-engine',
    'leave-engine', 'crash-engine', 'configure', 'revoke-key', 'burst',
    'crashing-part', 'limit-engine',
)  # fmt: skip
# Drawn beside the others, so that a seed's other faults stay the same.
ADDED_KINDS = (
    'crashing-request', 'kill-all-routers', 'evacuate', 'uneven-engines',
)  # fmt: skip
ADDED_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One scheduled fault.

    ``target_index`` modulo the number of targets selects the router, the
    engine or the response fault of engines; ``duration_s`` is ignored by
    kinds that have no duration.
    """

    at_s: float
    kind: str
    target_index: int
    duration_s: float


def draw_faults(seed: int, seconds: float, kinds=FAULT_KINDS) -> list[Fault]:
    """Return random faults ordered by time; some kinds occur in series."""
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(4, 10)):
        kind = rng.choice(kinds)
        at_s = rng.uniform(0.3, seconds * FAULT_PERIOD_SHARE)
        for step in range(rng.choice((1, 1, 1, 2, 3))):
            faults.append(
                Fault(
                    at_s=at_s + step * rng.uniform(0.05, 0.8),
                    kind=kind,
                    target_index=rng.randrange(1000),
                    duration_s=rng.uniform(0.2, 1.5),
                )
            )
    last_fault_s = seconds * FAULT_PERIOD_SHARE
    for kind in ADDED_KINDS:
        added_rng = random.Random(f'{kind} {seed}')
        if added_rng.random() < ADDED_SHARE:
            at_s = added_rng.uniform(0.3, last_fault_s)
            faults.append(Fault(at_s, kind, added_rng.randrange(1000), 0.0))
    return sorted(
        (fault for fault in faults if fault.at_s <= last_fault_s),
        key=lambda fault: fault.at_s,
    )
