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
# Requests that were on their way when refusing began arrive within this
# time and are told that they did not run.
LAST_REQUESTS_S = 0.3
# What is still running then is cut by the platform anyway.
END_MARGIN_S = 0.4


class Phase(enum.Enum):
    """Tell what a stopping router does with requests."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'
    CLOSING = 'closing'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """Plan a stop; times count from the signal, in seconds."""

    grace_s: float

    def find_phase(
        self, elapsed_s: float, active: int, connections: int
    ) -> Phase:
        """Return the phase after ``elapsed_s``.

        ``active`` counts requests, ``connections`` those of callers that are
        open: an answer that is done may still be on its way to a caller
        that reads slowly.
        """
        if elapsed_s >= self.grace_s - END_MARGIN_S:
            return Phase.ENDED
        rotated_s = min(ROTATION_S, self.grace_s / 2)
        if elapsed_s < rotated_s:
            return Phase.LEAVING
        if active or elapsed_s < rotated_s + LAST_REQUESTS_S:
            return Phase.REFUSING
        return Phase.CLOSING if connections else Phase.ENDED
