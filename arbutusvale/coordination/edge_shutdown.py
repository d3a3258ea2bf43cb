"""Graceful shutdown of an edge router, so that no request is cut off.

Load pattern covered: rolling restarts under full load.  The load balancer
takes the router out of rotation after two failed readiness checks, a second
apart; until then new requests are served, as they can still end in time.
Later ones are refused as not run, and running ones are finished.  What can't
end before the process does is refused before it is sent to a server.  What
still runs then gets a response that says whether it may have run.
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
# The last responses leave the router within this time before it exits.
LAST_RESPONSES_S = 0.2


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
class WorkLimits:
    """Until when a stopping router works, on the monotonic clock, in seconds.

    Requests that wait are sent to servers by ``last_start_at``; what runs ends
    by ``ends_at``.
    """

    last_start_at: float
    ends_at: float

    def permits_run(self, now: float, run_time_s: float) -> bool:
        """Return whether a request that is sent now ends in time."""
        return now + run_time_s <= self.ends_at

    def permits_wait(
        self, now: float, wait_s: float, run_time_s: float
    ) -> bool:
        """Return whether a request may wait to be sent."""
        starts_at = now + wait_s
        return starts_at <= self.last_start_at and self.permits_run(
            starts_at, run_time_s
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Schedule of a shutdown; times count from the signal, in seconds."""

    grace_s: float

    @property
    def deregistered_s(self) -> float:
        """From when on no caller is sent to this router any more."""
        return min(DEREGISTRATION_DELAY_S, self.grace_s / 2)

    def limit_work(self, stopped_at: float) -> WorkLimits:
        """Return the limits of a router that was told to stop."""
        return WorkLimits(
            last_start_at=stopped_at + self.deregistered_s,
            ends_at=stopped_at
            + max(0.0, self.grace_s - KILL_MARGIN_S - LAST_RESPONSES_S),
        )

    def phase_at(
        self, elapsed_s: float, active_requests: int, connections: int
    ) -> ShutdownPhase:
        """Return the phase after ``elapsed_s``.

        ``connections`` counts the open connections of callers: a response
        that is complete may still be in transit to a slow reader.
        """
        if elapsed_s >= self.grace_s - KILL_MARGIN_S:
            return ShutdownPhase.ENDED
        if elapsed_s < self.deregistered_s:
            return ShutdownPhase.LEAVING
        if (
            active_requests
            or elapsed_s < self.deregistered_s + IN_TRANSIT_REQUESTS_S
        ):
            return ShutdownPhase.REFUSING
        return ShutdownPhase.CLOSING if connections else ShutdownPhase.ENDED
