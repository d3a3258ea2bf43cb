"""Reach the platform's log service, VM list and weight store over HTTP."""

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
DEFAULT_RETRY_S = 1.0
_NOT_TAKEN = (429, 503)
_NOT_SENT = ('Timeout while connecting', 'Timeout in request queue')


class PlatformTraffic:
    """Count the bytes of HTTP exchanged with the platform.

    Both counters go by what was called: a log stream, the VM list or the
    weights.  Heads of messages are counted as they are usually written.
    """

    def __init__(self):
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()

    def add(self, called: str, answer: httpclient.HTTPResponse) -> None:
        """Count one request and its answer."""
        request = answer.request
        self.sent[called] += (
            len(f'{request.method} {request.url} HTTP/1.1\r\n')
            + _size_of_headers(request.headers)
            + len(request.body or b'')
        )
        self.received[called] += (
            len(f'HTTP/1.1 {answer.code} {answer.reason}\r\n')
            + _size_of_headers(answer.headers)
            + len(answer.body or b'')
        )


class _Platform:
    """Call the platform at one address."""

    def __init__(
        self,
        address: str,
        client: httpclient.AsyncHTTPClient,
        traffic: PlatformTraffic | None = None,
    ):
        self.root = address if '://' in address else f'http://{address}'
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
        """POST ``body`` or else GET.

        Raises :class:`errors.LogAnswerLost` when the request may have taken
        effect and :class:`errors.LogUnavailable` when it did not.
        """
        try:
            answer = await self.client.fetch(
                self.root + path,
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
            if error.message in _NOT_SENT:
                raise errors.LogUnavailable(stream, str(error)) from error
            raise errors.LogAnswerLost(stream, str(error)) from error
        except (httpclient.HTTPError, OSError) as error:
            raise errors.LogAnswerLost(stream, str(error)) from error
        self.traffic.add(stream, answer)
        return answer


def _size_of_headers(headers: httputil.HTTPHeaders) -> int:
    """Return the bytes of the header lines and the empty line."""
    lines = [f'{name}: {value}\r\n' for name, value in headers.get_all()]
    return sum(map(len, lines)) + len('\r\n')


def _check_success(stream: str, answer: httpclient.HTTPResponse) -> None:
    """Raise the error that fits a status other than 200."""
    cause = f'status {answer.code}'
    if answer.code in _NOT_TAKEN:
        raise errors.LogUnavailable(stream, cause)
    if answer.code >= 500:
        raise errors.LogAnswerLost(stream, cause)
    if answer.code != 200:
        raise errors.LogUnavailable(stream, cause)


class HttpLogService(_Platform):
    """Implement :class:`ports.LogService`."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        path = f'/log/{_quoted(stream)}'
        answer = await self.call(stream, path, APPEND_TIMEOUT_S, data)
        _check_success(stream, answer)
        return json.loads(answer.body)['offset']

    async def read(
        self, stream: str, start: int, wait: float
    ) -> ports.LogPage:
        """Read from ``start`` on, waiting up to ``wait`` s for a record."""
        path = f'/log/{_quoted(stream)}?from={start}&wait={wait}'
        answer = await self.call(stream, path, wait + READ_TIMEOUT_S)
        if answer.code == 410:
            oldest = json.loads(answer.body)['oldest']
            raise errors.LogExpired(stream, start, oldest)
        _check_success(stream, answer)
        page = json.loads(answer.body)
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


class HttpVmList(_Platform):
    """Implement :class:`ports.VmList`.

    Asks for the list only if it changed, where the platform supports that.
    """

    def __init__(
        self,
        address: str,
        client: httpclient.AsyncHTTPClient,
        traffic: PlatformTraffic | None = None,
    ):
        super().__init__(address, client, traffic)
        self.etag = ''
        self.vms: list[ports.Vm] = []

    async def read(self) -> list[ports.Vm]:
        """Return the list."""
        headers = {'If-None-Match': self.etag} if self.etag else None
        answer = await self.call(
            VM_LIST, '/vms', READ_TIMEOUT_S, headers=headers
        )
        if answer.code == 304 and self.etag:
            return list(self.vms)
        _check_success(VM_LIST, answer)
        self.vms = self.decode(answer.body)
        self.etag = answer.headers.get('ETag', '')
        return list(self.vms)

    @staticmethod
    def decode(body: bytes) -> list[ports.Vm]:
        """Read the list from the platform's document."""
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


class HttpWeightStore(_Platform):
    """Implement :class:`ports.WeightStore`."""

    async def request_weights(self, model: str, version: str) -> float:
        """Ask for weights; returns 0 or the seconds to wait.

        Raises :class:`errors.LogUnavailable` without an answer.
        """
        path = f'/weights/{_quoted(model)}/{_quoted(version)}'
        answer = await self.call(WEIGHTS, path, READ_TIMEOUT_S, b'')
        if answer.code == 429:
            return float(answer.headers.get('Retry-After', DEFAULT_RETRY_S))
        _check_success(WEIGHTS, answer)
        return 0.0


def _quoted(text: str) -> str:
    """Quote one segment of a path."""
    return urllib.parse.quote(text, safe='')
