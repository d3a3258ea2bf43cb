"""Stop an edge router so that no request is cut off.

Load pattern answered: rolling restarts under full load.  The balancer
needs two failed checks, a second apart, to send callers elsewhere; until
then new requests are served, as they can still end in time.  Later ones
are refused as not run, and what runs is finished.
"""

import dataclasses
import enum

# Two failed readiness checks a second apart, and one on the way.
DEREGISTRATION_DELAY_S = 2.6
# Requests that were on their way when refusing began arrive within this
# time and are told that they did not run.
IN_TRANSIT_REQUESTS_S = 0.3
# What is still running then is cut by the platform anyway.
KILL_MARGIN_S = 0.4


class ShutdownPhase(enum.Enum):
    """Tell what a stopping router does with requests."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'
    CLOSING = 'closing'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Plan a stop; times count from the signal, in seconds."""

    grace_s: float

    def phase_at(
        self, elapsed_s: float, active_requests: int, connections: int
    ) -> ShutdownPhase:
        """Return the phase after ``elapsed_s``.

        ``active`` counts requests, ``connections`` those of callers that are
        open: an answer that is done may still be on its way to a caller
        that reads slowly.
        """
        if elapsed_s >= self.grace_s - KILL_MARGIN_S:
            return ShutdownPhase.ENDED
        deregistered_s = min(DEREGISTRATION_DELAY_S, self.grace_s / 2)
        if elapsed_s < deregistered_s:
            return ShutdownPhase.LEAVING
        if (
            active_requests
            or elapsed_s < deregistered_s + IN_TRANSIT_REQUESTS_S
        ):
            return ShutdownPhase.REFUSING
        return ShutdownPhase.CLOSING if connections else ShutdownPhase.ENDED
