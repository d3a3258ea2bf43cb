"""Sign a bundle into a file that can be rolled out later."""

import secrets

from arbutusvale import errors
from arbutusvale import yaml_documents
from arbutusvale.protocol import bundle
from arbutusvale.protocol import signing
from arbutusvale.ui import exitcodes
from arbutusvale.ui import operatordesk
from arbutusvale.ui.commands import keygen

PUBLICATION_BYTES = 16


def run(options: dict) -> int | None:
    """Sign the bundle as the child of the head or of ``--parent``."""

    async def sign(desk: operatordesk.OperatorDesk) -> int:
        parent = read_parent(options['--parent'])
        if parent is None:
            head = await desk.make_rollout().read_head()
            parent = head.digest if head else b''
        data = make_record(desk, options['BUNDLE'], parent)
        keygen.write_new(options['--out'], data)
        print(f'signed {signing.digest(data).hex()}')
        return exitcodes.ExitCode.DONE

    return operatordesk.run(options['--settings'], sign)


def make_record(
    desk: operatordesk.OperatorDesk, path: str, parent: bytes
) -> bytes:
    """Check and sign the bundle at ``path`` and encode its record."""
    text = operatordesk.read_text(path)
    yaml_documents.parse(text, bundle.Bundle, path)
    record = signing.sign(
        text,
        desk.settings.name,
        desk.read_key(),
        parent,
        secrets.token_hex(PUBLICATION_BYTES),
    )
    return signing.encode(record)


def read_parent(text: str | None) -> bytes | None:
    """Read a digest given in hexadecimal; None when none was given."""
    if text is None:
        return None
    try:
        parent = bytes.fromhex(text)
    except ValueError:
        parent = b'?'
    if len(parent) not in (0, signing.DIGEST_BYTES):
        raise errors.UsageError(
            f'{text!r} is not the digest of a bundle.',
            'Copy it from `arbutusvale history --json`.',
        )
    return parent
