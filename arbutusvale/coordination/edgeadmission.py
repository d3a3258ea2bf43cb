"""Decide at once whether a request can be served, before it waits.

Requests wait in the queues of their servers and not in routers: a server
sees all that wait for it and admits the most urgent first, while each of
many routers would order only its own sliver.  A router refuses what the
shortest of these queues can't serve in time.

Load patterns answered:

- *burst, or servers lost*: when the expected wait passes the time that a
  request has, it is refused at once with the time after which there is
  probably room, spread so that the refused don't come back together;
- *a thin link gets more than it can carry*: requests are refused while what
  was written waits at the VM's own link, and readiness fails;
- *one organisation surges*: while all servers are full, an organisation
  that holds more than its fair share of what this router has in flight is
  refused first, so that quiet organisations find room.
"""

from collections.abc import Sequence
import dataclasses

# Above this share of slots in use at every server the pool counts as full.
FULL_SHARE = 1.0
# An organisation may hold this many times the mean of the active ones.
FAIR_FACTOR = 2.0
# Below this many in flight no organisation is refused for its share.
FAIR_LEAST = 4
# Loads are estimates: what is refused must be hopeless, not just doubtful.
WAIT_MARGIN = 1.5
LEAST_RETRY_S = 0.1
MOST_RETRY_S = 2.0
# A caller that waits for its request to be read leaves after a second, and
# each request crosses the link at least twice.
MOST_LINK_WAIT_S = 0.25
# Refused requests return within this share of their delay around it.
SPREAD = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Hold a server's estimated requests and its slots."""

    requests: float
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Describe a request that asks for a place.

    ``service_s`` is the usual time that a request of its route holds a
    slot, 0 when not known.  ``held`` and ``mean_held`` count what its
    organisation, and an active one on average, have in flight here.
    """

    time_left_s: float
    service_s: float
    held: int
    mean_held: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Let a request go to a server."""

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TurnedAway:
    """Refuse a request; ``retry_after_s`` is when there may be room."""

    cause: str
    wait_s: float
    retry_after_s: float


def decide_link(wait_s: float, spread: float) -> TurnedAway | None:
    """Turn a request away that would wait too long at this VM's link."""
    if wait_s <= MOST_LINK_WAIT_S:
        return None
    return TurnedAway('link', wait_s, _spread_out(wait_s, spread))


def decide(
    loads: Sequence[Load], ask: Ask, spread: float
) -> Admitted | TurnedAway:
    """Admit a request or turn it away; ``spread`` is between 0 and 1."""
    if not loads:
        return Admitted(0.0)
    wait_s = min(_expect_wait(load, ask.service_s) for load in loads)
    if wait_s <= 0 or ask.service_s <= 0:
        return Admitted(max(0.0, wait_s))
    late_s = wait_s + ask.service_s - ask.time_left_s * WAIT_MARGIN
    if late_s > 0:
        return TurnedAway('overload', wait_s, _spread_out(late_s, spread))
    if ask.held >= FAIR_LEAST and ask.held > FAIR_FACTOR * ask.mean_held:
        return TurnedAway('share', wait_s, _spread_out(wait_s, spread))
    return Admitted(wait_s)


def _expect_wait(load: Load, service_s: float) -> float:
    """Return how long a new request probably waits at a server."""
    ahead = load.requests + 1 - FULL_SHARE * load.slots
    return ahead / load.slots * service_s


def _spread_out(delay_s: float, spread: float) -> float:
    """Bound a delay and spread it around itself."""
    bounded = min(MOST_RETRY_S, max(LEAST_RETRY_S, delay_s))
    return bounded * (1 - SPREAD / 2 + SPREAD * spread)
