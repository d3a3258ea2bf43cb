"""Table of the loads of a pool's servers, as their sidecars report them."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import time

import numpy

from arbutusvale.protocol import messages

PEER_TIMEOUT_S = 5.0
PEER_TIMEOUT_PER_PEER_S = 0.3
SAFETY_DEVIATIONS = 3.0
BURST_END_RATE_FACTOR = 2.0
# Until then a report may not show a request directed to the peer.
SUGGESTION_TTL_S = 0.03
TRANSIT_TIME_S = 0.005
RELAYED_LOAD_AGE_S = 1.0


@dataclasses.dataclass(slots=True)
class PeerLoad:
    """The newest reported load of a peer.

    ``received_at`` is when the report arrived.  ``measured_at`` is the
    earliest time at which the peer may have measured the load, since the
    report was in transit or relayed by others.  ``was_listed`` is set once
    the VM list has contained the peer; ``is_member`` is cleared when the
    list drops it.  ``relay_count`` counts how often the report was relayed
    by gossip.  ``suggested_at`` has the times at which refused requests
    were directed to the peer and may not show in its report yet.
    """

    load: messages.Load
    received_at: float
    measured_at: float
    was_listed: bool = False
    is_member: bool = True
    relay_count: int = 0
    suggested_at: list[float] = dataclasses.field(default_factory=list)


class PoolLoadTable:
    """The newest loads of the servers of a pool, including this VM's.

    The load of a server is its number of outstanding requests.  A listed
    peer counts with load 0 until its first report.  Peers that are leaving,
    no longer listed or silent for too long do not count: the others are
    the *active* peers.  ``own`` is the load of this VM's server.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.clock = clock
        self.own = messages.Load(
            vm, incarnation, 1, 0, messages.VmState.LIVE.value
        )
        self.peer_loads: dict[str, PeerLoad] = {}

    def set_own_load(self, load: int, state: str | None = None) -> None:
        """Set the load of this VM, and its state if given."""
        self.own = dataclasses.replace(
            self.own,
            version=self.own.version + 1,
            load=load,
            state=self.own.state if state is None else str(state),
        )

    def bump_version(self) -> None:
        """Raise the version of this VM's load, as a heartbeat to peers."""
        self.set_own_load(self.own.load)

    def merge(
        self,
        loads: Iterable[messages.Load],
        sender: str = '',
        age_s: float = TRANSIT_TIME_S,
    ) -> int:
        """Merge the loads that are newer; return how many were.

        ``age_s`` is the age of the sender's own load, in seconds; the loads
        that it relays count as ``RELAYED_LOAD_AGE_S`` old.
        """
        newer = 0
        for load in loads:
            direct = load.vm == sender
            newer += self._merge_one(
                load, age_s if direct else RELAYED_LOAD_AGE_S
            )
        return newer

    def _merge_one(self, load: messages.Load, age_s: float) -> bool:
        """Merge one load; return whether it is newer than the known one."""
        if load.vm == self.own.vm:
            return False
        now = self.clock()
        entry = self.peer_loads.get(load.vm)
        if entry is None:
            self.peer_loads[load.vm] = PeerLoad(load, now, now - age_s)
            return True
        if _version_key(load) <= _version_key(entry.load):
            return False
        entry.load = load
        entry.relay_count = 0
        entry.received_at = now
        entry.measured_at = now - age_s
        return True

    def update_members(self, names: Iterable[str]) -> None:
        """Update the members from the VM list.

        ``names`` are the live servers of the pool.
        """
        members = set(names) - {self.own.vm}
        for name in members:
            entry = self.peer_loads.get(name)
            if entry is None:
                unknown_load = messages.Load(
                    name, 0, 0, 0, messages.VmState.LIVE.value
                )
                now = self.clock()
                entry = PeerLoad(unknown_load, now, now)
                self.peer_loads[name] = entry
            entry.was_listed = True
            entry.is_member = True
        for name, entry in list(self.peer_loads.items()):
            if entry.was_listed and name not in members:
                entry.is_member = False
        self._drop_silent()

    def _drop_silent(self) -> None:
        """Drop peers that are no longer listed and have timed out."""
        now = self.clock()
        timeout_s = self._peer_timeout_s()
        for name, entry in list(self.peer_loads.items()):
            if not entry.is_member and now - entry.received_at > 2 * timeout_s:
                del self.peer_loads[name]

    def list_active(self) -> list[PeerLoad]:
        """List the peers that count towards the pool's load."""
        oldest = self.clock() - self._peer_timeout_s()
        return [
            entry
            for entry in self.peer_loads.values()
            if entry.is_member
            and entry.load.state == messages.VmState.LIVE
            and entry.received_at >= oldest
        ]

    def _peer_timeout_s(self) -> float:
        """Return the seconds without a report after which a peer times out.

        It grows with the pool, as gossip messages have a bounded size and
        take longer to spread the loads of more servers.
        """
        return max(
            PEER_TIMEOUT_S, PEER_TIMEOUT_PER_PEER_S * len(self.peer_loads)
        )

    @property
    def server_count(self) -> int:
        """Number of active servers in the pool, including this VM's."""
        return 1 + len(self.list_active())

    @property
    def total_load(self) -> int:
        """Outstanding requests of the pool, as far as known."""
        return self.own.load + sum(
            entry.load.load for entry in self.list_active()
        )

    @property
    def average_load(self) -> float:
        """Mean number of outstanding requests per server."""
        return self.total_load / self.server_count

    def load_limit(self, bound: float) -> int:
        """Return the highest load that one server may reach."""
        return _bounded_load(bound, self.total_load, self.server_count)

    def conservative_load_limit(
        self, bound: float, mean_duration_s: float
    ) -> int:
        """Return a load limit that allows for requests that have ended.

        Reported requests may have ended since.  The model is exponential
        decay with a mean of ``mean_duration_s``, sped up by
        ``BURST_END_RATE_FACTOR`` since the requests of a burst end together
        rather than independently.  The limit assumes a total that is
        ``SAFETY_DEVIATIONS`` standard deviations below the expected one.
        """
        now = self.clock()
        active = self.list_active()
        expected = variance = 0.0
        for entry in active:
            age_s = now - entry.measured_at
            still_running = math.exp(
                -BURST_END_RATE_FACTOR * age_s / mean_duration_s
            )
            expected += entry.load.load * still_running
            variance += entry.load.load * still_running * (1.0 - still_running)
        lower_bound = max(
            0.0, expected - SAFETY_DEVIATIONS * math.sqrt(variance)
        )
        return _bounded_load(
            bound, self.own.load + lower_bound, 1 + len(active)
        )

    def list_least_loaded(self, max_count: int) -> list[messages.Load]:
        """List up to ``max_count`` peers with the lowest loads."""
        return [entry.load for entry in self._rank_by_load()[:max_count]]

    def choose_alternatives(self, max_count: int) -> list[messages.Load]:
        """List the best peers for a refused request, at most ``max_count``.

        The first one is ranked as if it had got the request, so that a
        burst of refused requests is spread over several servers.
        """
        chosen = self._rank_by_load()[:max_count]
        if chosen:
            chosen[0].suggested_at.append(self.clock())
        return [entry.load for entry in chosen]

    def _rank_by_load(self) -> list[PeerLoad]:
        """List the active peers, the least loaded first.

        Recent suggestions of a peer count as requests.
        """
        oldest = self.clock() - SUGGESTION_TTL_S
        active = self.list_active()
        for entry in active:
            entry.suggested_at = [
                at for at in entry.suggested_at if at > oldest
            ]
        return sorted(
            active,
            key=lambda peer: (
                peer.load.load + len(peer.suggested_at),
                peer.load.vm,
            ),
        )

    def find_load(self, vm: str) -> messages.Load | None:
        """Return the load of a server, None if it is not active."""
        if vm == self.own.vm:
            return self.own
        for entry in self.list_active():
            if entry.load.vm == vm:
                return entry.load
        return None

    def select_gossip_loads(
        self, max_loads: int, generator: numpy.random.Generator
    ) -> list[messages.Load]:
        """List this VM's load and loads to relay, at most ``max_loads``.

        Loads that were relayed least come first: otherwise those that are
        rarely received in a large pool might never spread.
        """
        received = [
            peer for peer in self.peer_loads.values() if peer.load.version > 0
        ]
        received = [
            received[index] for index in generator.permutation(len(received))
        ]
        received.sort(key=lambda entry: entry.relay_count)
        chosen = received[: max_loads - 1]
        for entry in chosen:
            entry.relay_count += 1
        return [self.own, *[entry.load for entry in chosen]]


def _version_key(load: messages.Load) -> tuple[int, int]:
    """Return the sort key of a server's reports, oldest first."""
    return load.incarnation, load.version


def _bounded_load(bound: float, total: float, count: int) -> int:
    """Return the highest load of one server that a bound permits.

    ``bound`` is a factor of the pool's mean load after one more request.
    """
    return max(1, math.ceil(bound * (total + 1) / count))
