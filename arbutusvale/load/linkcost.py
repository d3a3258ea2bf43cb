"""Measure memory and bytes of idle links between two VMs."""

import asyncio
import dataclasses

from arbutusvale.load import procstat
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import fleet
from arbutusvale.transport import link_listener
from arbutusvale.transport import link_pool

FLEET_KEY = 'fleet-key-of-the-bench'
LINKS = 200
IDLE_S = 5.0


@dataclasses.dataclass(frozen=True)
class LinkCost:
    """Hold the cost of one idle link, both of its ends together."""

    links: int
    opening_bytes: float
    idle_bytes_per_s: float
    rss_bytes: float


class _NoHandler:
    """Ignore what arrives."""

    async def receive(self, link, message) -> None:
        """Drop a message."""

    async def on_link_closed(self, link) -> None:
        """Do nothing."""


async def measure(count: int = LINKS) -> LinkCost:
    """Open ``count`` links within this process and leave them idle."""
    servers = [_make_server(number) for number in range(count)]
    for each in servers:
        await each.start()
    known = fleet.Fleet()
    known.replace([_describe(each) for each in servers])
    pool = link_pool.LinkPool(
        fleet=known,
        vm='bench-router',
        incarnation=1,
        role=messages.Role.ROUTER,
        fleet_key=FLEET_KEY,
        handler=_NoHandler(),
    )
    before = procstat.read_own().rss_bytes
    for each in servers:
        await pool.get(each.identity.vm)
    opened = _count_bytes(pool)
    await asyncio.sleep(IDLE_S)
    rss = procstat.read_own().rss_bytes - before
    idle = _count_bytes(pool) - opened
    await pool.stop()
    for each in servers:
        await each.stop()
    return LinkCost(count, opened / count, idle / count / IDLE_S, rss / count)


def _make_server(number: int) -> link_listener.LinkListener:
    """Make the listening end of one link."""
    return link_listener.LinkListener(
        listen='127.0.0.1:0',
        vm=f'bench-{number}',
        incarnation=1,
        role=messages.Role.SIDECAR,
        fleet_key=FLEET_KEY,
        handler=_NoHandler(),
    )


def _describe(server: link_listener.LinkListener) -> ports.Vm:
    """Return the VM list's entry of a server."""
    return ports.Vm(
        name=server.identity.vm,
        role=messages.Role.SIDECAR,
        address=f'127.0.0.1:{server.port}',
        admin='',
        data_centre='poa-1',
        pool='bench',
        state=messages.VmState.LIVE,
    )


def _count_bytes(pool: link_pool.LinkPool) -> int:
    """Return the bytes that the links of a pool carried."""
    counted = (pool.counters.sent, pool.counters.received)
    return sum(each.control_bytes + each.request_bytes for each in counted)
