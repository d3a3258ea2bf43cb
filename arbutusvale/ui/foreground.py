"""Run a server in the foreground until a signal ends it."""

import asyncio
from collections.abc import Callable
import signal
import typing

from arbutusvale import errors
from arbutusvale.ui import exit_codes


class Server(typing.Protocol):
    """Start and stop serving at an address."""

    address: str

    async def start(self) -> None:
        """Bind the address and serve."""

    async def stop(self) -> None:
        """End serving."""


def run(make_server: Callable[[], Server]) -> int:
    """Serve until SIGTERM or SIGINT; prints the address that was bound."""
    return asyncio.run(_serve(make_server))


async def _serve(make_server: Callable[[], Server]) -> int:
    """Start the server, wait for a signal and stop it."""
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
