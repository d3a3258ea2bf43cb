"""Client for the status page on the admin port of a VM."""

import dataclasses
import json

from tornado import httpclient

from arbutusvale import errors

STATUS_PATH = '/status'
STATUS_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class VmStatus:
    """The bundle that a VM has active; ``offset`` is -1 if it has none."""

    offset: int
    version: str
    digest: str


class HttpAdminClient:
    """HTTP client for the admin ports of VMs."""

    def __init__(self, client: httpclient.AsyncHTTPClient):
        self.client = client

    async def read_status(self, name: str, address: str) -> VmStatus:
        """Read the status of the VM ``name`` from its admin port.

        ``address`` is ``host:port``.  Raises
        :class:`errors.ServerUnreachable` without a valid response.
        """
        try:
            response = await self.client.fetch(
                f'http://{address}{STATUS_PATH}',
                connect_timeout=STATUS_TIMEOUT_S,
                request_timeout=STATUS_TIMEOUT_S,
            )
            bundle_status = json.loads(response.body)['bundle']
            if bundle_status is None:
                return VmStatus(-1, '', '')
            return VmStatus(
                int(bundle_status['offset']),
                str(bundle_status['version'] or ''),
                str(bundle_status['digest'] or ''),
            )
        except (httpclient.HTTPError, OSError) as error:
            raise errors.ServerUnreachable(address, str(error)) from error
        except (ValueError, KeyError, TypeError) as error:
            raise errors.ServerUnreachable(
                address, f'the status of {name} is malformed'
            ) from error
