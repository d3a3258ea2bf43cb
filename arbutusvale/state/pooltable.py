"""Keep the loads of one pool's servers as their sidecars reported them."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import time

from arbutusvale.protocol import messages

SILENCE_S = 5.0


@dataclasses.dataclass(slots=True)
class Entry:
    """Hold the newest load of a mate and when it was heard.

    ``listed`` says that the VM list named the mate once; ``counted`` turns
    false when the list drops it.
    """

    load: messages.Load
    heard_at: float
    listed: bool = False
    counted: bool = True


class PoolTable:
    """Hold the newest load of every server of a pool, its own included.

    A listed mate counts with load 0 until it is heard.  Mates that are
    leaving, no longer listed or silent for ``SILENCE_S`` do not count.
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
        self.entries: dict[str, Entry] = {}

    def set_own(self, load: int, state: str | None = None) -> None:
        """State the own load, and state when it changed."""
        self.own = dataclasses.replace(
            self.own,
            version=self.own.version + 1,
            load=load,
            state=self.own.state if state is None else str(state),
        )

    def touch(self) -> None:
        """Raise the own version, so that mates hear a sign of life."""
        self.set_own(self.own.load)

    def merge(self, loads: Iterable[messages.Load]) -> int:
        """Take over loads that are newer; return how many were."""
        newer = 0
        for load in loads:
            newer += self._merge_one(load)
        return newer

    def _merge_one(self, load: messages.Load) -> bool:
        """Take over one load if it is newer than the known one."""
        if load.vm == self.own.vm:
            return False
        entry = self.entries.get(load.vm)
        if entry is None:
            self.entries[load.vm] = Entry(load, self.clock())
            return True
        if _age_key(load) <= _age_key(entry.load):
            return False
        entry.load = load
        entry.heard_at = self.clock()
        return True

    def set_listed(self, names: Iterable[str]) -> None:
        """Follow the VM list: ``names`` are the pool's live servers."""
        wanted = set(names) - {self.own.vm}
        for name in wanted:
            entry = self.entries.get(name)
            if entry is None:
                unheard = messages.Load(
                    name, 0, 0, 0, messages.VmState.LIVE.value
                )
                entry = Entry(unheard, self.clock())
                self.entries[name] = entry
            entry.listed = True
            entry.counted = True
        for name, entry in list(self.entries.items()):
            if entry.listed and name not in wanted:
                entry.counted = False
        self._forget_silent()

    def _forget_silent(self) -> None:
        """Drop mates that were dropped from the list and are silent."""
        now = self.clock()
        for name, entry in list(self.entries.items()):
            if not entry.counted and now - entry.heard_at > 2 * SILENCE_S:
                del self.entries[name]

    def list_counted(self) -> list[Entry]:
        """List the mates that count towards the mean."""
        now = self.clock()
        return [
            entry
            for entry in self.entries.values()
            if entry.counted
            and entry.load.state == messages.VmState.LIVE
            and now - entry.heard_at <= SILENCE_S
        ]

    @property
    def count(self) -> int:
        """Number of servers that share the pool's load, own included."""
        return 1 + len(self.list_counted())

    @property
    def total(self) -> int:
        """Outstanding requests of the pool as far as known."""
        return self.own.load + sum(
            entry.load.load for entry in self.list_counted()
        )

    @property
    def mean(self) -> float:
        """Mean number of outstanding requests per server."""
        return self.total / self.count

    def bound_limit(self, bound: float) -> int:
        """Return the highest load that a server may reach by an accept."""
        return _limit(bound, self.total, self.count)

    def sure_limit(self, bound: float, fresh_s: float) -> int:
        """Return the limit that holds even if old reports dropped to 0."""
        now = self.clock()
        counted = self.list_counted()
        total = self.own.load + sum(
            entry.load.load
            for entry in counted
            if now - entry.heard_at <= fresh_s
        )
        return _limit(bound, total, 1 + len(counted))

    def least_loaded(self, k: int) -> list[messages.Load]:
        """List the ``k`` mates with the lowest loads."""
        loads = [entry.load for entry in self.list_counted()]
        loads.sort(key=lambda load: (load.load, load.vm))
        return loads[:k]

    def find(self, vm: str) -> messages.Load | None:
        """Return the load of a counted server."""
        if vm == self.own.vm:
            return self.own
        for entry in self.list_counted():
            if entry.load.vm == vm:
                return entry.load
        return None

    def list_newest(self, most: int) -> list[messages.Load]:
        """List the own load and those heard last, at most ``most``."""
        heard = sorted(
            (e for e in self.entries.values() if e.load.version > 0),
            key=lambda entry: -entry.heard_at,
        )
        return [self.own, *[entry.load for entry in heard[: most - 1]]]


def _age_key(load: messages.Load) -> tuple[int, int]:
    """Order the reports of one server by age."""
    return load.incarnation, load.version


def _limit(bound: float, total: int, count: int) -> int:
    """Return the load that a pool's bound lets one server reach."""
    return max(1, math.ceil(bound * (total + 1) / count))
