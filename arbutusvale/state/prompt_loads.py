"""Requests in flight that each shared prompt part asks for, at all routers.

By Little's law: the rate of its requests times how long they take, averaged
over some seconds.  A router counts its own requests and tells peers of the
parts that it was asked for more than once; the others are of no interest.
"""

from collections.abc import Callable
import dataclasses
import math

from arbutusvale.state import bounded_map

MAX_PROMPTS = 1024
# Long enough for some requests at each of many routers, and short against how
# long a prompt stays in demand.
AVERAGE_S = 2.0
# A single request tells nothing of a rate.
MIN_REQUESTS = 1.5
MAX_TOLD_PROMPTS = 4
# Of an ordinary pool; more would come from a faulty peer.
MAX_PEER_LOAD = 1000.0


@dataclasses.dataclass(slots=True)
class _Demand:
    """Requests of a part and their service times, fading with time."""

    requests: float
    service_time_s: float
    updated_at: float


class PromptLoads:
    """Moving averages by prompt part; a part that isn't asked for fades."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.demands: bounded_map.BoundedMap[_Demand] = bounded_map.BoundedMap(
            MAX_PROMPTS
        )
        # Parts that had enough requests when they were last asked for.
        self.repeated: set[str] = set()
        # What each peer told last, and until when it counts.
        self.peer_loads: dict[str, tuple[float, dict[str, float]]] = {}
        self.peer_totals: dict[str, float] = {}
        self.peer_totals_valid_until = math.inf

    def record(self, prompt: str, service_time_s: float) -> None:
        """Count a request, which usually takes ``service_time_s``."""
        now = self.clock()
        demand = self.demands.get(prompt)
        if demand is None:
            demand = _Demand(0.0, 0.0, now)
        kept = math.exp((demand.updated_at - now) / AVERAGE_S)
        demand.requests = kept * demand.requests + 1
        demand.service_time_s = kept * demand.service_time_s + service_time_s
        demand.updated_at = now
        self.demands.put(prompt, demand)
        if demand.requests >= MIN_REQUESTS:
            self.repeated.add(prompt)
            if len(self.repeated) > MAX_PROMPTS:
                self.repeated.intersection_update(self.demands)

    def record_peer(
        self, host: str, loads: dict[str, float], ttl_s: float
    ) -> None:
        """Record what a peer told of its own requests, valid for ``ttl_s``."""
        if loads:
            self.peer_loads[host] = (self.clock() + ttl_s, loads)
        elif self.peer_loads.pop(host, None) is None:
            return
        self._sum_peer_loads()

    def read(self, prompt: str) -> float:
        """Return the requests in flight to expect, 0 if too few came."""
        if self.clock() > self.peer_totals_valid_until:
            self._sum_peer_loads()
        own = self._read_own(prompt) if prompt in self.repeated else 0.0
        return own + self.peer_totals.get(prompt, 0.0)

    def list_own(self) -> dict[str, float]:
        """Return the parts with the highest own loads, for peers."""
        loads = {prompt: self._read_own(prompt) for prompt in self.repeated}
        self.repeated = {prompt for prompt, load in loads.items() if load}
        highest = sorted(self.repeated, key=loads.__getitem__, reverse=True)
        return {prompt: loads[prompt] for prompt in highest[:MAX_TOLD_PROMPTS]}

    def _sum_peer_loads(self) -> None:
        """Sum what peers told; valid until the next of it expires."""
        now = self.clock()
        self.peer_loads = {
            peer: (valid_until, told)
            for peer, (valid_until, told) in self.peer_loads.items()
            if valid_until >= now
        }
        self.peer_totals = {}
        for _, told in self.peer_loads.values():
            for prompt, load in told.items():
                load = min(max(load, 0.0), MAX_PEER_LOAD)
                total = self.peer_totals.get(prompt, 0.0)
                self.peer_totals[prompt] = total + load
        self.peer_totals_valid_until = min(
            (valid_until for valid_until, _ in self.peer_loads.values()),
            default=math.inf,
        )

    def _read_own(self, prompt: str) -> float:
        """Return this router's load of a part, 0 if it had few requests."""
        demand = self.demands.get(prompt)
        if demand is None:
            return 0.0
        kept = math.exp((demand.updated_at - self.clock()) / AVERAGE_S)
        if kept * demand.requests < MIN_REQUESTS:
            return 0.0
        return kept * demand.service_time_s / AVERAGE_S
