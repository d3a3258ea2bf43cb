"""HTTP clients for the platform's log service, VM list and weight store."""

import base64
import collections
import json
import urllib.parse

from tornado import httpclient
from tornado import httputil
from tornado import simple_httpclient

from arbutusvale import errors
from arbutusvale.protocol import ports

APPEND_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 5.0
VM_LIST = 'vms'
WEIGHTS = 'weights'
DEFAULT_RETRY_AFTER_S = 1.0
_REJECTED_STATUSES = (429, 503)
# Tornado's messages for timeouts before the request was sent.
_NOT_SENT_MESSAGES = ('Timeout while connecting', 'Timeout in request queue')


class PlatformTraffic:
    """Counters of the HTTP bytes exchanged with the platform.

    Both are keyed by what was called: a log stream, the VM list or the
    weight store.  Message heads count in their usual formatting, not as sent.
    """

    def __init__(self):
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()

    def record(self, endpoint: str, response: httpclient.HTTPResponse) -> None:
        """Count the bytes of one request and its response."""
        request = response.request
        self.sent[endpoint] += (
            len(f'{request.method} {request.url} HTTP/1.1\r\n')
            + _count_header_bytes(request.headers)
            + len(request.body or b'')
        )
        self.received[endpoint] += (
            len(f'HTTP/1.1 {response.code} {response.reason}\r\n')
            + _count_header_bytes(response.headers)
            + len(response.body or b'')
        )


class _PlatformClient:
    """Base of the clients for the platform at one address."""

    def __init__(
        self,
        address: str,
        client: httpclient.AsyncHTTPClient,
        traffic: PlatformTraffic | None = None,
    ):
        self.base_url = address if '://' in address else f'http://{address}'
        self.client = client
        self.traffic = traffic or PlatformTraffic()

    async def call(
        self,
        stream: str,
        path: str,
        timeout: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> httpclient.HTTPResponse:
        """POST ``body`` if there is one, else GET.

        Raises :class:`errors.AppendOutcomeUnknown` if the request may have
        taken effect and :class:`errors.LogUnavailable` if it did not.
        """
        try:
            response = await self.client.fetch(
                self.base_url + path,
                method='GET' if body is None else 'POST',
                body=body,
                headers=headers,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=timeout,
                raise_error=False,
            )
        except ConnectionRefusedError as error:
            raise errors.LogUnavailable(stream, str(error)) from error
        except simple_httpclient.HTTPTimeoutError as error:
            if error.message in _NOT_SENT_MESSAGES:
                raise errors.LogUnavailable(stream, str(error)) from error
            raise errors.AppendOutcomeUnknown(stream, str(error)) from error
        except (httpclient.HTTPError, OSError) as error:
            raise errors.AppendOutcomeUnknown(stream, str(error)) from error
        self.traffic.record(stream, response)
        return response


def _count_header_bytes(headers: httputil.HTTPHeaders) -> int:
    """Return the size of the header lines and the empty line."""
    lines = [f'{name}: {value}\r\n' for name, value in headers.get_all()]
    return sum(map(len, lines)) + len('\r\n')


def _check_success(stream: str, response: httpclient.HTTPResponse) -> None:
    """Raise the error that corresponds to a status other than 200."""
    cause = f'status {response.code}'
    if response.code in _REJECTED_STATUSES:
        raise errors.LogUnavailable(stream, cause)
    if response.code >= 500:
        raise errors.AppendOutcomeUnknown(stream, cause)
    if response.code != 200:
        raise errors.LogUnavailable(stream, cause)


class HttpLogService(_PlatformClient):
    """Client for the log; implements :class:`ports.LogService`."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        path = f'/log/{_quote(stream)}'
        response = await self.call(stream, path, APPEND_TIMEOUT_S, data)
        _check_success(stream, response)
        return json.loads(response.body)['offset']

    async def read(
        self, stream: str, start: int, wait_s: float
    ) -> ports.LogPage:
        """Read from ``start`` on, waiting up to ``wait_s`` s for a record."""
        path = f'/log/{_quote(stream)}?from={start}&wait={wait_s}'
        response = await self.call(stream, path, wait_s + READ_TIMEOUT_S)
        if response.code == 410:
            oldest = json.loads(response.body)['oldest']
            raise errors.OffsetExpired(stream, start, oldest)
        _check_success(stream, response)
        page = json.loads(response.body)
        records = [
            ports.LogRecord(
                record['offset'],
                record['time'],
                base64.b64decode(record['data']),
            )
            for record in page['records']
        ]
        return ports.LogPage(
            records, page['head'], page['oldest'], page['retention']
        )


class HttpVmList(_PlatformClient):
    """Client for the VM list; implements :class:`ports.VmList`.

    It uses conditional requests where the platform supports ETags.
    """

    def __init__(
        self,
        address: str,
        client: httpclient.AsyncHTTPClient,
        traffic: PlatformTraffic | None = None,
    ):
        super().__init__(address, client, traffic)
        self.etag = ''
        self.cached_vms: list[ports.Vm] = []

    async def read(self) -> list[ports.Vm]:
        """Return the VMs, from the cache if the list has not changed."""
        headers = {'If-None-Match': self.etag} if self.etag else None
        response = await self.call(
            VM_LIST, '/vms', READ_TIMEOUT_S, headers=headers
        )
        if response.code == 304 and self.etag:
            return list(self.cached_vms)
        _check_success(VM_LIST, response)
        self.cached_vms = self.decode(response.body)
        self.etag = response.headers.get('ETag', '')
        return list(self.cached_vms)

    @staticmethod
    def decode(body: bytes) -> list[ports.Vm]:
        """Decode the platform's document."""
        return [
            ports.Vm(
                entry['name'],
                entry['role'],
                entry['address'],
                entry['admin'],
                entry['data_centre'],
                entry['pool'],
                entry['state'],
            )
            for entry in json.loads(body)['vms']
        ]


class HttpWeightStore(_PlatformClient):
    """Client for weights; implements :class:`ports.WeightStore`."""

    async def request_weights(self, model: str, version: str) -> float:
        """Request weights; returns 0, or the seconds to wait if rejected.

        Raises :class:`errors.LogUnavailable` on other failures.
        """
        path = f'/weights/{_quote(model)}/{_quote(version)}'
        response = await self.call(WEIGHTS, path, READ_TIMEOUT_S, b'')
        if response.code == 429:
            return float(
                response.headers.get('Retry-After', DEFAULT_RETRY_AFTER_S)
            )
        _check_success(WEIGHTS, response)
        return 0.0


def _quote(text: str) -> str:
    """Percent-encode one segment of a path."""
    return urllib.parse.quote(text, safe='')
