"""UDP socket for messages between edge routers."""

import asyncio
from collections.abc import Callable
import typing


class UdpSocket(asyncio.DatagramProtocol):
    """A UDP socket; an error loses one datagram and is only counted."""

    def __init__(self, port: int, on_datagram: Callable[[bytes], None]):
        self.port = port
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None
        self.send_errors = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: object) -> None:
        """Pass a datagram to ``on_datagram``."""
        self.on_datagram(data)

    def error_received(self, error: OSError) -> None:
        """Count a send error, as when a peer's port isn't open."""
        self.send_errors += 1

    def send(self, host: str, data: bytes) -> None:
        """Send a datagram to the same port of another VM."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (host, self.port))


async def open_socket(
    host: str, port: int, on_datagram: Callable[[bytes], None]
) -> UdpSocket:
    """Bind a UDP socket to this VM's address."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: UdpSocket(port, on_datagram), local_addr=(host, port)
    )
    return protocol
