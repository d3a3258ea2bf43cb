"""Send and receive the datagrams of edge routers."""

import asyncio
from collections.abc import Callable
import typing


class UdpSocket(asyncio.DatagramProtocol):
    """Pass datagrams to their reader; errors cost a datagram each."""

    def __init__(self, port: int, receive: Callable[[bytes], None]):
        self.port = port
        self.receive = receive
        self.transport: asyncio.DatagramTransport | None = None
        self.unsent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: object) -> None:
        """Pass a datagram on."""
        self.receive(data)

    def error_received(self, error: OSError) -> None:
        """Count a datagram that a peer's VM refused."""
        self.unsent += 1

    def send(self, host: str, data: bytes) -> None:
        """Send a datagram to the same port of another VM."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (host, self.port))


async def open_socket(
    host: str, port: int, receive: Callable[[bytes], None]
) -> UdpSocket:
    """Open the datagram socket of this VM."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: UdpSocket(port, receive), local_addr=(host, port)
    )
    return protocol
