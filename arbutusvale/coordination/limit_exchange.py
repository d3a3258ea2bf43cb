"""Exchange of servers' limits, and of the demand for them, among routers."""

import asyncio
from collections.abc import Callable

from arbutusvale.coordination import server_pacing
from arbutusvale.protocol import limit_message
from arbutusvale.state import server_limits

SEND_INTERVAL_S = 0.25


class LimitExchange:
    """Sender and receiver of limits; silent while no server has one.

    ``list_hosts`` returns the hosts of all routers that may listen, and
    ``interval_s`` the time between two messages to each.
    """

    def __init__(
        self,
        host: str,
        limits: server_limits.ServerLimits,
        list_hosts: Callable[[], list[str]],
        interval_s: Callable[[], float],
        clock: Callable[[], float],
    ):
        self.host = host
        self.limits = limits
        self.list_hosts = list_hosts
        self.interval_s = interval_s
        self.clock = clock
        self.pacer: server_pacing.ServerPacer | None = None
        self.send: Callable[[str, bytes], None] = _discard
        self.send_requested = asyncio.Event()

    def announce(self) -> None:
        """Tell peers soon of a limit that changed."""
        self.send_requested.set()

    def receive(self, message: limit_message.LimitMessage) -> None:
        """Take over a peer's newer limits, and its demand."""
        if message.host == self.host:
            return
        self.limits.record_peer_demand(message.host, message.demand)
        if self.pacer is not None:
            self.pacer.merge(message.host, message.paces)
        now = self.clock()
        for limit in message.limits:
            self.limits.merge(
                server_limits.LimitState(
                    limit.server_id,
                    limit.started_at_ms,
                    limit.pool,
                    limit.rate,
                    now - limit.age_ms / 1000,
                )
            )

    async def run(self) -> None:
        """Send limits and demand at intervals until cancelled."""
        while True:
            self.broadcast()
            self.send_requested.clear()
            try:
                async with asyncio.timeout(self.interval_s()):
                    await self.send_requested.wait()
            except TimeoutError:
                continue

    def broadcast(self) -> None:
        """Send all limits, and this router's demand, to all peers."""
        states = self.limits.list_states()
        paces = self.pacer.list_evidence() if self.pacer is not None else ()
        if not states and not paces:
            return
        now = self.clock()
        limits = [
            limit_message.NamedLimit(
                state.server_id,
                state.started_at_ms,
                state.pool,
                state.rate,
                int(
                    min(
                        limit_message.MAX_AGE_MS,
                        max(0.0, 1000 * (now - state.observed_at)),
                    )
                ),
            )
            for state in states
        ]
        pools = {limit.pool for limit in limits}
        demand = {
            pool: rate
            for pool, rate in self.limits.read_demand().items()
            if pool in pools
        }
        datagrams = [
            limit_message.encode(
                limit_message.LimitMessage(
                    self.host,
                    demand,
                    tuple(limits[start : start + limit_message.MAX_LIMITS]),
                )
            )
            for start in range(0, len(limits), limit_message.MAX_LIMITS)
        ]
        if paces:
            message = limit_message.LimitMessage(
                self.host, demand, (), tuple(paces)
            )
            datagrams.append(limit_message.encode(message))
        for host in self.list_hosts():
            for data in datagrams:
                self.send(host, data)


def _discard(host: str, data: bytes) -> None:
    """Drop a datagram while no socket is open."""
