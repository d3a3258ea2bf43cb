"""Draw a series of faults from a seed."""

import dataclasses
import random

# Faults act within this share of a run, so that it ends with a calm spell.
ACTIVE_SHARE = 0.7

KINDS = (
    'kill', 'pause', 'terminate', 'reload', 'reset-engine', 'silence-engine',
    'one-way-engine', 'delay-engine', 'store-busy', 'store-silent',
    'store-reset', 'store-forgets', 'silence-store', 'engine-fault',
    'engine-drains', 'engine-crashes', 'configure', 'revoke', 'burst',
)  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Name one fault; ``target`` is drawn among what it may strike."""

    at_s: float
    kind: str
    target: int
    for_s: float


def draw(seed: int, seconds: float, kinds=KINDS) -> list[Fault]:
    """Return some faults in order of time; some come in series."""
    generator = random.Random(seed)
    faults = []
    for _ in range(generator.randint(4, 10)):
        kind = generator.choice(kinds)
        at_s = generator.uniform(0.3, seconds * ACTIVE_SHARE)
        for step in range(generator.choice((1, 1, 1, 2, 3))):
            faults.append(
                Fault(
                    at_s=at_s + step * generator.uniform(0.05, 0.8),
                    kind=kind,
                    target=generator.randrange(1000),
                    for_s=generator.uniform(0.2, 1.5),
                )
            )
    last_s = seconds * ACTIVE_SHARE
    return sorted(
        (one for one in faults if one.at_s <= last_s),
        key=lambda one: one.at_s,
    )
