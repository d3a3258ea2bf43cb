"""Collection of the bundle version that each listed VM has."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from arbutusvale import errors
from arbutusvale.protocol import admin_api
from arbutusvale.protocol import ports

MAX_CONCURRENT_READS = 64

StatusReader = Callable[[str, str], Awaitable[admin_api.VmStatus]]


@dataclasses.dataclass(frozen=True, slots=True)
class VmReport:
    """A VM and its status, or None if it was unreachable."""

    vm: ports.Vm
    status: admin_api.VmStatus | None

    def has_offset(self, offset: int) -> bool:
        """Return whether the VM has the bundle at ``offset`` or newer."""
        return self.status is not None and self.status.offset >= offset

    def describe(self) -> str:
        """Describe the VM's bundle briefly."""
        if self.status is None:
            return 'not reachable'
        return self.status.version or 'no bundle'


async def read_reports(
    vms: list[ports.Vm], read_status: StatusReader
) -> list[VmReport]:
    """Read the status of the VMs concurrently; keeps their order."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def read_one(vm: ports.Vm) -> VmReport:
        async with limit:
            try:
                status = await read_status(vm.name, vm.admin)
            except errors.ServerUnreachable:
                status = None
            return VmReport(vm, status)

    return await asyncio.gather(*[read_one(vm) for vm in vms])
