"""Encode the records of the log's claim streams.

A record is a CBOR list: VM, incarnation, then one list of key digest, body
fingerprint and claim id for each claim.
"""

import dataclasses

import cbor2

from arbutusvale import errors


@dataclasses.dataclass(frozen=True, slots=True)
class KeyClaim:
    """Claim the right to run the request of one key.

    ``key`` is the digest of the scoped key, ``fingerprint`` that of the
    request's body, ``number`` is unique within the claiming incarnation.
    """

    key: bytes
    fingerprint: bytes
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Hold claims that one sidecar appended together."""

    vm: str
    incarnation: int
    claims: list[KeyClaim]


def encode(record: ClaimRecord) -> bytes:
    """Encode a record for the log."""
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
