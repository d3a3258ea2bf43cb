"""Stop an edge router so that no request is cut off.

Load pattern answered: rolling restarts under full load.  The balancer
needs two failed checks, a second apart, to send callers elsewhere; until
then new requests are served, as they can still end in time.  Later ones
are refused as not run, and what runs is finished.
"""

import dataclasses
import enum

# Two failed readiness checks a second apart, and one on the way.
ROTATION_S = 2.6
# What is still running then is cut by the platform anyway.
END_MARGIN_S = 0.4


class Phase(enum.Enum):
    """Tell what a stopping router does with requests."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """Plan a stop; times count from the signal, in seconds."""

    grace_s: float

    def find_phase(self, elapsed_s: float, active: int) -> Phase:
        """Return the phase after ``elapsed_s`` with ``active`` requests."""
        if elapsed_s >= self.grace_s - END_MARGIN_S:
            return Phase.ENDED
        if elapsed_s < min(ROTATION_S, self.grace_s / 2):
            return Phase.LEAVING
        return Phase.ENDED if active == 0 else Phase.REFUSING
