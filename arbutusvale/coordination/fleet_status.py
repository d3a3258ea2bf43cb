"""Ask all listed VMs which bundle they have."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from arbutusvale import errors
from arbutusvale.protocol import adminapi
from arbutusvale.protocol import ports

STATUS_READERS = 64

StatusReader = Callable[[str, str], Awaitable[adminapi.VmStatus]]


@dataclasses.dataclass(frozen=True, slots=True)
class VmReport:
    """Hold a VM and what it reported; None when it was not reachable."""

    vm: ports.Vm
    status: adminapi.VmStatus | None

    def has_offset(self, offset: int) -> bool:
        """Tell whether the VM reported ``offset`` or a later one."""
        return self.status is not None and self.status.offset >= offset

    def describe(self) -> str:
        """Describe in a few words what the VM reported."""
        if self.status is None:
            return 'not reachable'
        return self.status.version or 'no bundle'


async def read_reports(
    vms: list[ports.Vm], read_status: StatusReader
) -> list[VmReport]:
    """Ask the VMs, a bounded number at once; keeps their order."""
    limit = asyncio.Semaphore(STATUS_READERS)

    async def ask(vm: ports.Vm) -> VmReport:
        async with limit:
            try:
                status = await read_status(vm.name, vm.admin)
            except errors.ServerUnreachable:
                status = None
            return VmReport(vm, status)

    return await asyncio.gather(*[ask(vm) for vm in vms])
