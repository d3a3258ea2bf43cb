"""``service``: run the stand-in for a plain service."""

from arbutusvale.standins import service
from arbutusvale.ui import foreground


def run(options: dict) -> int:
    """Serve bookings and reads until stopped."""
    return foreground.run(
        lambda: service.ServiceStandin(options['--listen'], options['--name'])
    )
