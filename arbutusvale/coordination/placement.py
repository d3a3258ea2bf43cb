"""Order the candidate VMs of a request by the pool's policy."""

import collections
from collections.abc import Callable
import dataclasses
import time

import numpy

from arbutusvale.coordination import caller_request
from arbutusvale.coordination import outlier_detection
from arbutusvale.protocol import bundle
from arbutusvale.protocol import messages
from arbutusvale.state import fleet

_LRU_CHATS = 4096
_MAX_CANDIDATES = 16
_LOAD_AGE_S = 2.0
_MAX_LOADS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Name the VM to try next and why."""

    vm: str
    reason: str
    named: bool = False
    redirected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _SeenLoad:
    """Hold a load with the time at which it was seen."""

    load: messages.Load
    at: float


class Candidates:
    """Hold the VMs that may still be tried for one request.

    ``home`` is the chat's first choice by the list alone.
    """

    def __init__(self, *, policy: str, home: str, choices: list[Choice]):
        self.policy = policy
        self.home = home
        self.choices = choices
        self.tried: set[str] = set()
        self.unusable: set[str] = set()
        self.weighed = len(choices)

    def take(self) -> Choice | None:
        """Take the next VM that was not tried; None when all were."""
        while self.choices:
            choice = self.choices.pop(0)
            if choice.vm not in self.tried or choice.redirected:
                self.tried.add(choice.vm)
                return choice
        return None

    def peek(self) -> Choice | None:
        """Return the VM that :meth:`take` would take."""
        for choice in self.choices:
            if choice.vm not in self.tried or choice.redirected:
                return choice
        return None

    def prefer(self, refuser: str, loads: list[messages.Load]) -> None:
        """Try the VMs that a refusal named before the others.

        The refusal is newer than an earlier one of a VM that it names.
        """
        named = [
            Choice(load.vm, 'named', named=True)
            for load in loads
            if load.vm != refuser and load.vm not in self.unusable
        ]
        self.tried.difference_update(choice.vm for choice in named)
        self.choices[:0] = named

    def return_busy(self) -> None:
        """Try a busy VM again when no other is left, the home first."""
        if self.choices:
            return
        usable = self.tried - self.unusable
        if not usable:
            return
        vm = self.home if self.home in usable else min(usable)
        self.tried.discard(vm)
        self.choices.append(Choice(vm, 'again', named=True))

    def exclude(self, vm: str) -> None:
        """Never try a VM again for this request."""
        self.unusable.add(vm)
        self.tried.add(vm)

    def redirect(self, vm: str) -> None:
        """Try the VM that a redirect named before all others."""
        choice = Choice(vm, 'redirect', named=True, redirected=True)
        self.choices.insert(0, choice)

    def again(self, choice: Choice) -> None:
        """Try the same VM again."""
        self.tried.discard(choice.vm)
        self.choices.insert(0, dataclasses.replace(choice, named=True))


class Placement:
    """Order candidates and remember loads and diverted chats."""

    def __init__(
        self,
        *,
        fleet: fleet.Fleet,
        outlier_detector: outlier_detection.OutlierDetector,
        generator: numpy.random.Generator,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.fleet = fleet
        self.outlier_detector = outlier_detector
        self.generator = generator
        self.clock = clock
        self.chats: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.loads: dict[str, _SeenLoad] = {}
        self.outstanding: dict[str, int] = {}

    def order(
        self, work: caller_request.ResolvedRequest, policy: bundle.Policy
    ) -> Candidates:
        """Order the live VMs of the work's pool; avoided ones go last."""
        ranked = self.fleet.rank(work.pool, work.spread, _MAX_CANDIDATES)
        home = ranked[0] if ranked else ''
        choices = self._apply(policy, work, ranked)
        choices.sort(
            key=lambda choice: self.outlier_detector.is_ejected(choice.vm)
        )
        return Candidates(policy=policy.kind, home=home, choices=choices)

    def _apply(
        self,
        policy: bundle.Policy,
        work: caller_request.ResolvedRequest,
        ranked: list[str],
    ) -> list[Choice]:
        """Order the VMs as the policy wants."""
        match policy:
            case bundle.RandomPolicy():
                shuffled = self._shuffle(work.pool)[:_MAX_CANDIDATES]
                return [Choice(name, 'random') for name in shuffled]
            case bundle.LeastLoadedPolicy():
                shuffled = self._shuffle(work.pool)
                shuffled.sort(key=lambda name: self.outstanding.get(name, 0))
                least = shuffled[:_MAX_CANDIDATES]
                return [Choice(name, 'least-loaded') for name in least]
            case bundle.RendezvousPolicy():
                return [Choice(name, 'rank') for name in ranked]
            case bundle.DirectoryPolicy():
                choices = [Choice(name, 'rank') for name in ranked]
                holder = self.chats.get(work.chat, '')
                if self.fleet.is_live(holder, work.pool):
                    choices.insert(0, Choice(holder, 'holder'))
                return choices

    def _shuffle(self, pool: str) -> list[str]:
        """Return the names of a pool's live VMs in random order."""
        names = [vm.name for vm in self.fleet.list_live(pool)]
        return self.generator.permutation(names).tolist()

    def record_run(
        self, work: caller_request.ResolvedRequest, home: str, vm: str
    ) -> bool:
        """Remember where a chat ran; True when its home must be told."""
        if not work.chat:
            return False
        known = self.chats.pop(work.chat, home)
        if vm != home:
            self.chats[work.chat] = vm
        if len(self.chats) > _LRU_CHATS:
            self.chats.popitem(last=False)
        return vm not in (home, known)

    def record_outstanding(self, vm: str, count: int) -> None:
        """Remember the outstanding requests that an answer told."""
        self.outstanding[vm] = count

    def record_loads(self, loads: list[messages.Load]) -> None:
        """Remember loads that a refusal carried; the newest of a VM wins."""
        now = self.clock()
        for load in loads:
            seen = self.loads.get(load.vm)
            if seen is None or _version(seen.load) <= _version(load):
                self.loads[load.vm] = _SeenLoad(load, now)
                self.outstanding[load.vm] = load.load

    def recent_loads(self, pool: str) -> list[messages.Load]:
        """List the loads of a pool that were seen a moment ago."""
        oldest = self.clock() - _LOAD_AGE_S
        recent = [
            seen
            for vm, seen in self.loads.items()
            if seen.at >= oldest and self.fleet.is_live(vm, pool)
        ]
        recent.sort(key=lambda seen: seen.at, reverse=True)
        return [seen.load for seen in recent[:_MAX_LOADS]]

    def forget_unlisted(self) -> None:
        """Drop what is known of VMs that are no longer listed."""
        known = set(self.fleet.vms)
        self.outlier_detector.prune(known)
        self.loads = {k: v for k, v in self.loads.items() if k in known}
        self.outstanding = {
            k: v for k, v in self.outstanding.items() if k in known
        }


def _version(load: messages.Load) -> tuple[int, int]:
    """Return what orders two loads of one VM."""
    return load.incarnation, load.version
