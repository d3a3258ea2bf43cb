import dataclasses
import zlib

import pytest

from arbutusvale.protocol import signing
from tests import helpers_bundle


def test_signed_record_survives_its_encoding():
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


def test_signature_of_another_key_does_not_hold():
    record = signing.decode(helpers_bundle.make_record('v1'))
    assert not signing.verify(record, helpers_bundle.BIA.public)
    assert not signing.verify(record, 'no key')


@pytest.mark.parametrize('data', [b'', b'\xff', b'\x80', b'\x86\x01\x01'])
def test_other_bytes_are_no_record(data):
    with pytest.raises(signing.BundleRecordError):
        signing.decode(data)


def test_body_that_grows_past_the_limit_is_refused(monkeypatch):
    monkeypatch.setattr(signing, 'MAX_BUNDLE_BYTES', 10)
    record = signing.decode(helpers_bundle.make_record('v1'))
    with pytest.raises(signing.BundleRecordError, match='too large'):
        signing.read_text(record)


def test_generated_keys_belong_together():
    keys = signing.generate_keys()
    assert signing.derive_public_key(keys.private) == keys.public
