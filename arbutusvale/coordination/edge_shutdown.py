"""Graceful shutdown of an edge router, so that no request is cut off.

Load pattern covered: rolling restarts under full load.  The load balancer
takes the router out of rotation after two failed readiness checks, a second
apart; until then new requests are served, as they can still end in time.
Later ones are refused as not run, and running ones are finished.
"""

import dataclasses
import enum

# Two failed readiness checks, a second apart, and a check in transit.
DEREGISTRATION_DELAY_S = 2.6
# Requests that are in transit when the router begins to refuse arrive within
# this time; their response says that they did not run.
IN_TRANSIT_REQUESTS_S = 0.3
# The router exits this long before the platform would kill it.
KILL_MARGIN_S = 0.4


class ShutdownPhase(enum.Enum):
    """Phases of a shutdown."""

    SERVING = 'serving'
    # Readiness checks fail; new requests are still served.
    LEAVING = 'leaving'
    # New requests are refused; running ones are finished.
    REFUSING = 'refusing'
    # Idle connections of callers are closed.
    CLOSING = 'closing'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Schedule of a shutdown; times count from the signal, in seconds."""

    grace_s: float

    def phase_at(
        self, elapsed_s: float, active_requests: int, connections: int
    ) -> ShutdownPhase:
        """Return the phase after ``elapsed_s``.

        ``connections`` counts the open connections of callers: a response
        that is complete may still be in transit to a slow reader.
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
