"""Pool of links to other VMs, opened on demand and closed when idle."""

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
_CHECK_INTERVAL_SHARE = 0.25


class LinkPool:
    """At most one link to each VM; implements :class:`ports.Links`."""

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
        self.opening_tasks: dict[str, asyncio.Task] = {}
        self.link_tasks: set[asyncio.Task] = set()

    async def get(self, vm: str) -> links.Link:
        """Return the link to ``vm``, opening it if there is none.

        Raises :class:`errors.LinkClosed` when the VM cannot be reached.
        """
        link = self.links.get(vm)
        if link is not None and not link.closed:
            return link
        task = self.opening_tasks.get(vm)
        if task is None:
            task = asyncio.create_task(self._open_link(vm))
            self.opening_tasks[vm] = task
            task.add_done_callback(lambda _: self.opening_tasks.pop(vm, None))
        return await asyncio.shield(task)

    def drop(self, vm: str) -> None:
        """Close the link to ``vm``; the next ``get`` opens a new one."""
        link = self.links.pop(vm, None)
        if link is not None:
            link.close()

    async def run(self) -> None:
        """Close idle links periodically until cancelled."""
        while True:
            await asyncio.sleep(self.idle_timeout_s * _CHECK_INTERVAL_SHARE)
            self.close_idle(time.monotonic())

    def close_idle(self, now: float) -> None:
        """Close the links without traffic for the idle timeout."""
        for vm, link in list(self.links.items()):
            if now - link.last_used_at > self.idle_timeout_s:
                self.drop(vm)

    async def stop(self) -> None:
        """Flush and close all links."""
        open_links = list(self.links.values())
        self.links.clear()
        await asyncio.gather(*(link.flush_and_close() for link in open_links))
        await asyncio.gather(*self.link_tasks, return_exceptions=True)

    async def _open_link(self, vm: str) -> links.Link:
        """Open a link to a VM and start its task."""
        vm_entry = self.fleet.find(vm)
        if vm_entry is None:
            raise errors.LinkClosed(vm, 'it is not on the VM list')
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                link = await self._connect(vm_entry)
        except (
            OSError,
            TimeoutError,
            errors.FrameError,
            exceptions.WebSocketException,
        ) as error:
            cause = str(error) or 'timeout'
            raise errors.LinkClosed(vm, cause) from error
        self.links[vm] = link
        task = asyncio.create_task(self._run_link(link))
        self.link_tasks.add(task)
        task.add_done_callback(self.link_tasks.discard)
        return link

    async def _connect(self, vm_entry: ports.Vm) -> links.Link:
        """Open a connection and authenticate both sides."""
        websocket = await client.connect(
            f'ws://{vm_entry.address}/', proxy=None, **links.WEBSOCKET_OPTIONS
        )
        try:
            peer = await handshake.connect(
                websocket, self.identity, vm_entry.name, self.counters
            )
        except BaseException:
            websocket.transport.abort()
            raise
        return links.Link(
            websocket=websocket,
            peer=peer,
            handler=self.handler,
            counters=self.counters,
        )

    async def _run_link(self, link: links.Link) -> None:
        """Run a link and remove it from the pool when it ends."""
        try:
            await link.run()
        finally:
            if self.links.get(link.vm) is link:
                del self.links[link.vm]
            logging.info('event=link-closed vm=%s', link.vm)
