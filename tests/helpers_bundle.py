"""Keys, bundles and signed records for tests."""

from arbutusvale.protocol import signing

ANA = signing.KeyPair('01' * 32, signing.derive_public_key('01' * 32))
BIA = signing.KeyPair('02' * 32, signing.derive_public_key('02' * 32))
OPERATORS = {'ana': ANA.public, 'bia': BIA.public}

_TEXT = """\
version: {version}
organisations:
  acme:
    keys: ['sha256:{digest}']
    services: [chat]
services:
  chat: {{kind: model, pool: models, model: small}}
pools:
  models: {{policy: {{kind: directory}}}}
operators: {operators}
"""


def make_text(version: str, operators: dict[str, str] = OPERATORS) -> str:
    """Return a small bundle of this version as YAML."""
    return _TEXT.format(version=version, digest='0' * 64, operators=operators)


def make_record(
    version: str,
    parent: bytes = b'',
    operator: str = 'ana',
    key: signing.KeyPair = ANA,
    operators: dict[str, str] = OPERATORS,
) -> bytes:
    """Return the encoded record of a small signed bundle."""
    text = make_text(version, operators)
    record = signing.sign(text, operator, key.private, parent, version)
    return signing.encode(record)
