"""Encoding of batches of link messages as CBOR frames.

A frame is a CBOR array of messages; a message is an array of a tag, which is
the index of its type, and its fields in the order of the data class.
"""

from collections.abc import Callable
import dataclasses
import operator
import typing

import cbor2

from arbutusvale import errors
from arbutusvale.protocol import messages

_MESSAGE_TYPES = typing.get_args(messages.Message)
_TAG_BY_TYPE = {
    message_type: tag for tag, message_type in enumerate(_MESSAGE_TYPES)
}
# Item types of the fields that are lists of data classes.
_ITEM_TYPES = {
    list[messages.Load]: messages.Load,
    list[messages.Placement]: messages.Placement,
}


def _list_fields(value) -> list:
    """List the field values of a data class without nested ones, in order."""
    return [getattr(value, name) for name in value.__slots__]


def _make_packer(message_type: type) -> Callable[[typing.Any], list]:
    """Build the function that packs a message into its tag and fields."""
    tag = _TAG_BY_TYPE[message_type]
    fields = dataclasses.fields(message_type)
    names = [field.name for field in fields]
    nested_names = {
        field.name for field in fields if field.type in _ITEM_TYPES
    }
    if not nested_names:
        get_fields = operator.attrgetter(*names)
        if len(names) == 1:
            return lambda message: (tag, get_fields(message))
        return lambda message: (tag, *get_fields(message))

    def pack(message) -> list:
        packed: list = [tag]
        for name in names:
            value = getattr(message, name)
            if name in nested_names:
                value = [_list_fields(item) for item in value]
            packed.append(value)
        return packed

    return pack


def _make_unpacker(message_type: type) -> Callable[[list], typing.Any]:
    """Build the function that validates an array and unpacks its message."""
    declared_fields = dataclasses.fields(message_type)
    field_types = [
        typing.get_origin(field.type) or field.type
        for field in declared_fields
    ]
    item_types = [_ITEM_TYPES.get(field.type) for field in declared_fields]
    exact_types = tuple(field_types)
    is_flat = not any(item_types)

    def unpack(values: list):
        fields = values[1:]
        if is_flat and tuple(map(type, fields)) == exact_types:
            return message_type(*fields)
        if len(fields) != len(field_types):
            raise errors.FrameError(
                f'{message_type.__name__} has a wrong length.'
            )
        arguments = []
        for value, field_type, item_type in zip(
            fields, field_types, item_types, strict=True
        ):
            if field_type is float and type(value) is int:
                value = float(value)
            if type(value) is not field_type:
                raise errors.FrameError(
                    f'{message_type.__name__} has a field of a wrong type.'
                )
            if item_type is not None:
                value = [_unpack_item(item_type, item) for item in value]
            arguments.append(value)
        return message_type(*arguments)

    return unpack


def _unpack_item(item_type: type, values) -> typing.Any:
    """Unpack a nested data class from the array of its fields."""
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


_PACKERS = {
    message_type: _make_packer(message_type) for message_type in _MESSAGE_TYPES
}
_UNPACKERS = [_make_unpacker(message_type) for message_type in _MESSAGE_TYPES]


def encode_frame(batch: list[messages.Message]) -> bytes:
    """Encode messages as one frame, keeping their order."""
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
