"""Wire what the operator's commands share: settings, log and VM list."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib

from tornado import httpclient

from arbutusvale import errors
from arbutusvale import settings
from arbutusvale.coordination import config_reader
from arbutusvale.coordination import rollout
from arbutusvale.protocol import admin_api
from arbutusvale.protocol import platform
from arbutusvale.state import bundle_chain

MAX_CLIENTS = 100


class OperatorDesk:
    """Hold the adapters and the reader of one command's run."""

    def __init__(self, path: str):
        self.settings = settings.read_operator(path)
        self.path = path
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )
        self.log = platform.HttpLogService(self.settings.platform, self.client)
        self.vm_list = platform.HttpVmList(self.settings.platform, self.client)
        self.admin = admin_api.HttpAdminClient(self.client)
        self.chain = bundle_chain.BundleChain(self.settings.operators)
        self.reader = config_reader.ConfigReader(self.log, self.chain)

    def make_rollout(self) -> rollout.Rollout:
        """Build the rollout of one bundle."""
        return rollout.Rollout(
            self.reader, self.vm_list, self.admin.read_status
        )

    def read_key(self) -> str:
        """Read the operator's private key."""
        if not (self.settings.name and self.settings.key_file):
            raise errors.DocumentError(
                self.path,
                [f'{self.path}:1: name, key_file: missing: add both fields'],
            )
        folder = pathlib.Path(self.path).parent
        return read_text(str(folder / self.settings.key_file))


def run(
    path: str, action: Callable[[OperatorDesk], Awaitable[int | None]]
) -> int | None:
    """Run ``action`` with a desk made from the settings at ``path``."""

    async def start() -> int | None:
        return await action(OperatorDesk(path))

    return asyncio.run(start())


def read_text(path: str) -> str:
    """Read a text file; raises :class:`errors.UsageError`."""
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(
            f'{path} cannot be read: {error}.',
            'Check the path and its rights.',
        ) from error
