"""Keep the latest list of VMs that a process knows."""

from arbutusvale.protocol import messages
from arbutusvale.protocol import ports


class Fleet:
    """Hold the VM list; the list lags, so it is only a guess."""

    def __init__(self):
        self.vms: dict[str, ports.Vm] = {}
        self.version = 0

    def replace(self, vms: list[ports.Vm]) -> None:
        """Put a newly read list in place of the old one."""
        self.vms = {vm.name: vm for vm in vms}
        self.version += 1

    def find(self, name: str) -> ports.Vm | None:
        """Return the VM of this name, if it is listed."""
        return self.vms.get(name)

    def list_live(self, pool: str) -> list[ports.Vm]:
        """List the VMs of a pool that are not leaving, by name."""
        return sorted(
            (
                vm
                for vm in self.vms.values()
                if vm.pool == pool and vm.state == messages.VmState.LIVE
            ),
            key=lambda vm: vm.name,
        )
