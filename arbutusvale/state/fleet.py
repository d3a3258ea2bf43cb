"""Keep the latest list of VMs that a process knows."""

from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import rendezvous


class Fleet:
    """Hold the VM list; the list lags, so it is only a guess.

    What is derived from the list is kept until a new one replaces it.
    """

    def __init__(self):
        self.vms: dict[str, ports.Vm] = {}
        self.version = 0
        self.live_by_pool: dict[str, list[ports.Vm]] = {}
        self.rankings_by_pool: dict[str, rendezvous.Ranking] = {}

    def replace(self, vms: list[ports.Vm]) -> None:
        """Put a newly read list in place of the old one."""
        self.vms = {vm.name: vm for vm in vms}
        self.version += 1
        self.live_by_pool.clear()
        self.rankings_by_pool.clear()

    def find(self, name: str) -> ports.Vm | None:
        """Return the VM of this name, if it is listed."""
        return self.vms.get(name)

    def list_live(self, pool: str) -> list[ports.Vm]:
        """List the VMs of a pool that are not leaving, by name."""
        if pool not in self.live_by_pool:
            self.live_by_pool[pool] = sorted(
                (vm for vm in self.vms.values() if _is_live(vm, pool)),
                key=lambda vm: vm.name,
            )
        return list(self.live_by_pool[pool])

    def is_live(self, name: str, pool: str) -> bool:
        """Tell whether a VM is listed in a pool and not leaving."""
        vm = self.vms.get(name)
        return vm is not None and _is_live(vm, pool)

    def rank(self, pool: str, key: str, count: int) -> list[str]:
        """Return the first ``count`` live VMs of a pool for a key."""
        ranking = self.rankings_by_pool.get(pool)
        if ranking is None:
            names = [vm.name for vm in self.list_live(pool)]
            ranking = rendezvous.Ranking(names)
            self.rankings_by_pool[pool] = ranking
        return ranking.rank(key, count)


def _is_live(vm: ports.Vm, pool: str) -> bool:
    """Tell whether a VM belongs to a pool and is not leaving."""
    return vm.pool == pool and vm.state == messages.VmState.LIVE
