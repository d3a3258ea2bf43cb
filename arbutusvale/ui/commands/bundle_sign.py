"""``bundle sign``: write a signed record that can be rolled out later."""

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
    """Sign the bundle as the successor of ``--parent`` or of the head."""

    async def sign(context: operator_context.OperatorContext) -> int:
        parent = parse_parent_digest(options['--parent'])
        if parent is None:
            head = await context.make_rollout().read_head()
            parent = head.digest if head else b''
        signed_record = make_signed_record(context, options['BUNDLE'], parent)
        keygen.create_file(options['--out'], signed_record)
        print(f'signed {signing.digest(signed_record).hex()}')
        return exit_codes.ExitCode.DONE

    return operator_context.run(options['--settings'], sign)


def make_signed_record(
    context: operator_context.OperatorContext, path: str, parent: bytes
) -> bytes:
    """Validate and sign the bundle at ``path``; return the encoded record."""
    bundle_text = operator_context.read_text(path)
    yaml_documents.parse(bundle_text, bundle.Bundle, path)
    bundle_record = signing.sign(
        bundle_text,
        context.settings.name,
        context.read_private_key(),
        parent,
        secrets.token_hex(PUBLICATION_ID_BYTES),
    )
    return signing.encode(bundle_record)


def parse_parent_digest(text: str | None) -> bytes | None:
    """Parse a digest in hexadecimal; empty means no parent, None the head."""
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
