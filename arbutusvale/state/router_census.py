"""Routers that may be running, also those that this one doesn't hear.

Where all routers share a limit and nobody hands out shares, each divides it by
the number of routers.  That number must not fall because this router hears
less: it may be cut off or have stood still, and the others may use their
shares all the same.

Load patterns covered:

- *a partition, or a process that stood still*: silent routers count for long;
- *routers that leave, also all in turn*: what one has used of a limit counts
  until the time that the limit is for is over.

Times are those of a monotonic clock, in seconds.
"""

from collections.abc import Callable

# A router that isn't heard may still be running behind a partition.
SILENCE_RETENTION_S = 600.0
# Longer than other routers go on to name one that has left.
LEFT_RETENTION_S = 60.0


class RouterCensus:
    """The other routers by host, and when they left."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        # When each was last heard, or named by another one.
        self.running: dict[str, float] = {}
        self.left: dict[str, float] = {}

    def record_heard(self, host: str) -> None:
        """Record a message of a router."""
        self.left.pop(host, None)
        self.running[host] = self.clock()

    def record_named(self, host: str) -> None:
        """Record that another router has heard one."""
        if host not in self.left:
            self.running[host] = self.clock()

    def record_left(self, host: str) -> None:
        """Record that a router says that it leaves."""
        self.running.pop(host, None)
        self.left[host] = self.clock()

    def list_running(self) -> list[str]:
        """List the hosts of all other routers that may be running."""
        self._expire()
        return list(self.running)

    def own_part(self, window_s: float) -> float:
        """Return this router's part of a limit for all, from 0 to 1.

        The limit is for any time of ``window_s``.
        """
        self._expire()
        oldest = self.clock() - window_s
        left_lately = sum(left_at > oldest for left_at in self.left.values())
        return 1 / (1 + len(self.running) + left_lately)

    def _expire(self) -> None:
        """Drop the routers that can't be running any more."""
        now = self.clock()
        for hosts, retention_s in (
            (self.running, SILENCE_RETENTION_S),
            (self.left, LEFT_RETENTION_S),
        ):
            oldest = now - retention_s
            for host in [host for host, at in hosts.items() if at < oldest]:
                del hosts[host]
