"""``platform``: run the stand-in for the platform."""

from arbutusvale.standins import platform
from arbutusvale.ui import foreground


def run(options: dict) -> int:
    """Serve the log service, VM list and weight store until stopped."""
    return foreground.run(
        lambda: platform.PlatformStandin(options['--listen'])
    )
