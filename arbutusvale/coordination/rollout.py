"""Rollout of a signed bundle to the whole fleet."""

import asyncio
import dataclasses
import time

from arbutusvale import errors
from arbutusvale.coordination import config_reader
from arbutusvale.coordination import fleet_status
from arbutusvale.protocol import ports
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain

FIND_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class InForceEverywhere:
    """Outcome: every listed VM reported the bundle or a later one."""

    offset: int
    version: str
    vms: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LostRace:
    """Outcome: another bundle was appended first; nothing changed."""

    winner: str
    by: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Outcome: no process accepts the record; nothing changed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Outcome: unknown whether the log appended the record."""

    publication: str
    cause: str


@dataclasses.dataclass(frozen=True, slots=True)
class Laggard:
    """A VM that did not report the bundle, and what it reported instead."""

    vm: str
    found: str


@dataclasses.dataclass(frozen=True, slots=True)
class Laggards:
    """Outcome: accepted, but some VMs did not report it in time."""

    offset: int
    version: str
    names: list[Laggard]


Outcome = InForceEverywhere | LostRace | Refused | OutcomeUnknown | Laggards


class Rollout:
    """Publisher that appends records and waits for the VMs to report them.

    ``read_status`` reads the active bundle from a VM's admin port.
    ``find_timeout_s`` bounds the search for an appended record in the log;
    it has to be read back as the response of the append may be lost.
    """

    def __init__(
        self,
        reader: config_reader.ConfigReader,
        vm_list: ports.VmList,
        read_status: fleet_status.StatusReader,
        find_timeout_s: float = FIND_TIMEOUT_S,
    ):
        self.reader = reader
        self.vm_list = vm_list
        self.read_status = read_status
        self.find_timeout_s = find_timeout_s

    async def read_head(self) -> bundle_chain.ActiveBundle | None:
        """Read the log; return its head, None if there is no bundle.

        Raises :class:`errors.LogUnavailable`.
        """
        await self.reader.read_to_end()
        return self.reader.chain.head

    async def publish(self, record: bytes, timeout: float) -> Outcome:
        """Append ``record``; wait up to ``timeout`` s for all VMs.

        A record that cannot follow the head is not appended.  Raises
        :class:`errors.LogUnavailable` if nothing was appended.
        """
        previewed = self.reader.chain.preview(record)
        match previewed:
            case bundle_chain.Rejected():
                return self._classify_rejection(previewed)
            case bundle_chain.Refresh(version=version):
                head = self.reader.chain.head
                return await self.wait_for_vms(head.offset, version, timeout)
        publication = signing.decode(record).publication
        cause = 'the record was not found in the log'
        try:
            await self.reader.log.append(signing.STREAM, record)
        except errors.AppendOutcomeUnknown as error:
            cause = error.problem
        found = await self.reader.find_outcome(
            publication, self.find_timeout_s
        )
        match found:
            case None:
                return OutcomeUnknown(publication, cause)
            case bundle_chain.Accepted(offset=offset, version=version):
                return await self.wait_for_vms(offset, version, timeout)
            case bundle_chain.Rejected():
                return self._classify_rejection(found)

    def _classify_rejection(self, found: bundle_chain.Rejected) -> Outcome:
        """Distinguish a lost race from a record that is never accepted."""
        head = self.reader.chain.head
        if found.version and head is not None:
            return LostRace(head.version, head.operator)
        return Refused(found.reason)

    async def wait_for_vms(
        self, offset: int, version: str, timeout: float
    ) -> InForceEverywhere | Laggards:
        """Wait until all listed VMs report ``offset`` or a later one."""
        started_at = time.monotonic()
        up_to_date: set[str] = set()
        while True:
            vms = await self._list_vms()
            laggards = await self._find_laggards(vms, offset, up_to_date)
            seconds = time.monotonic() - started_at
            if vms is not None and not laggards:
                return InForceEverywhere(offset, version, len(vms), seconds)
            if seconds > timeout:
                return Laggards(offset, version, laggards)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _list_vms(self) -> list[ports.Vm] | None:
        """Read the VM list; None if it is unavailable."""
        try:
            return await self.vm_list.read()
        except errors.LogUnavailable:
            return None

    async def _find_laggards(
        self, vms: list[ports.Vm] | None, offset: int, up_to_date: set[str]
    ) -> list[Laggard]:
        """Ask the VMs that are not ``up_to_date``; return those behind.

        Adds the names of the others to ``up_to_date``.
        """
        if vms is None:
            return [Laggard('the VM list', 'could not be read')]
        pending_vms = [vm for vm in vms if vm.name not in up_to_date]
        reports = await fleet_status.read_reports(
            pending_vms, self.read_status
        )
        up_to_date.update(
            report.vm.name for report in reports if report.has_offset(offset)
        )
        return [
            Laggard(report.vm.name, report.describe())
            for report in reports
            if not report.has_offset(offset)
        ]
