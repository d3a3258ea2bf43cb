"""Records of the log's claim streams, which claim idempotency keys.

A record is a CBOR array of VM, incarnation and claims; a claim is an array
of key digest, body fingerprint and claim number.
"""

import dataclasses

import cbor2

from arbutusvale import errors


@dataclasses.dataclass(frozen=True, slots=True)
class KeyClaim:
    """A claim to run the request of one idempotency key.

    ``key`` is the digest of the key with its scope, ``fingerprint`` that of
    the request body; ``number`` is unique within the claiming incarnation.
    """

    key: bytes
    fingerprint: bytes
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A batch of claims that one sidecar appended together."""

    vm: str
    incarnation: int
    claims: list[KeyClaim]


def encode(record: ClaimRecord) -> bytes:
    """Encode a record as CBOR."""
    claims = [[c.key, c.fingerprint, c.number] for c in record.claims]
    return cbor2.dumps([record.vm, record.incarnation, claims])


def decode(data: bytes) -> ClaimRecord:
    """Decode a record; raises :class:`errors.FrameError`."""
    try:
        match cbor2.loads(data):
            case [str() as vm, int() as incarnation, [*claims]]:
                return ClaimRecord(
                    vm, incarnation, [_decode_claim(c) for c in claims]
                )
    except cbor2.CBORDecodeError as error:
        raise errors.FrameError('A claim record is not CBOR.') from error
    raise errors.FrameError('A claim record has a wrong shape.')


def _decode_claim(values) -> KeyClaim:
    """Decode one claim of a record."""
    match values:
        case [bytes() as key, bytes() as fingerprint, int() as number]:
            return KeyClaim(key, fingerprint, number)
    raise errors.FrameError('A claim has a wrong shape.')
