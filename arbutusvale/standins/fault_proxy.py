"""TCP proxy that injects faults into the connections it relays."""

import asyncio
import collections
import contextlib
import dataclasses
import enum

from arbutusvale import settings
from arbutusvale.standins import raw_server
from arbutusvale.standins import web_server

MAX_READ_BYTES = 65536
MAX_QUEUED_CHUNKS = 64


class Direction(enum.StrEnum):
    """A direction of the relayed bytes, or both of them."""

    TO_TARGET = 'to_target'
    TO_CLIENT = 'to_client'
    BOTH = 'both'


@dataclasses.dataclass
class ProxyFaults:
    """Fault settings of a proxy.

    ``cut`` closes and ``freeze`` freezes, once, the connections open at the
    time.  A frozen connection stays open but relays nothing more in that
    direction.  ``freeze_new`` does the same to new connections, ``refuse``
    refuses them.  ``delay_s`` applies to each direction, ``bytes_per_s`` is
    0 for no limit, and the next ``drop_answers`` responses are replaced by
    closing their connection.
    """

    cut: bool = False
    freeze: str = ''
    freeze_new: str = ''
    refuse: bool = False
    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    drop_answers: int = 0


class FaultProxy:
    """Proxy from the address ``listen`` to the address ``target``.

    ``control`` is the address at which the faults are set over HTTP, empty
    for none.
    """

    def __init__(self, listen: str, target: str, control: str = ''):
        self.listen_address = settings.split_address(listen)
        self.target = target
        self.port = self.listen_address.port
        self.faults = ProxyFaults()
        self.control_server = (
            _ControlServer(control, self) if control else None
        )
        self.server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()
        self.relayed_bytes: collections.Counter[str] = collections.Counter()
        self.accepted_count = 0

    @property
    def address(self) -> str:
        """Return ``host:port`` as bound."""
        return f'{self.listen_address.host}:{self.port}'

    async def start(self) -> None:
        """Bind and relay connections; a port of 0 binds a free one."""
        await self.start_listening()
        if self.control_server is not None:
            await self.control_server.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        self.close_connections()
        if self.control_server is not None:
            await self.control_server.stop()

    async def start_listening(self) -> None:
        """Listen for connections."""
        self.server = await asyncio.start_server(
            self.relay_connection, self.listen_address.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until either end closes it."""
        self.accepted_count += 1
        target = settings.split_address(self.target)
        try:
            target_streams = await asyncio.open_connection(
                target.host, target.port
            )
        except OSError:
            writer.close()
            return
        connection = _Connection(self, reader, writer, *target_streams)
        if self.faults.freeze_new:
            connection.freeze(self.faults.freeze_new)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    def close_connections(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.close()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.reset()

    def freeze_connections(self, direction: str = Direction.BOTH) -> None:
        """Stop relaying on the open connections without closing them."""
        for connection in self.connections:
            connection.freeze(direction)

    async def set_refusing(self, refusing: bool = True) -> None:
        """Refuse new connections, or accept them again."""
        self.faults.refuse = refusing
        if refusing and self.server is not None:
            self.server.close()
            self.server = None
        elif not refusing and self.server is None:
            await self.start_listening()

    def drop_next_response(self) -> None:
        """Close the connection of the next response instead of relaying it."""
        self.faults.drop_answers += 1


class _Connection:
    """The two directions of one relayed connection."""

    def __init__(self, proxy, reader, writer, target_reader, target_writer):
        self.writers = (writer, target_writer)
        self.pipes = {
            Direction.TO_TARGET: _Pipe(
                proxy, self, Direction.TO_TARGET, reader, target_writer
            ),
            Direction.TO_CLIENT: _Pipe(
                proxy, self, Direction.TO_CLIENT, target_reader, writer
            ),
        }
        self.task: asyncio.Task | None = None

    async def run(self) -> None:
        """Relay until closed."""
        self.task = asyncio.current_task()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*(pipe.run() for pipe in self.pipes.values()))
        for writer in self.writers:
            writer.close()

    def freeze(self, direction: str) -> None:
        """Stop relaying in one direction or both, for good."""
        for name, pipe in self.pipes.items():
            if direction in (name, Direction.BOTH):
                pipe.frozen = True

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            raw_server.reset_connection(writer)
        if self.task is not None:
            self.task.cancel()

    def close(self) -> None:
        """Close both ends."""
        for writer in self.writers:
            writer.close()
        if self.task is not None:
            self.task.cancel()


class _Pipe:
    """One direction of a relayed connection."""

    def __init__(self, proxy, connection, direction, reader, writer):
        self.proxy = proxy
        self.connection = connection
        self.direction = direction
        self.reader = reader
        self.writer = writer
        self.frozen = False
        self.chunks: asyncio.Queue = asyncio.Queue(MAX_QUEUED_CHUNKS)

    async def run(self) -> None:
        """Read and write concurrently, so that delays don't add up."""
        await asyncio.gather(self.read(), self.write())

    async def read(self) -> None:
        """Queue each chunk read with the time at which it is due.

        The last one is empty at the end of the stream, None after a reset.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await self.reader.read(MAX_READ_BYTES)
            except OSError:
                data = None
            due = loop.time() + self.proxy.faults.delay_s
            await self.chunks.put((due, data))
            if not data:
                return

    async def write(self) -> None:
        """Forward the chunks when they are due, unless frozen."""
        loop = asyncio.get_running_loop()
        while True:
            due, data = await self.chunks.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            if self.frozen:
                # Never done: waits until the connection's task is cancelled.
                await loop.create_future()
            if data is None:
                raw_server.reset_connection(self.writer)
                return
            if not data:
                self.forward_eof()
                return
            if self.use_up_drop():
                self.connection.close()
                return
            await self.forward(data)

    def use_up_drop(self) -> bool:
        """Return whether to drop this response, counting it if so."""
        if self.direction != Direction.TO_CLIENT:
            return False
        if self.proxy.faults.drop_answers <= 0:
            return False
        self.proxy.faults.drop_answers -= 1
        return True

    async def forward(self, data: bytes) -> None:
        """Write a chunk, at the limited rate if one is set."""
        self.proxy.relayed_bytes[self.direction] += len(data)
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError:
            self.connection.close()
        if self.proxy.faults.bytes_per_s:
            await asyncio.sleep(len(data) / self.proxy.faults.bytes_per_s)

    def forward_eof(self) -> None:
        """Forward the end of the stream."""
        with contextlib.suppress(OSError, RuntimeError):
            if self.writer.can_write_eof():
                self.writer.write_eof()


class _ControlServer(web_server.Standin):
    """HTTP server that sets a proxy's faults and shows its counters."""

    def __init__(self, listen: str, proxy: FaultProxy):
        super().__init__(listen, proxy.faults)
        self.proxy = proxy
        self.refuse_task: asyncio.Task | None = None

    def routes(self) -> list:
        """Return the application's URL rules."""
        return [('/stats', StatsHandler, {'standin': self}), *super().routes()]

    def on_faults_changed(self) -> None:
        """Apply the faults that act on connections and the listener."""
        faults = self.proxy.faults
        if faults.cut:
            self.proxy.close_connections()
        if faults.freeze:
            self.proxy.freeze_connections(faults.freeze)
        faults.cut = False
        faults.freeze = ''
        self.refuse_task = asyncio.create_task(
            self.proxy.set_refusing(faults.refuse)
        )


class StatsHandler(web_server.StandinHandler):
    """Handler that shows the proxy's counters."""

    def get(self) -> None:
        """Return the numbers of connections and of relayed bytes."""
        proxy = self.standin.proxy
        self.send_json(
            {
                'accepted': proxy.accepted_count,
                'open': len(proxy.connections),
                'bytes': dict(proxy.relayed_bytes),
            }
        )
