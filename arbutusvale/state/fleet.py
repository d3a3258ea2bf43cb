"""The last VM list that a process read."""

from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import rendezvous


class Fleet:
    """The VM list, with rankings derived from it.

    The list lags behind the fleet, so its users must tolerate VMs that are
    gone or missing.  Derived values are cached until the next list.
    """

    def __init__(self):
        self.vms: dict[str, ports.Vm] = {}
        self.version = 0
        self.live_by_pool: dict[str, list[ports.Vm]] = {}
        self.rankings_by_pool: dict[str, rendezvous.Ranking] = {}

    def replace(self, vms: list[ports.Vm]) -> None:
        """Replace the list by a newer one."""
        self.vms = {vm.name: vm for vm in vms}
        self.version += 1
        self.live_by_pool.clear()
        self.rankings_by_pool.clear()

    def find(self, name: str) -> ports.Vm | None:
        """Return the VM with this name, None if it is not listed."""
        return self.vms.get(name)

    def list_live(self, pool: str) -> list[ports.Vm]:
        """List the live VMs of a pool, sorted by name."""
        if pool not in self.live_by_pool:
            self.live_by_pool[pool] = sorted(
                (vm for vm in self.vms.values() if _is_live(vm, pool)),
                key=lambda vm: vm.name,
            )
        return list(self.live_by_pool[pool])

    def is_live(self, name: str, pool: str) -> bool:
        """Return whether a VM is listed in a pool as live."""
        vm = self.vms.get(name)
        return vm is not None and _is_live(vm, pool)

    def rank(self, pool: str, key: str, count: int) -> list[str]:
        """Return the first ``count`` live VMs of a pool for a key.

        The order is that of rendezvous hashing.
        """
        ranking = self.rankings_by_pool.get(pool)
        if ranking is None:
            names = [vm.name for vm in self.list_live(pool)]
            ranking = rendezvous.Ranking(names)
            self.rankings_by_pool[pool] = ranking
        return ranking.rank(key, count)


def _is_live(vm: ports.Vm, pool: str) -> bool:
    """Return whether a VM belongs to a pool and is live."""
    return vm.pool == pool and vm.state == messages.VmState.LIVE
