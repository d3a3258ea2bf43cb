"""Listener for links from other VMs of the fleet."""

import asyncio
import functools
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
MAX_OPENING = 128
_CHECK_INTERVAL_SHARE = 0.25


class OpeningConnections:
    """Connections whose other side hasn't proved the fleet key yet.

    The oldest one gives way when there are more than ``limit``, as a process
    of the fleet takes only milliseconds to open a link.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.connections: dict[server.ServerConnection, None] = {}

    def add(self, connection: server.ServerConnection) -> None:
        """Add a new connection, and abort the oldest if there are many."""
        self.connections[connection] = None
        if len(self.connections) > self.limit:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.transport.abort()

    def remove(self, connection: server.ServerConnection) -> None:
        """Remove a connection that was authenticated or has ended."""
        self.connections.pop(connection, None)


class _LinkConnection(server.ServerConnection):
    """A connection that counts as opening from its start."""

    def __init__(self, *args, opening: OpeningConnections, **options):
        super().__init__(*args, **options)
        self.opening = opening

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self.opening.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection no longer."""
        self.opening.remove(self)
        super().connection_lost(exc)


class LinkListener:
    """Listener on one address that runs a link per connection.

    A new link from a VM replaces and closes the previous one, which that VM
    has given up.
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
        max_opening: int = MAX_OPENING,
    ):
        self.address = settings.split_address(listen)
        self.identity = handshake.Identity(vm, incarnation, role, fleet_key)
        self.handler = handler
        self.counters = counters or link_counters.LinkCounters()
        self.opening = OpeningConnections(max_opening)
        self.links: dict[str, links.Link] = {}
        self.idle_timeout_s = idle_timeout_s
        self.server: server.Server | None = None
        self.idle_check_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start listening."""
        self.server = await server.serve(
            self._run_link,
            self.address.host,
            self.address.port,
            create_connection=functools.partial(
                _LinkConnection, opening=self.opening
            ),
            open_timeout=handshake.HANDSHAKE_TIMEOUT_S,
            **links.WEBSOCKET_OPTIONS
            | {'max_size': handshake.MAX_FRAME_BYTES},
        )
        self.idle_check_task = asyncio.create_task(self._close_idle_links())

    @property
    def port(self) -> int:
        """The bound port, which differs from the settings if those have 0."""
        return self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, flush and close all links."""
        if self.server is None:
            return
        self.idle_check_task.cancel()
        self.server.close(close_connections=False)
        open_links = list(self.links.values())
        await asyncio.gather(*(link.flush_and_close() for link in open_links))
        await self.server.wait_closed()

    async def _close_idle_links(self) -> None:
        """Close the links without traffic for the idle timeout.

        The connecting side has a shorter timeout, so these are links whose
        other side is gone.
        """
        while True:
            await asyncio.sleep(self.idle_timeout_s * _CHECK_INTERVAL_SHARE)
            oldest = time.monotonic() - self.idle_timeout_s
            for link in list(self.links.values()):
                if link.last_used_at < oldest:
                    link.close()

    async def _run_link(self, websocket: server.ServerConnection) -> None:
        """Authenticate a connection and run its link."""
        try:
            peer = await handshake.accept(
                websocket,
                self.identity,
                self.counters,
                links.MAX_FRAME_BYTES,
            )
        except (errors.LinkClosed, errors.FrameError) as error:
            logging.warning(
                'event=link-rejected cause="%s"',
                error.problem,
            )
            return
        self.opening.remove(websocket)
        link = links.Link(
            websocket=websocket,
            peer=peer,
            handler=self.handler,
            counters=self.counters,
        )
        previous = self.links.get(peer.vm)
        self.links[peer.vm] = link
        if previous is not None:
            previous.close()
        try:
            await link.run()
        finally:
            if self.links.get(peer.vm) is link:
                del self.links[peer.vm]
