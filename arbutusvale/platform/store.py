"""Client of the platform's metadata store."""

import asyncio
import base64
import binascii
import dataclasses
import json
import urllib.parse

from arbutusvale import errors
from arbutusvale.protocol import edge_settings
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import numeric
from arbutusvale.transport import http_connection

NEWEST_PATH = '/-/log-newest'
READ_PATH = '/-/log-read'
APPEND_PATH = '/-/log-append'

# The store responds in 4 ms; a connect that takes longer has probably lost
# its SYN, which is retransmitted only after a second.
_CONNECT_TIMEOUT_S = 0.6
# A slow store takes some 60 times its usual 4 ms, and more under load.
_RESPONSE_TIMEOUT_S = 1.5
_STATUS_GONE = 410
_STATUS_OK = 200
_LENGTH_PREFIX_BYTES = 4
_PAGE_HEADER_BYTES = 16
_ERA_HEADER = b'store-era'


@dataclasses.dataclass(frozen=True, slots=True)
class _Head:
    """The status of an answer and the store's era, None if it sends none."""

    status: int
    era: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class NewestPage:
    """Some of the newest records, and the key after which the rest comes.

    ``next_after`` is empty on the last page.
    """

    records: list[keyed_log.Record]
    end_offset: int
    next_after: str


class StoreTopic:
    """Client of one partition of a keyed topic, with its own connection."""

    def __init__(
        self, address: edge_settings.Address, topic: str, partition: int = 0
    ):
        self.address = address
        self.topic = topic
        self.partition = partition
        self.connection: http_connection.HttpConnection | None = None
        self.calls = 0

    async def read_newest(self) -> keyed_log.Page:
        """Return the newest record of each key, from all pages."""
        records: list[keyed_log.Record] = []
        after = ''
        first_page_end = -1
        first_page_era: int | None = None
        while True:
            query = self._make_query()
            if after:
                query['After'] = after
            era, data = await self._call('GET', NEWEST_PATH, query)
            if not after:
                first_page_era = era
            elif era != first_page_era:
                raise errors.StoreUnavailable('its era changed meanwhile')
            page = decode_newest_page(data)
            records.extend(page.records)
            # The pages are no consistent snapshot: the next read must start
            # at the end offset of the first page.
            if first_page_end < 0:
                first_page_end = page.end_offset
            if not page.next_after:
                return keyed_log.Page(records, first_page_end, era)
            after = page.next_after

    async def read_from(self, offset: int, wait_s: float) -> keyed_log.Page:
        """Return the records from an offset on; raise StoreHistoryGone."""
        query = self._make_query() | {
            'From': str(offset),
            'WaitMs': str(int(wait_s * 1000)),
        }
        era, data = await self._call('GET', READ_PATH, query, wait_s)
        if len(data) < _PAGE_HEADER_BYTES:
            raise errors.StoreUnavailable('its answer is too short')
        end_offset = int.from_bytes(data[:8], 'big')
        first_offset = int.from_bytes(data[8:16], 'big')
        if end_offset < offset or first_offset > offset:
            raise errors.StoreHistoryGone(self.topic, offset, era)
        records, count = _decode_records(data[_PAGE_HEADER_BYTES:], offset)
        return keyed_log.Page(records, offset + count, era)

    async def append(self, record: keyed_log.Record) -> None:
        """Append a record; raise StoreUnavailable.

        A call without an answer may have been done nonetheless.
        """
        key = record.key.encode()
        content = bytes([len(key)]) + key + (record.value or b'')
        frame = len(content).to_bytes(_LENGTH_PREFIX_BYTES, 'big') + content
        await self._call('POST', APPEND_PATH, self._make_query(), body=frame)

    def is_receiving(self) -> bool:
        """Return whether a response to the call in flight has begun."""
        return self.connection is not None and self.connection.receiving

    def disconnect(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.abort()
            self.connection = None

    def _make_query(self) -> dict[str, str]:
        """Return the query that names the partition."""
        return {'Topic': self.topic, 'part': str(self.partition)}

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        wait_s: float = 0.0,
        body: bytes = b'',
    ) -> tuple[int | None, bytes]:
        """Return era and body; raise StoreUnavailable or StoreHistoryGone."""
        self.calls += 1
        try:
            async with asyncio.timeout(
                wait_s + _RESPONSE_TIMEOUT_S + _CONNECT_TIMEOUT_S
            ):
                head, answer = await self._exchange(method, path, query, body)
        except TimeoutError as error:
            self.disconnect()
            raise errors.StoreUnavailable('no answer in time') from error
        except errors.ServerFailed as error:
            self.disconnect()
            raise errors.StoreUnavailable(error.cause) from error
        except BaseException:
            self.disconnect()
            raise
        if head.status == _STATUS_GONE:
            raise errors.StoreHistoryGone(
                self.topic, int(query.get('From', '0')), head.era
            )
        if head.status != _STATUS_OK:
            raise errors.StoreUnavailable(f'status {head.status}')
        return head.era, answer

    async def _exchange(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[_Head, bytes]:
        """Send a request, on a new connection if needed."""
        if self.connection is None or self.connection.closed:
            self.connection = await http_connection.open_connection(
                self.address.host, self.address.port, _CONNECT_TIMEOUT_S
            )
        connection = self.connection
        target = f'{path}?{urllib.parse.urlencode(query)}'
        head_lines = (
            f'{method} {target} HTTP/1.1\r\n'
            f'Host: {self.address.host}:{self.address.port}\r\n'
        )
        if body:
            head_lines += f'Content-Length: {len(body)}\r\n'
        request = f'{head_lines}\r\n'.encode() + body
        exchange = connection.send(request, _decode_head)
        head = await exchange.head
        answer = await connection.read_all(exchange)
        if not connection.release():
            self.connection = None
        return head, answer


def _decode_head(
    status: int, reason: bytes, headers: http_connection.Headers
) -> _Head:
    """Decode status and era of an answer; header names are lower-case."""
    era = dict(headers).get(_ERA_HEADER, b'')
    return _Head(status, numeric.parse_count(era))


def _parse_object(data: bytes) -> dict:
    """Parse a JSON object or raise StoreUnavailable."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise errors.StoreUnavailable(
            f'its answer is no JSON: {error}'
        ) from error
    if not isinstance(document, dict):
        raise errors.StoreUnavailable('its answer is no JSON object')
    return document


def decode_newest_page(data: bytes) -> NewestPage:
    """Decode a page of newest records or raise StoreUnavailable."""
    document = _parse_object(data)
    rows = document.get('Entries')
    end = document.get('EndOffset')
    if not isinstance(rows, list) or not numeric.is_whole(end):
        raise errors.StoreUnavailable('its answer is malformed')
    records = [_decode_newest_record(row) for row in rows]
    next_after = ''
    if document.get('Truncated') and rows:
        if records[-1] is None:
            raise errors.StoreUnavailable('its answer is malformed')
        next_after = records[-1].key
    return NewestPage(
        [record for record in records if record is not None], end, next_after
    )


def _decode_newest_record(row: object) -> keyed_log.Record | None:
    """Decode a row of the newest records; None if it is malformed."""
    if not isinstance(row, dict) or not isinstance(row.get('Key'), str):
        return None
    try:
        value = base64.b64decode(row.get('Data') or '')
    except (binascii.Error, ValueError, TypeError):
        # A value that no decoder accepts; an empty one would delete the key.
        value = b'?'
    offset = row.get('Offset')
    return keyed_log.Record(
        row['Key'], value or None, offset if numeric.is_whole(offset) else -1
    )


def _decode_records(
    data: bytes, first_offset: int
) -> tuple[list[keyed_log.Record], int]:
    """Decode length-prefixed records; count them, malformed ones included."""
    records = []
    count = 0
    position = 0
    while position + _LENGTH_PREFIX_BYTES <= len(data):
        length = int.from_bytes(
            data[position : position + _LENGTH_PREFIX_BYTES], 'big'
        )
        start = position + _LENGTH_PREFIX_BYTES
        if start + length > len(data):
            break
        body = data[start : start + length]
        position = start + length
        count += 1
        if not body or len(body) < 1 + body[0]:
            continue
        key = body[1 : 1 + body[0]].decode('utf-8', 'replace')
        value = body[1 + body[0] :]
        offset = first_offset + count - 1
        records.append(keyed_log.Record(key, value or None, offset))
    return records, count
