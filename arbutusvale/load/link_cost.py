"""Benchmark of the memory and traffic of idle links between VMs."""

import asyncio
import dataclasses

from arbutusvale.load import process_stats
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import fleet
from arbutusvale.transport import link_listener
from arbutusvale.transport import link_pool

FLEET_KEY = 'fleet-key-of-the-bench'
DEFAULT_LINK_COUNT = 200
IDLE_PERIOD_S = 5.0


@dataclasses.dataclass(frozen=True)
class LinkCost:
    """Average cost of one idle link, both of its ends together.

    ``opening_bytes`` is the traffic until the link is open,
    ``idle_bytes_per_s`` that of the idle link.
    """

    links: int
    opening_bytes: float
    idle_bytes_per_s: float
    rss_bytes: float


class _DiscardingHandler:
    """Link handler that discards all messages."""

    async def receive(self, link, message) -> None:
        """Discard a message."""

    async def on_link_closed(self, link) -> None:
        """Ignore the end of a link."""


async def measure(count: int = DEFAULT_LINK_COUNT) -> LinkCost:
    """Open ``count`` links, with both ends in this process, and idle."""
    listeners = [_make_listener(number) for number in range(count)]
    for listener in listeners:
        await listener.start()
    vms = fleet.Fleet()
    vms.replace([_make_vm(listener) for listener in listeners])
    pool = link_pool.LinkPool(
        fleet=vms,
        vm='bench-router',
        incarnation=1,
        role=messages.Role.ROUTER,
        fleet_key=FLEET_KEY,
        handler=_DiscardingHandler(),
    )
    rss_before = process_stats.read_own_usage().rss_bytes
    for listener in listeners:
        await pool.get(listener.identity.vm)
    bytes_to_open = _count_bytes(pool)
    await asyncio.sleep(IDLE_PERIOD_S)
    added_rss = process_stats.read_own_usage().rss_bytes - rss_before
    idle_bytes = _count_bytes(pool) - bytes_to_open
    await pool.stop()
    for listener in listeners:
        await listener.stop()
    return LinkCost(
        count,
        bytes_to_open / count,
        idle_bytes / count / IDLE_PERIOD_S,
        added_rss / count,
    )


def _make_listener(number: int) -> link_listener.LinkListener:
    """Make the listening end of a link."""
    return link_listener.LinkListener(
        listen='127.0.0.1:0',
        vm=f'bench-{number}',
        incarnation=1,
        role=messages.Role.SIDECAR,
        fleet_key=FLEET_KEY,
        handler=_DiscardingHandler(),
    )


def _make_vm(listener: link_listener.LinkListener) -> ports.Vm:
    """Make the entry of a listener for the VM list."""
    return ports.Vm(
        name=listener.identity.vm,
        role=messages.Role.SIDECAR,
        address=f'127.0.0.1:{listener.port}',
        admin='',
        data_centre='poa-1',
        pool='bench',
        state=messages.VmState.LIVE,
    )


def _count_bytes(pool: link_pool.LinkPool) -> int:
    """Count the bytes that the links of a pool sent and received."""
    directions = (pool.counters.sent, pool.counters.received)
    return sum(
        direction.control_bytes + direction.request_bytes
        for direction in directions
    )
