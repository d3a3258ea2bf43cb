"""``bundle reference``: print the reference of bundles and settings."""

from arbutusvale.ui import exit_codes
from arbutusvale.ui import reference


def run(_options: dict) -> int:
    """Print the Markdown of ``docs/bundle-reference.md``."""
    print(reference.render(), end='')
    return exit_codes.ExitCode.DONE
