"""Keep the loads of one pool's servers as their sidecars reported them."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import time

import numpy

from arbutusvale.protocol import messages

PEER_TIMEOUT_S = 5.0
SILENCE_PER_MATE_S = 0.3
SAFE_DEVIATIONS = 3.0
BURST_FACTOR = 2.0
SUGGESTION_TTL_S = 0.03
TRANSIT_S = 0.005
RELAYED_LOAD_AGE_S = 1.0


@dataclasses.dataclass(slots=True)
class PeerLoad:
    """Hold the newest load of a mate and when it was heard.

    ``stated_at`` is the earliest time at which the load may have been
    counted, as the report was under way or passed on.  ``listed`` says
    that the VM list named the mate once; ``counted`` turns false when the
    list drops it.  ``named`` holds the times at which requests were sent
    there that a report may not show yet; ``passed_on`` counts how often
    the report was gossiped on.
    """

    load: messages.Load
    heard_at: float
    stated_at: float
    listed: bool = False
    counted: bool = True
    passed_on: int = 0
    named: list[float] = dataclasses.field(default_factory=list)


class PoolLoadTable:
    """Hold the newest load of every server of a pool, its own included.

    A listed mate counts with load 0 until it is heard.  Mates that are
    leaving, no longer listed or silent for long do not count.
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
        """State the own load, and state when it changed."""
        self.own = dataclasses.replace(
            self.own,
            version=self.own.version + 1,
            load=load,
            state=self.own.state if state is None else str(state),
        )

    def bump_version(self) -> None:
        """Raise the own version, so that mates hear a sign of life."""
        self.set_own_load(self.own.load)

    def merge(
        self,
        loads: Iterable[messages.Load],
        sender: str = '',
        age_s: float = TRANSIT_S,
    ) -> int:
        """Take over loads that are newer; return how many were.

        ``age_s`` is the age of the sender's own load; those that it passes
        on are ``RELAYED_LOAD_AGE_S`` old.
        """
        newer = 0
        for load in loads:
            direct = load.vm == sender
            newer += self._merge_one(
                load, age_s if direct else RELAYED_LOAD_AGE_S
            )
        return newer

    def _merge_one(self, load: messages.Load, age_s: float) -> bool:
        """Take over one load if it is newer than the known one."""
        if load.vm == self.own.vm:
            return False
        now = self.clock()
        entry = self.peer_loads.get(load.vm)
        if entry is None:
            self.peer_loads[load.vm] = PeerLoad(load, now, now - age_s)
            return True
        if _age_key(load) <= _age_key(entry.load):
            return False
        entry.load = load
        entry.passed_on = 0
        entry.heard_at = now
        entry.stated_at = now - age_s
        return True

    def update_members(self, names: Iterable[str]) -> None:
        """Follow the VM list: ``names`` are the pool's live servers."""
        wanted = set(names) - {self.own.vm}
        for name in wanted:
            entry = self.peer_loads.get(name)
            if entry is None:
                unheard = messages.Load(
                    name, 0, 0, 0, messages.VmState.LIVE.value
                )
                now = self.clock()
                entry = PeerLoad(unheard, now, now)
                self.peer_loads[name] = entry
            entry.listed = True
            entry.counted = True
        for name, entry in list(self.peer_loads.items()):
            if entry.listed and name not in wanted:
                entry.counted = False
        self._forget_silent()

    def _forget_silent(self) -> None:
        """Drop mates that were dropped from the list and are silent."""
        now = self.clock()
        silence_s = self._get_silence()
        for name, entry in list(self.peer_loads.items()):
            if not entry.counted and now - entry.heard_at > 2 * silence_s:
                del self.peer_loads[name]

    def list_active(self) -> list[PeerLoad]:
        """List the mates that count towards the mean."""
        oldest = self.clock() - self._get_silence()
        return [
            entry
            for entry in self.peer_loads.values()
            if entry.counted
            and entry.load.state == messages.VmState.LIVE
            and entry.heard_at >= oldest
        ]

    def _get_silence(self) -> float:
        """Return the seconds after which a mate counts as silent.

        Messages of bounded size take longer to carry a larger pool.
        """
        return max(PEER_TIMEOUT_S, SILENCE_PER_MATE_S * len(self.peer_loads))

    @property
    def server_count(self) -> int:
        """Number of servers that share the pool's load, own included."""
        return 1 + len(self.list_active())

    @property
    def total_load(self) -> int:
        """Outstanding requests of the pool as far as known."""
        return self.own.load + sum(
            entry.load.load for entry in self.list_active()
        )

    @property
    def average_load(self) -> float:
        """Mean number of outstanding requests per server."""
        return self.total_load / self.server_count

    def load_limit(self, bound: float) -> int:
        """Return the highest load that a server may reach by an accept."""
        return _limit(bound, self.total_load, self.server_count)

    def conservative_load_limit(self, bound: float, hold_s: float) -> int:
        """Return a limit that holds though requests ended since a report.

        Takes requests to last ``hold_s`` on average and to end, as those
        of a burst do, ``BURST_FACTOR`` faster than if independent of each
        other; stays ``SAFE_DEVIATIONS`` below the expected total.
        """
        now = self.clock()
        counted = self.list_active()
        expected = variance = 0.0
        for entry in counted:
            age_s = now - entry.stated_at
            lasting = math.exp(-BURST_FACTOR * age_s / hold_s)
            expected += entry.load.load * lasting
            variance += entry.load.load * lasting * (1.0 - lasting)
        low = max(0.0, expected - SAFE_DEVIATIONS * math.sqrt(variance))
        return _limit(bound, self.own.load + low, 1 + len(counted))

    def list_least_loaded(self, k: int) -> list[messages.Load]:
        """List the ``k`` mates with the lowest loads."""
        return [entry.load for entry in self._rank_by_load()[:k]]

    def choose_alternatives(self, k: int) -> list[messages.Load]:
        """List the ``k`` best mates for a refused request.

        The first is expected to get it, so that a burst of refusals is
        spread and does not all go to one server.
        """
        chosen = self._rank_by_load()[:k]
        if chosen:
            chosen[0].named.append(self.clock())
        return [entry.load for entry in chosen]

    def _rank_by_load(self) -> list[PeerLoad]:
        """List the counted mates, least loaded first."""
        oldest = self.clock() - SUGGESTION_TTL_S
        counted = self.list_active()
        for entry in counted:
            entry.named = [at for at in entry.named if at > oldest]
        return sorted(
            counted, key=lambda e: (e.load.load + len(e.named), e.load.vm)
        )

    def find_load(self, vm: str) -> messages.Load | None:
        """Return the load of a counted server."""
        if vm == self.own.vm:
            return self.own
        for entry in self.list_active():
            if entry.load.vm == vm:
                return entry.load
        return None

    def select_gossip_loads(
        self, most: int, random: numpy.random.Generator
    ) -> list[messages.Load]:
        """List the own load and others to pass on, at most ``most``.

        The reports that were passed on least come first, else those of a
        large pool that are heard seldom would never travel.
        """
        heard = [e for e in self.peer_loads.values() if e.load.version > 0]
        heard = [heard[index] for index in random.permutation(len(heard))]
        heard.sort(key=lambda entry: entry.passed_on)
        chosen = heard[: most - 1]
        for entry in chosen:
            entry.passed_on += 1
        return [self.own, *[entry.load for entry in chosen]]


def _age_key(load: messages.Load) -> tuple[int, int]:
    """Order the reports of one server by age."""
    return load.incarnation, load.version


def _limit(bound: float, total: float, count: int) -> int:
    """Return the load that a pool's bound lets one server reach."""
    return max(1, math.ceil(bound * (total + 1) / count))
