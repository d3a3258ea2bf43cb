"""Foreground execution of a server until SIGTERM or SIGINT."""

import asyncio
from collections.abc import Callable
import signal
import typing

from arbutusvale import errors
from arbutusvale.ui import exit_codes


class Server(typing.Protocol):
    """A server that listens on an address."""

    address: str

    async def start(self) -> None:
        """Bind the address and start serving."""

    async def stop(self) -> None:
        """Stop serving."""


def run(make_server: Callable[[], Server]) -> int:
    """Serve until SIGTERM or SIGINT; print the bound address.

    Raises :class:`errors.UsageError` if the address cannot be bound.
    """
    return asyncio.run(_serve(make_server))


async def _serve(make_server: Callable[[], Server]) -> int:
    """Start the server, wait for a signal and stop the server."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    try:
        server = make_server()
        await server.start()
    except (OSError, ValueError) as error:
        raise errors.UsageError(
            f'The address cannot be listened at: {error}.',
            'Give a free host:port of this machine.',
        ) from error
    print(f'listening {server.address}', flush=True)
    await stopped.wait()
    await server.stop()
    return exit_codes.ExitCode.DONE
