"""Publish a signed bundle and wait until the whole fleet has it."""

import asyncio
import dataclasses
import time

from arbutusvale import errors
from arbutusvale.coordination import config_reader
from arbutusvale.coordination import fleet_status
from arbutusvale.protocol import ports
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain

LOOK_AGAIN_S = 10.0
POLL_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class InForceEverywhere:
    """Report that every listed VM has the bundle, or a later one."""

    offset: int
    version: str
    vms: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LostRace:
    """Report that another bundle was appended first; nothing changed."""

    winner: str
    by: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report a record that no process accepts; nothing changed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Report that the log did not tell whether it took the record."""

    publication: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Laggard:
    """Name a VM that did not report the bundle, and what it did report."""

    vm: str
    found: str


@dataclasses.dataclass(frozen=True, slots=True)
class Laggards:
    """Report an accepted bundle that some VMs did not report in time."""

    offset: int
    version: str
    names: list[Laggard]


Outcome = InForceEverywhere | LostRace | Refused | OutcomeUnknown | Laggards


class Rollout:
    """Append records to the ``config`` stream and watch them arrive.

    ``read_status`` reads the bundle that a VM reports at its admin port;
    ``look_again_s`` bounds the search for a record whose append answer was
    lost.
    """

    def __init__(
        self,
        reader: config_reader.ConfigReader,
        vm_list: ports.VmList,
        read_status: fleet_status.StatusReader,
        look_again_s: float = LOOK_AGAIN_S,
    ):
        self.reader = reader
        self.vm_list = vm_list
        self.read_status = read_status
        self.look_again_s = look_again_s

    async def read_head(self) -> bundle_chain.ActiveBundle | None:
        """Return the head of the log; raises :class:`LogUnavailable`."""
        await self.reader.read_to_end()
        return self.reader.chain.head

    async def publish(self, record: bytes, timeout: float) -> Outcome:
        """Append ``record``; wait up to ``timeout`` s for all VMs.

        A record that the head rules out is not appended.  Raises
        :class:`errors.LogUnavailable` when nothing was appended.
        """
        judged = self.reader.chain.preview(record)
        match judged:
            case bundle_chain.Rejected():
                return self._explain(judged)
            case bundle_chain.Refresh(version=version):
                head = self.reader.chain.head
                return await self.wait_for_vms(head.offset, version, timeout)
        publication = signing.decode(record).publication
        cause = 'the record was not found in the log'
        try:
            await self.reader.log.append(signing.STREAM, record)
        except errors.AppendOutcomeUnknown as error:
            cause = error.problem
        found = await self.reader.find_outcome(publication, self.look_again_s)
        match found:
            case None:
                return OutcomeUnknown(publication, cause)
            case bundle_chain.Accepted(offset=offset, version=version):
                return await self.wait_for_vms(offset, version, timeout)
            case bundle_chain.Rejected():
                return self._explain(found)

    def _explain(self, found: bundle_chain.Rejected) -> Outcome:
        """Tell a lost race from a record that can never be accepted."""
        head = self.reader.chain.head
        if found.version and head is not None:
            return LostRace(head.version, head.operator)
        return Refused(found.reason)

    async def wait_for_vms(
        self, offset: int, version: str, timeout: float
    ) -> InForceEverywhere | Laggards:
        """Wait until all listed VMs report ``offset`` or a later one."""
        start = time.monotonic()
        done: set[str] = set()
        while True:
            vms = await self._list_vms()
            behind = await self._find_behind(vms, offset, done)
            seconds = time.monotonic() - start
            if vms is not None and not behind:
                return InForceEverywhere(offset, version, len(vms), seconds)
            if seconds > timeout:
                return Laggards(offset, version, behind)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _list_vms(self) -> list[ports.Vm] | None:
        """Read the VM list; None when it cannot be read now."""
        try:
            return await self.vm_list.read()
        except errors.LogUnavailable:
            return None

    async def _find_behind(
        self, vms: list[ports.Vm] | None, offset: int, done: set[str]
    ) -> list[Laggard]:
        """Ask the VMs that are not ``done``; return those still behind."""
        if vms is None:
            return [Laggard('the VM list', 'could not be read')]
        waiting = [vm for vm in vms if vm.name not in done]
        reports = await fleet_status.read_reports(waiting, self.read_status)
        done.update(
            each.vm.name for each in reports if each.has_offset(offset)
        )
        return [
            Laggard(each.vm.name, each.describe())
            for each in reports
            if not each.has_offset(offset)
        ]
