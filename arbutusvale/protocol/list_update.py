"""Messages by which routers that read the store relay changes to others.

A message is one UDP datagram of JSON, like the other messages of peers.
"""

import base64
import binascii
from collections.abc import Iterator
import dataclasses
import json

from arbutusvale import errors
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import numeric
from arbutusvale.protocol import peer_message

_KIND = 'list'
# The encoded size of a record without its key and base64 value.
_RECORD_OVERHEAD_BYTES = 30
# The encoded size of a message without its records.
_MESSAGE_OVERHEAD_BYTES = 160


@dataclasses.dataclass(frozen=True, slots=True)
class ListUpdate:
    """All changes in a topic between two of its offsets.

    ``records`` are those from ``start_offset`` up to ``end_offset``, in
    order, that changed the sender's state; the others only renew an entry.
    ``age_s`` is the time since the sender read them from the store.
    ``era`` is the one of the offsets, None if unknown.
    """

    host: str
    topic: str
    start_offset: int
    end_offset: int
    age_s: float
    records: tuple[keyed_log.Record, ...]
    era: int | None = None


def split(update: ListUpdate) -> Iterator[ListUpdate]:
    """Split an update into messages of one datagram each, in order."""
    first_offset = update.start_offset
    records: list[keyed_log.Record] = []
    message_bytes = _MESSAGE_OVERHEAD_BYTES
    for record in update.records:
        record_bytes = _estimate_record_bytes(record)
        if records and message_bytes + record_bytes > peer_message.MAX_BYTES:
            yield dataclasses.replace(
                update,
                start_offset=first_offset,
                end_offset=record.offset,
                records=tuple(records),
            )
            first_offset, records, message_bytes = (
                record.offset,
                [],
                _MESSAGE_OVERHEAD_BYTES,
            )
        records.append(record)
        message_bytes += record_bytes
    yield dataclasses.replace(
        update, start_offset=first_offset, records=tuple(records)
    )


def encode(update: ListUpdate) -> bytes:
    """Encode an update as a datagram."""
    return json.dumps(
        {
            'kind': _KIND,
            'host': update.host,
            'topic': update.topic,
            'since': update.start_offset,
            'until': update.end_offset,
            'age_ms': int(update.age_s * 1000),
            'era': update.era,
            'records': [_encode_record(record) for record in update.records],
        },
        separators=(',', ':'),
    ).encode()


def decode(data: bytes) -> ListUpdate | None:
    """Decode an update; return None for a message of another kind.

    Raise FrameError if it is malformed: numbers must be non-negative
    integers and offsets in order.
    """
    if b'"kind":"list"' not in data[:20]:
        return None
    try:
        document = json.loads(data)
        update = ListUpdate(
            host=str(document['host']),
            topic=str(document['topic']),
            start_offset=_check_integer(document['since']),
            end_offset=_check_integer(document['until']),
            age_s=_check_integer(document['age_ms']) / 1000,
            records=tuple(_decode_record(row) for row in document['records']),
            era=_check_era(document.get('era')),
        )
    except (
        ValueError, KeyError, TypeError, AttributeError, RecursionError,
        binascii.Error,
    ) as error:  # fmt: skip
        raise errors.FrameError(
            f'The news of a list are malformed: {error!r}.'
        ) from error
    offsets = [
        update.start_offset,
        *(record.offset for record in update.records),
        update.end_offset,
    ]
    if offsets != sorted(offsets):
        raise errors.FrameError('The offsets of the news are out of order.')
    return update


def _estimate_record_bytes(record: keyed_log.Record) -> int:
    """Return the approximate size of an encoded record, in bytes."""
    value_bytes = len(record.value or b'') * 4 // 3
    return _RECORD_OVERHEAD_BYTES + len(record.key) + value_bytes


def _encode_record(record: keyed_log.Record) -> list[object]:
    """Encode a record as a JSON array."""
    value = record.value
    text = base64.b64encode(value).decode() if value is not None else None
    return [record.offset, record.key, text]


def _decode_record(row: list[object]) -> keyed_log.Record:
    """Decode a record from a JSON array."""
    offset, key, text = row
    value = base64.b64decode(str(text)) if text is not None else None
    return keyed_log.Record(str(key), value, _check_integer(offset))


def _check_era(value: object) -> int | None:
    """Return an era, None from a sender that knows none."""
    return None if value is None else _check_integer(value)


def _check_integer(value: object) -> int:
    """Return a non-negative integer, or raise TypeError."""
    if not numeric.is_whole(value) or value < 0:
        raise TypeError('not a whole number')
    return value
