"""Accept links from other VMs of the fleet."""

import asyncio
import time

from absl import logging
from websockets.asyncio import server

from arbutusvale import errors
from arbutusvale import settings
from arbutusvale.protocol import ports
from arbutusvale.transport import handshake
from arbutusvale.transport import link_counters
from arbutusvale.transport import links

IDLE_TIMEOUT_S = 150.0
_SWEEP_SHARE = 0.25


class LinkListener:
    """Listen on one address and run a link per connection.

    A new link from a VM replaces an older one, which its other side has
    given up.
    """

    def __init__(
        self,
        *,
        listen: str,
        vm: str,
        incarnation: int,
        role: str,
        fleet_key: str,
        handler: ports.LinkHandler,
        counters: link_counters.LinkCounters | None = None,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ):
        self.address = settings.split_address(listen)
        self.identity = handshake.Identity(vm, incarnation, role, fleet_key)
        self.handler = handler
        self.counters = counters or link_counters.LinkCounters()
        self.links: dict[str, links.Link] = {}
        self.idle_timeout_s = idle_timeout_s
        self.server: server.Server | None = None
        self.sweeping: asyncio.Task | None = None

    async def start(self) -> None:
        """Start to listen."""
        self.server = await server.serve(
            self._run_link,
            self.address.host,
            self.address.port,
            **links.SOCKET_OPTIONS,
        )
        self.sweeping = asyncio.create_task(self._sweep())

    @property
    def port(self) -> int:
        """Return the port, also when the settings left it to the system."""
        return self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop to listen, send what is queued and close every link."""
        if self.server is None:
            return
        self.sweeping.cancel()
        self.server.close(close_connections=False)
        open_links = list(self.links.values())
        await asyncio.gather(*(link.finish() for link in open_links))
        await self.server.wait_closed()

    async def _sweep(self) -> None:
        """Close the links that were silent for the idle time.

        Their other side closes idle links sooner, unless it is gone.
        """
        while True:
            await asyncio.sleep(self.idle_timeout_s * _SWEEP_SHARE)
            oldest = time.monotonic() - self.idle_timeout_s
            for link in list(self.links.values()):
                if link.used_at < oldest:
                    link.close()

    async def _run_link(self, socket: server.ServerConnection) -> None:
        """Authenticate one connection and carry its messages."""
        try:
            peer = await handshake.accept(socket, self.identity, self.counters)
        except (errors.LinkClosed, errors.FrameError) as error:
            logging.warning(
                'event=link-rejected cause="%s"',
                error.problem,
            )
            return
        link = links.Link(
            socket=socket,
            peer=peer,
            handler=self.handler,
            counters=self.counters,
        )
        older = self.links.get(peer.vm)
        self.links[peer.vm] = link
        if older is not None:
            older.close()
        try:
            await link.run()
        finally:
            if self.links.get(peer.vm) is link:
                del self.links[peer.vm]
