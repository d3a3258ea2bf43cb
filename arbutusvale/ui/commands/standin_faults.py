"""``faults``: run the fault-injecting TCP proxy."""

from arbutusvale.standins import fault_proxy
from arbutusvale.ui import foreground


def run(options: dict) -> int:
    """Proxy connections to the target until stopped."""
    return foreground.run(
        lambda: fault_proxy.FaultProxy(
            options['--listen'], options['--target'], options['--control']
        )
    )
