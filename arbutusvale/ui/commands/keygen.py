"""``keygen``: generate an operator's key pair."""

import os

from arbutusvale import errors
from arbutusvale.protocol import signing
from arbutusvale.ui import exit_codes

OWNER_ONLY_MODE = 0o600


def run(options: dict) -> int:
    """Write the private key to a file and print the public key."""
    keys = signing.generate_keys()
    create_file(
        options['--out'], f'{keys.private}\n'.encode(), OWNER_ONLY_MODE
    )
    print(keys.public)
    return exit_codes.ExitCode.DONE


def create_file(path: str, data: bytes, mode: int = 0o644) -> None:
    """Create a file; raise :class:`errors.UsageError` if it exists."""
    try:
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(path, flags, mode), 'wb') as file:
            file.write(data)
    except OSError as error:
        raise errors.UsageError(
            f'{path} cannot be written: {error}.',
            'Name a new file in a folder that exists.',
        ) from error
