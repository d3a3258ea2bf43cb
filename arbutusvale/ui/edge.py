"""Entry point of the edge router, with as few imports as possible."""

import sys

# No connection uses TLS; without ssl, asyncio needs 2 MB less memory.
sys.modules.setdefault('ssl', None)  # type: ignore[arg-type]

import asyncio  # noqa: E402

from arbutusvale import composeedge  # noqa: E402
from arbutusvale import errors  # noqa: E402

EXIT_INVALID_SETTINGS = 2


def main() -> int:
    """Run until stopped; return the exit code."""
    try:
        return asyncio.run(composeedge.run())
    except errors.DocumentError as error:
        print(f'error: {error}', file=sys.stderr)
        return EXIT_INVALID_SETTINGS


if __name__ == '__main__':
    sys.exit(main())
