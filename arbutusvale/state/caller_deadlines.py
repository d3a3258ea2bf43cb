"""The time that callers of each route usually give an answer.

A caller that comes back after a refusal has less time left, so its answer
would be late by the target that counts from its first request.
"""

import dataclasses

from arbutusvale.state import bounded_map

# Routes come and go with configurations; far more than are in use at a time.
MAX_ROUTES = 4096
# Below this share of the usual time a caller has come back.
RETURNED_SHARE = 0.8
# If times differ by more than this share, they don't tell who has come back.
MAX_DEVIATION_SHARE = 0.15
_MIN_REQUESTS = 20
_SMOOTHING = 0.05
# A shorter time changes the average little, unless all callers have it.
_RETURNED_SMOOTHING = 0.005


@dataclasses.dataclass(slots=True)
class _UsualTime:
    """Moving averages of a time and its absolute deviation, in seconds."""

    average_s: float
    deviation_s: float = 0.0
    requests: int = 0


class CallerDeadlines:
    """The usual time until the deadline, in seconds, by route."""

    def __init__(self) -> None:
        self.usual_times: bounded_map.BoundedMap[_UsualTime] = (
            bounded_map.BoundedMap(MAX_ROUTES)
        )

    def record(self, route: str, time_left_s: float) -> bool:
        """Record a request; return whether its caller has come back."""
        usual = self.usual_times.get(route, None)
        if usual is None:
            usual = _UsualTime(time_left_s)
            self.usual_times.put(route, usual)
        returned = time_left_s < RETURNED_SHARE * usual.average_s
        smoothing = _RETURNED_SMOOTHING if returned else _SMOOTHING
        deviation_s = time_left_s - usual.average_s
        usual.requests += 1
        usual.average_s += smoothing * deviation_s
        usual.deviation_s += smoothing * (abs(deviation_s) - usual.deviation_s)
        return (
            returned
            and usual.requests >= _MIN_REQUESTS
            and usual.deviation_s <= MAX_DEVIATION_SHARE * usual.average_s
        )
