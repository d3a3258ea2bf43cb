"""Open links to other VMs at need and keep them while they are used."""

import asyncio
import time

from absl import logging
from websockets import exceptions
from websockets.asyncio import client

from arbutusvale import errors
from arbutusvale.protocol import ports
from arbutusvale.state import fleet
from arbutusvale.transport import handshake
from arbutusvale.transport import link_counters
from arbutusvale.transport import links

CONNECT_TIMEOUT_S = 0.7
IDLE_TIMEOUT_S = 60.0
_SWEEP_SHARE = 0.25


class LinkPool:
    """Keep at most one link to each VM; implements :class:`ports.Links`."""

    def __init__(
        self,
        *,
        fleet: fleet.Fleet,
        vm: str,
        incarnation: int,
        role: str,
        fleet_key: str,
        handler: ports.LinkHandler,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        counters: link_counters.LinkCounters | None = None,
    ):
        self.fleet = fleet
        self.identity = handshake.Identity(vm, incarnation, role, fleet_key)
        self.handler = handler
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.counters = counters or link_counters.LinkCounters()
        self.links: dict[str, links.Link] = {}
        self.openings: dict[str, asyncio.Task] = {}
        self.tasks: set[asyncio.Task] = set()

    async def get(self, vm: str) -> links.Link:
        """Return the open link to ``vm``, opening it at need.

        Raises :class:`errors.LinkClosed` when the VM cannot be reached.
        """
        link = self.links.get(vm)
        if link is not None and not link.closed:
            return link
        task = self.openings.get(vm)
        if task is None:
            task = asyncio.create_task(self._open(vm))
            self.openings[vm] = task
            task.add_done_callback(lambda _: self.openings.pop(vm, None))
        return await asyncio.shield(task)

    def drop(self, vm: str) -> None:
        """Close the link to ``vm``, so that the next get opens another."""
        link = self.links.pop(vm, None)
        if link is not None:
            link.close()

    async def run(self) -> None:
        """Close idle links from time to time, until cancelled."""
        while True:
            await asyncio.sleep(self.idle_timeout_s * _SWEEP_SHARE)
            self.close_idle(time.monotonic())

    def close_idle(self, now: float) -> None:
        """Close the links which carried nothing for the idle time."""
        for vm, link in list(self.links.items()):
            if now - link.used_at > self.idle_timeout_s:
                self.drop(vm)

    async def stop(self) -> None:
        """Send what is queued on every link and close them all."""
        open_links = list(self.links.values())
        self.links.clear()
        await asyncio.gather(*(link.finish() for link in open_links))
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _open(self, vm: str) -> links.Link:
        """Connect to a VM, authenticate and start the link's task."""
        listed = self.fleet.find(vm)
        if listed is None:
            raise errors.LinkClosed(vm, 'it is not on the VM list')
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                link = await self._connect(listed)
        except (
            OSError,
            TimeoutError,
            errors.FrameError,
            exceptions.WebSocketException,
        ) as error:
            cause = str(error) or 'timeout'
            raise errors.LinkClosed(vm, cause) from error
        self.links[vm] = link
        task = asyncio.create_task(self._run(link))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return link

    async def _connect(self, listed: ports.Vm) -> links.Link:
        """Open and authenticate one connection."""
        socket = await client.connect(
            f'ws://{listed.address}/', proxy=None, **links.SOCKET_OPTIONS
        )
        try:
            peer = await handshake.connect(
                socket, self.identity, listed.name, self.counters
            )
        except BaseException:
            socket.transport.abort()
            raise
        return links.Link(
            socket=socket,
            peer=peer,
            handler=self.handler,
            counters=self.counters,
        )

    async def _run(self, link: links.Link) -> None:
        """Carry a link's messages and forget it when it ends."""
        try:
            await link.run()
        finally:
            if self.links.get(link.vm) is link:
                del self.links[link.vm]
            logging.info('event=link-closed vm=%s', link.vm)
