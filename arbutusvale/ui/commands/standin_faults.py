"""``faults``: run the fault-injecting TCP proxy."""

from arbutusvale.standins import faults
from arbutusvale.ui import foreground


def run(options: dict) -> int:
    """Proxy connections to the target until stopped."""
    return foreground.run(
        lambda: faults.FaultProxy(
            options['--listen'], options['--target'], options['--control']
        )
    )
