"""Selection of candidate VMs for a request by the pool's policy."""

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

_MAX_DIVERTED_CHATS = 4096
_MAX_CANDIDATES = 16
_MAX_LOAD_AGE_S = 2.0
_MAX_SENT_LOADS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A VM to try and the reason, which is logged."""

    vm: str
    reason: str
    named_by_sidecar: bool = False
    redirected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedLoad:
    """A load report with its time of arrival."""

    load: messages.Load
    received_at: float


class Candidates:
    """The VMs that may still be tried for one request, in order.

    ``home`` is the VM that rendezvous hashing over the VM list ranks first.
    """

    def __init__(self, *, policy: str, home: str, choices: list[Choice]):
        self.policy = policy
        self.home = home
        self.choices = choices
        self.tried: set[str] = set()
        self.excluded: set[str] = set()
        self.total_count = len(choices)

    def pop_next(self) -> Choice | None:
        """Remove and return the next untried VM; None if there is none."""
        while self.choices:
            choice = self.choices.pop(0)
            if choice.vm not in self.tried or choice.redirected:
                self.tried.add(choice.vm)
                return choice
        return None

    def peek(self) -> Choice | None:
        """Return what :meth:`pop_next` would return, without removing it."""
        for choice in self.choices:
            if choice.vm not in self.tried or choice.redirected:
                return choice
        return None

    def prefer_alternatives(
        self, refuser: str, loads: list[messages.Load]
    ) -> None:
        """Try the alternatives that a refusal names before other VMs.

        They become untried again: this refusal is newer than an earlier one
        from a VM that it names.
        """
        named = [
            Choice(load.vm, 'named', named_by_sidecar=True)
            for load in loads
            if load.vm != refuser and load.vm not in self.excluded
        ]
        self.tried.difference_update(choice.vm for choice in named)
        self.choices[:0] = named

    def requeue_busy(self) -> None:
        """Requeue one tried VM, preferably the home, if no other is left."""
        if self.choices:
            return
        usable = self.tried - self.excluded
        if not usable:
            return
        vm = self.home if self.home in usable else min(usable)
        self.tried.discard(vm)
        self.choices.append(Choice(vm, 'again', named_by_sidecar=True))

    def exclude(self, vm: str) -> None:
        """Exclude a VM for the rest of this request."""
        self.excluded.add(vm)
        self.tried.add(vm)

    def prefer_redirect(self, vm: str) -> None:
        """Try the target of a redirect next, even if it was tried."""
        choice = Choice(vm, 'redirect', named_by_sidecar=True, redirected=True)
        self.choices.insert(0, choice)

    def requeue(self, choice: Choice) -> None:
        """Try the same VM again next."""
        self.tried.discard(choice.vm)
        self.choices.insert(
            0, dataclasses.replace(choice, named_by_sidecar=True)
        )


class Placement:
    """The router's placement policy, with recent loads and diverted chats.

    A diverted chat last ran on another VM than its home.
    """

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
        self.diverted_chats: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.loads: dict[str, _ReceivedLoad] = {}
        self.outstanding: dict[str, int] = {}

    def list_candidates(
        self, resolved: caller_request.ResolvedRequest, policy: bundle.Policy
    ) -> Candidates:
        """Order the live VMs of the request's pool; ejected ones go last."""
        ranked = self.fleet.rank(
            resolved.pool, resolved.hash_key, _MAX_CANDIDATES
        )
        home = ranked[0] if ranked else ''
        choices = self._apply_policy(policy, resolved, ranked)
        choices.sort(
            key=lambda choice: self.outlier_detector.is_ejected(choice.vm)
        )
        return Candidates(policy=policy.kind, home=home, choices=choices)

    def _apply_policy(
        self,
        policy: bundle.Policy,
        resolved: caller_request.ResolvedRequest,
        ranked: list[str],
    ) -> list[Choice]:
        """Order the VMs as the policy prescribes."""
        match policy:
            case bundle.RandomPolicy():
                shuffled = self._shuffle(resolved.pool)[:_MAX_CANDIDATES]
                return [Choice(name, 'random') for name in shuffled]
            case bundle.LeastLoadedPolicy():
                shuffled = self._shuffle(resolved.pool)
                shuffled.sort(key=lambda name: self.outstanding.get(name, 0))
                least = shuffled[:_MAX_CANDIDATES]
                return [Choice(name, 'least-loaded') for name in least]
            case bundle.RendezvousPolicy():
                return [Choice(name, 'rank') for name in ranked]
            case bundle.DirectoryPolicy():
                choices = [Choice(name, 'rank') for name in ranked]
                holder = self.diverted_chats.get(resolved.chat, '')
                if self.fleet.is_live(holder, resolved.pool):
                    choices.insert(0, Choice(holder, 'holder'))
                return choices

    def _shuffle(self, pool: str) -> list[str]:
        """Return the names of a pool's live VMs in random order."""
        names = [vm.name for vm in self.fleet.list_live(pool)]
        return self.generator.permutation(names).tolist()

    def record_run(
        self, resolved: caller_request.ResolvedRequest, home: str, vm: str
    ) -> bool:
        """Record where a chat ran; True if its home must be notified."""
        if not resolved.chat:
            return False
        known = self.diverted_chats.pop(resolved.chat, home)
        if vm != home:
            self.diverted_chats[resolved.chat] = vm
        if len(self.diverted_chats) > _MAX_DIVERTED_CHATS:
            self.diverted_chats.popitem(last=False)
        return vm not in (home, known)

    def record_outstanding(self, vm: str, count: int) -> None:
        """Record a VM's number of outstanding requests."""
        self.outstanding[vm] = count

    def record_loads(self, loads: list[messages.Load]) -> None:
        """Record the loads in a refusal unless a newer one is known."""
        now = self.clock()
        for load in loads:
            received = self.loads.get(load.vm)
            if received is None or _load_version(
                received.load
            ) <= _load_version(load):
                self.loads[load.vm] = _ReceivedLoad(load, now)
                self.outstanding[load.vm] = load.load

    def recent_loads(self, pool: str) -> list[messages.Load]:
        """List a pool's most recent loads, newest first."""
        oldest = self.clock() - _MAX_LOAD_AGE_S
        recent = [
            received
            for vm, received in self.loads.items()
            if received.received_at >= oldest and self.fleet.is_live(vm, pool)
        ]
        recent.sort(key=lambda received: received.received_at, reverse=True)
        return [received.load for received in recent[:_MAX_SENT_LOADS]]

    def forget_unlisted(self) -> None:
        """Drop the state of VMs that left the VM list."""
        known = set(self.fleet.vms)
        self.outlier_detector.prune(known)
        self.loads = {k: v for k, v in self.loads.items() if k in known}
        self.outstanding = {
            k: v for k, v in self.outstanding.items() if k in known
        }


def _load_version(load: messages.Load) -> tuple[int, int]:
    """Return the sort key of load reports from one VM."""
    return load.incarnation, load.version
