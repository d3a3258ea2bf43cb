"""Sign a bundle into a file that can be rolled out later."""

import secrets

from arbutusvale import errors
from arbutusvale import yaml_documents
from arbutusvale.protocol import bundle
from arbutusvale.protocol import signing
from arbutusvale.ui import exit_codes
from arbutusvale.ui import operator_context
from arbutusvale.ui.commands import keygen

PUBLICATION_ID_BYTES = 16


def run(options: dict) -> int | None:
    """Sign the bundle as the child of the head or of ``--parent``."""

    async def sign(context: operator_context.OperatorContext) -> int:
        parent = parse_parent_digest(options['--parent'])
        if parent is None:
            head = await context.make_rollout().read_head()
            parent = head.digest if head else b''
        data = make_signed_record(context, options['BUNDLE'], parent)
        keygen.create_file(options['--out'], data)
        print(f'signed {signing.digest(data).hex()}')
        return exit_codes.ExitCode.DONE

    return operator_context.run(options['--settings'], sign)


def make_signed_record(
    context: operator_context.OperatorContext, path: str, parent: bytes
) -> bytes:
    """Check and sign the bundle at ``path`` and encode its record."""
    text = operator_context.read_text(path)
    yaml_documents.parse(text, bundle.Bundle, path)
    record = signing.sign(
        text,
        context.settings.name,
        context.read_private_key(),
        parent,
        secrets.token_hex(PUBLICATION_ID_BYTES),
    )
    return signing.encode(record)


def parse_parent_digest(text: str | None) -> bytes | None:
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
