"""Define the records of the ``orders`` stream and their encoding.

A record is a CBOR array of its tag and its fields.
"""

import dataclasses
import typing

import cbor2

from arbutusvale import errors

STREAM = 'orders'


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """Announce a started sidecar; its offset is the fencing number.

    ``token`` is unique per process, so that it finds its own record.
    """

    vm: str
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class TurnClaim:
    """Ask for a turn in which the VM's engine may be unavailable."""

    vm: str
    fence: int
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class TurnRelease:
    """End the turn that ``vm`` claimed under ``fence``, or its wait."""

    vm: str
    fence: int
    pool: str


Record = Incarnation | TurnClaim | TurnRelease
_TYPES = typing.get_args(Record)


def encode(record: Record) -> bytes:
    """Encode a record for the log."""
    values = [getattr(record, name) for name in record.__slots__]
    return cbor2.dumps([_TYPES.index(type(record)), *values])


def decode(data: bytes) -> Record:
    """Decode a record; raises :class:`errors.FrameError`."""
    try:
        tag, *values = cbor2.loads(data)
        kind = _TYPES[tag]
        wanted = [field.type for field in dataclasses.fields(kind)]
    except (cbor2.CBORDecodeError, ValueError, TypeError, IndexError) as error:
        raise errors.FrameError('An order record is not known.') from error
    if [type(value) for value in values] != wanted:
        raise errors.FrameError('An order record has a wrong field.')
    return kind(*values)
