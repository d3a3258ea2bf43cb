"""Settings and service clients that the operator's commands share."""

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

MAX_CONCURRENT_REQUESTS = 100


class OperatorContext:
    """Settings and service clients for one run of an operator's command.

    ``chain`` is filled as ``stream_reader`` reads the config stream.
    """

    def __init__(self, settings_path: str):
        self.settings = settings.read_operator(settings_path)
        self.settings_path = settings_path
        self.http_client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
        )
        self.log_service = platform.HttpLogService(
            self.settings.platform, self.http_client
        )
        self.vm_list = platform.HttpVmList(
            self.settings.platform, self.http_client
        )
        self.admin_client = admin_api.HttpAdminClient(self.http_client)
        self.chain = bundle_chain.BundleChain(self.settings.operators)
        self.stream_reader = config_reader.ConfigReader(
            self.log_service, self.chain
        )

    def make_rollout(self) -> rollout.Rollout:
        """Make the publisher of one bundle."""
        return rollout.Rollout(
            self.stream_reader, self.vm_list, self.admin_client.read_status
        )

    def read_private_key(self) -> str:
        """Read the operator's private key.

        ``key_file`` is relative to the folder of the settings file.  Raises
        :class:`errors.DocumentError` if the settings name no key.
        """
        if not (self.settings.name and self.settings.key_file):
            raise errors.DocumentError(
                self.settings_path,
                [
                    f'{self.settings_path}:1: name, key_file: missing: '
                    'add both fields'
                ],
            )
        folder = pathlib.Path(self.settings_path).parent
        return read_text(str(folder / self.settings.key_file))


def run(
    settings_path: str,
    command: Callable[[OperatorContext], Awaitable[int | None]],
) -> int | None:
    """Run ``command`` with a context made from the settings file."""

    async def run_command() -> int | None:
        return await command(OperatorContext(settings_path))

    return asyncio.run(run_command())


def read_text(path: str) -> str:
    """Read a text file; raises :class:`errors.UsageError`."""
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(
            f'{path} cannot be read: {error}.',
            'Check the path and its rights.',
        ) from error
