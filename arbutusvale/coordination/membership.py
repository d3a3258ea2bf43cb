"""Membership of the fleet, from the platform's VM list."""

import asyncio
from collections.abc import Callable

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import ports
from arbutusvale.state import fleet

POLL_INTERVAL_S = 1.0


class Membership:
    """Poller of the VM list that keeps a :class:`fleet.Fleet` up to date.

    If the list cannot be read, the last one stays in use.
    """

    def __init__(self, vm_list: ports.VmList, vm_fleet: fleet.Fleet):
        self.vm_list = vm_list
        self.fleet = vm_fleet
        self.listeners: list[Callable[[], None]] = []
        self.first_read = asyncio.Event()

    async def run(self) -> None:
        """Poll the list periodically, until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the list once and notify the listeners of a change."""
        try:
            vms = await self.vm_list.read()
        except errors.LogUnavailable as error:
            logging.warning('event=vm-list-unread cause="%s"', error.problem)
            return
        changed = {vm.name: vm for vm in vms} != self.fleet.vms
        if changed:
            self.fleet.replace(vms)
        self.first_read.set()
        if changed:
            for listener in self.listeners:
                listener()
