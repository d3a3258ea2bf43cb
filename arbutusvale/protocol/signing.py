"""Signed bundle records of the ``config`` stream.

A record is a CBOR array of format, operator, parent, publication, body and
signature.  The signature covers all fields before it; the digest of a
record is the SHA-256 of its bytes.
"""

import dataclasses
import hashlib
import zlib

import cbor2
from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from arbutusvale import errors
from arbutusvale import yaml_documents
from arbutusvale.protocol import bundle

FORMAT = 1
STREAM = 'config'
DIGEST_BYTES = 32
MAX_BUNDLE_BYTES = 16 * 1024 * 1024
# Domain separation: no signature made for another purpose is valid here.
_SIGNATURE_CONTEXT = b'arbutusvale bundle\0'


class BundleRecordError(errors.ArbutusvaleError):
    """A record that is not a valid signed bundle."""

    def __init__(self, problem: str):
        super().__init__(
            problem, 'Sign the bundle again with `arbutusvale bundle sign`.'
        )


class KeyFormatError(errors.ArbutusvaleError):
    """A text that is not an Ed25519 key."""

    def __init__(self, owner: str):
        super().__init__(
            f'The key of {owner} is not an Ed25519 key in hexadecimal.',
            'Make a key pair with `arbutusvale keygen`.',
        )


@dataclasses.dataclass(frozen=True, slots=True)
class KeyPair:
    """An operator's Ed25519 key pair, 64 hexadecimal digits each."""

    private: str
    public: str


@dataclasses.dataclass(frozen=True, slots=True)
class SignedBundle:
    """One published bundle with its signature.

    ``parent`` is the digest of the preceding record, empty for the first
    one; ``publication`` is an id that makes repeated publications of one
    body differ; ``body`` is the zlib-compressed YAML document.
    """

    operator: str
    parent: bytes
    publication: str
    body: bytes
    signature: bytes


def generate_keys() -> KeyPair:
    """Generate a new key pair."""
    key = ed25519.Ed25519PrivateKey.generate()
    return KeyPair(
        private=key.private_bytes_raw().hex(),
        public=key.public_key().public_bytes_raw().hex(),
    )


def derive_public_key(private: str) -> str:
    """Derive the public key from a private one."""
    key = _load_private_key(private)
    return key.public_key().public_bytes_raw().hex()


def sign(
    text: str, operator: str, private: str, parent: bytes, publication: str
) -> SignedBundle:
    """Sign the YAML ``text`` of a bundle as the successor of ``parent``."""
    body = zlib.compress(text.encode(), 9)
    unsigned = SignedBundle(operator, parent, publication, body, b'')
    key = _load_private_key(private)
    signature = key.sign(_signed_bytes(unsigned))
    return dataclasses.replace(unsigned, signature=signature)


def verify(record: SignedBundle, public: str) -> bool:
    """Return whether the signature matches the ``public`` key."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(public))
        key.verify(record.signature, _signed_bytes(record))
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True


def encode(record: SignedBundle) -> bytes:
    """Encode a record as CBOR."""
    return cbor2.dumps(
        [FORMAT, *_list_signed_fields(record), record.signature]
    )


def decode(data: bytes) -> SignedBundle:
    """Decode a record; raises :class:`BundleRecordError`."""
    try:
        values = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise BundleRecordError('A record is not CBOR.') from error
    if type(values) is not list or len(values) != 6 or values[0] != FORMAT:
        raise BundleRecordError('A record is no signed bundle.')
    field_types = [type(value) for value in values[1:]]
    if field_types != [str, bytes, str, bytes, bytes]:
        raise BundleRecordError('A record has a field of a wrong type.')
    return SignedBundle(*values[1:])


def digest(data: bytes) -> bytes:
    """Compute the digest of a record, its successor's ``parent``."""
    return hashlib.sha256(data).digest()


def read_text(record: SignedBundle) -> str:
    """Decompress the YAML text; raises :class:`BundleRecordError`."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(record.body, MAX_BUNDLE_BYTES)
        if not decompressor.eof:
            raise BundleRecordError('A bundle is cut off or too large.')
        return text.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise BundleRecordError('A bundle is not compressed text.') from error


def read_bundle(record: SignedBundle) -> bundle.Bundle:
    """Parse and validate the bundle of a record.

    Raises :class:`BundleRecordError` and :class:`errors.DocumentError`.
    """
    return yaml_documents.parse(read_text(record), bundle.Bundle, 'bundle')


def _signed_bytes(record: SignedBundle) -> bytes:
    """Build the bytes that the signature covers."""
    return _SIGNATURE_CONTEXT + cbor2.dumps(
        [FORMAT, *_list_signed_fields(record)]
    )


def _list_signed_fields(record: SignedBundle) -> list:
    """List the fields that the signature covers, in order."""
    return [record.operator, record.parent, record.publication, record.body]


def _load_private_key(private: str) -> ed25519.Ed25519PrivateKey:
    """Parse a private key; raises :class:`KeyFormatError`."""
    try:
        return ed25519.Ed25519PrivateKey.from_private_bytes(
            bytes.fromhex(private.strip())
        )
    except ValueError as error:
        raise KeyFormatError('the operator') from error
