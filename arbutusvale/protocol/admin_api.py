"""Read what a VM's admin port tells of it."""

import dataclasses
import json

from tornado import httpclient

from arbutusvale import errors

STATUS_PATH = '/status'
STATUS_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class VmStatus:
    """Hold which bundle a VM reports; ``offset`` is -1 without one."""

    offset: int
    version: str
    digest: str


class HttpAdminClient:
    """Read the status of VMs over HTTP."""

    def __init__(self, client: httpclient.AsyncHTTPClient):
        self.client = client

    async def read_status(self, name: str, admin: str) -> VmStatus:
        """Read the status of the VM ``name`` at ``host:port``.

        Raises :class:`errors.ServerUnreachable` without a proper answer.
        """
        try:
            answer = await self.client.fetch(
                f'http://{admin}{STATUS_PATH}',
                connect_timeout=STATUS_TIMEOUT_S,
                request_timeout=STATUS_TIMEOUT_S,
            )
            entry = json.loads(answer.body)['bundle']
            if entry is None:
                return VmStatus(-1, '', '')
            return VmStatus(
                int(entry['offset']),
                str(entry['version'] or ''),
                str(entry['digest'] or ''),
            )
        except (httpclient.HTTPError, OSError) as error:
            raise errors.ServerUnreachable(admin, str(error)) from error
        except (ValueError, KeyError, TypeError) as error:
            raise errors.ServerUnreachable(
                admin, f'the status of {name} is malformed'
            ) from error
