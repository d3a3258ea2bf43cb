"""Turn lists of messages into CBOR frames and back.

A frame is a CBOR array of messages; a message is an array of its tag and
its fields in the order of its data class.
"""

from collections.abc import Callable
import dataclasses
import operator
import typing

import cbor2

from arbutusvale import errors
from arbutusvale.protocol import messages

_TYPES = typing.get_args(messages.Message)
_TAGS = {kind: tag for tag, kind in enumerate(_TYPES)}
_NESTED = {
    list[messages.Load]: messages.Load,
    list[messages.Placement]: messages.Placement,
}


def _astuple(value) -> list:
    """List the fields of a flat data class in order."""
    return [getattr(value, name) for name in value.__slots__]


def _make_packer(kind: type) -> Callable[[typing.Any], list]:
    """Build the function that lists a message's tag and fields."""
    tag = _TAGS[kind]
    fields = dataclasses.fields(kind)
    names = [field.name for field in fields]
    nested = {field.name for field in fields if field.type in _NESTED}
    if not nested:
        read = operator.attrgetter(*names)
        if len(names) == 1:
            return lambda message: (tag, read(message))
        return lambda message: (tag, *read(message))

    def pack(message) -> list:
        packed: list = [tag]
        for name in names:
            value = getattr(message, name)
            if name in nested:
                value = [_astuple(item) for item in value]
            packed.append(value)
        return packed

    return pack


def _make_unpacker(kind: type) -> Callable[[list], typing.Any]:
    """Build the function that checks an array and makes the message."""
    declared = dataclasses.fields(kind)
    wanted = [
        typing.get_origin(field.type) or field.type for field in declared
    ]
    nested = [_NESTED.get(field.type) for field in declared]
    exact = tuple(wanted)
    flat = not any(nested)

    def unpack(values: list):
        fields = values[1:]
        if flat and tuple(map(type, fields)) == exact:
            return kind(*fields)
        if len(fields) != len(wanted):
            raise errors.FrameError(f'{kind.__name__} has a wrong length.')
        arguments = []
        for value, type_, item_type in zip(
            fields, wanted, nested, strict=True
        ):
            if type_ is float and type(value) is int:
                value = float(value)
            if type(value) is not type_:
                raise errors.FrameError(
                    f'{kind.__name__} has a field of a wrong type.'
                )
            if item_type is not None:
                value = [_unpack_item(item_type, item) for item in value]
            arguments.append(value)
        return kind(*arguments)

    return unpack


def _unpack_item(item_type: type, values) -> typing.Any:
    """Make one nested data class from the array of its fields."""
    if type(values) is not list:
        raise errors.FrameError(f'{item_type.__name__} is not an array.')
    fields = dataclasses.fields(item_type)
    if len(values) != len(fields):
        raise errors.FrameError(f'{item_type.__name__} has a wrong length.')
    for value, field in zip(values, fields, strict=True):
        if type(value) is not field.type:
            raise errors.FrameError(
                f'{item_type.__name__} has a field of a wrong type.'
            )
    return item_type(*values)


_PACKERS = {kind: _make_packer(kind) for kind in _TYPES}
_UNPACKERS = [_make_unpacker(kind) for kind in _TYPES]


def encode_frame(batch: list[messages.Message]) -> bytes:
    """Encode messages, in order, as one frame."""
    return cbor2.dumps([_PACKERS[type(item)](item) for item in batch])


def decode_frame(frame: bytes) -> list[messages.Message]:
    """Decode one frame; raises :class:`errors.FrameError`."""
    try:
        batch = cbor2.loads(frame)
    except cbor2.CBORDecodeError as error:
        raise errors.FrameError('A frame is not CBOR.') from error
    if type(batch) is not list:
        raise errors.FrameError('A frame is not an array.')
    return [_decode_message(values) for values in batch]


def _decode_message(values) -> messages.Message:
    """Decode one message of a frame."""
    if type(values) is not list or not values:
        raise errors.FrameError('A message is not an array.')
    tag = values[0]
    if type(tag) is not int or not 0 <= tag < len(_UNPACKERS):
        raise errors.FrameError(f'Message tag {tag!r} is not known.')
    return _UNPACKERS[tag](values)
