import dataclasses
import zlib

import pytest

from arbutusvale.protocol import signing
from tests import helpers_bundle


def test_record_is_unchanged_by_decoding_and_encoding():
    data = helpers_bundle.make_record('v1')
    record = signing.decode(data)
    assert signing.encode(record) == data
    assert signing.verify(record, helpers_bundle.ANA.public)
    assert signing.read_bundle(record).version == 'v1'


@pytest.mark.parametrize(
    'change',
    [
        {'operator': 'bia'},
        {'parent': b'x' * 32},
        {'publication': 'other'},
        {'body': zlib.compress(b'version: v2')},
        {'signature': bytes(64)},
    ],
)
def test_signature_covers_every_field(change):
    record = signing.decode(helpers_bundle.make_record('v1'))
    changed = dataclasses.replace(record, **change)
    assert not signing.verify(changed, helpers_bundle.ANA.public)


def test_verify_rejects_other_and_invalid_keys():
    record = signing.decode(helpers_bundle.make_record('v1'))
    assert not signing.verify(record, helpers_bundle.BIA.public)
    assert not signing.verify(record, 'no key')


@pytest.mark.parametrize('data', [b'', b'\xff', b'\x80', b'\x86\x01\x01'])
def test_malformed_record_raises_bundle_record_error(data):
    with pytest.raises(signing.BundleRecordError):
        signing.decode(data)


def test_body_over_the_size_limit_when_decompressed_is_refused(monkeypatch):
    monkeypatch.setattr(signing, 'MAX_BUNDLE_BYTES', 10)
    record = signing.decode(helpers_bundle.make_record('v1'))
    with pytest.raises(signing.BundleRecordError, match='too large'):
        signing.read_text(record)


def test_generated_public_key_derives_from_the_private_key():
    keys = signing.generate_keys()
    assert signing.derive_public_key(keys.private) == keys.public
