"""Define how readers of the store tell other routers what has changed.

A message is one UDP datagram of JSON, like other news of peers.
"""

import base64
import binascii
from collections.abc import Iterator
import dataclasses
import json

from arbutusvale import errors
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import peer_message

_KIND = 'list'
# What a record costs beside its value in base64.
_RECORD_OVERHEAD_BYTES = 30
# What a message costs beside its records.
_OVERHEAD_BYTES = 160


@dataclasses.dataclass(frozen=True, slots=True)
class ListUpdate:
    """Tell all that changed in a topic between two of its offsets.

    ``records`` are those from ``since`` up to ``until`` that changed what
    the sender knew, in their order; the others only prolong an entry.
    ``age_s`` is the time since the sender read them from the store.
    """

    host: str
    topic: str
    start_offset: int
    end_offset: int
    age_s: float
    records: tuple[keyed_log.Record, ...]


def split(news: ListUpdate) -> Iterator[ListUpdate]:
    """Cut news into messages of one datagram each, in order."""
    since = news.start_offset
    records: list[keyed_log.Record] = []
    size = _OVERHEAD_BYTES
    for record in news.records:
        cost = _measure(record)
        if records and size + cost > peer_message.MAX_BYTES:
            yield dataclasses.replace(
                news,
                start_offset=since,
                end_offset=record.offset,
                records=tuple(records),
            )
            since, records, size = record.offset, [], _OVERHEAD_BYTES
        records.append(record)
        size += cost
    yield dataclasses.replace(news, start_offset=since, records=tuple(records))


def encode(news: ListUpdate) -> bytes:
    """Return a datagram."""
    return json.dumps(
        {
            'kind': _KIND,
            'host': news.host,
            'topic': news.topic,
            'since': news.start_offset,
            'until': news.end_offset,
            'age_ms': int(news.age_s * 1000),
            'records': [_write(record) for record in news.records],
        },
        separators=(',', ':'),
    ).encode()


def decode(data: bytes) -> ListUpdate | None:
    """Return the news, None for another kind; raise FrameError for odd ones.

    Numbers must be whole and offsets in order.
    """
    if b'"kind":"list"' not in data[:20]:
        return None
    try:
        document = json.loads(data)
        news = ListUpdate(
            host=str(document['host']),
            topic=str(document['topic']),
            start_offset=_whole(document['since']),
            end_offset=_whole(document['until']),
            age_s=_whole(document['age_ms']) / 1000,
            records=tuple(_read(row) for row in document['records']),
        )
    except (
        ValueError, KeyError, TypeError, AttributeError, RecursionError,
        binascii.Error,
    ) as error:  # fmt: skip
        raise errors.FrameError(
            f'The news of a list are malformed: {error!r}.'
        ) from error
    offsets = [
        news.start_offset,
        *(one.offset for one in news.records),
        news.end_offset,
    ]
    if offsets != sorted(offsets):
        raise errors.FrameError('The offsets of the news are out of order.')
    return news


def _measure(record: keyed_log.Record) -> int:
    """Return about how many bytes a record takes in a message."""
    value = len(record.value or b'') * 4 // 3
    return _RECORD_OVERHEAD_BYTES + len(record.key) + value


def _write(record: keyed_log.Record) -> list[object]:
    """Return the row of a record."""
    value = record.value
    text = base64.b64encode(value).decode() if value is not None else None
    return [record.offset, record.key, text]


def _read(row: list[object]) -> keyed_log.Record:
    """Decode the row of a record."""
    offset, key, text = row
    value = base64.b64decode(str(text)) if text is not None else None
    return keyed_log.Record(str(key), value, _whole(offset))


def _whole(value: object) -> int:
    """Return a whole number that isn't negative or raise TypeError."""
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError('not a whole number')
    return value
