"""Records of the ``orders`` stream: sidecar starts and turns of updates.

A record is a CBOR array of a tag, which is the index of its type, and its
fields.
"""

import dataclasses
import typing

import cbor2

from arbutusvale import errors

STREAM = 'orders'


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """A sidecar has started; the record's offset is its fencing number.

    ``token`` is unique per process, which recognises its own record by it.
    """

    vm: str
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class TurnClaim:
    """Claim of a turn in which the VM's engine may be unavailable."""

    vm: str
    fence: int
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class TurnRelease:
    """Release of the turn that ``vm`` holds or waits for under ``fence``."""

    vm: str
    fence: int
    pool: str


Record = Incarnation | TurnClaim | TurnRelease
_RECORD_TYPES = typing.get_args(Record)


def encode(record: Record) -> bytes:
    """Encode a record as CBOR."""
    values = [getattr(record, name) for name in record.__slots__]
    return cbor2.dumps([_RECORD_TYPES.index(type(record)), *values])


def decode(data: bytes) -> Record:
    """Decode a record; raises :class:`errors.FrameError`."""
    try:
        tag, *values = cbor2.loads(data)
        record_type = _RECORD_TYPES[tag]
        field_types = [field.type for field in dataclasses.fields(record_type)]
    except (cbor2.CBORDecodeError, ValueError, TypeError, IndexError) as error:
        raise errors.FrameError('An order record is not known.') from error
    if [type(value) for value in values] != field_types:
        raise errors.FrameError('An order record has a wrong field.')
    return record_type(*values)
