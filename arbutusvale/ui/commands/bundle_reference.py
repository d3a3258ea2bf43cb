"""Print the reference of bundles and settings as Markdown."""

from arbutusvale.ui import exit_codes
from arbutusvale.ui import reference


def run(_options: dict) -> int:
    """Print the page that ``docs/bundle-reference.md`` holds."""
    print(reference.render(), end='')
    return exit_codes.ExitCode.DONE
