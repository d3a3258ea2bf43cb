"""Routers that may be running, also those that this one doesn't hear.

Where all routers share a limit and nobody hands out shares, each divides it by
the number of routers.  That number must not fall because this router hears
less: it may have just started, be cut off or have stood still, and the others
may use their shares all the same.

Load patterns covered:

- *a partition, or a process that stood still*: silent routers count for long;
- *routers that leave, also all in turn*: what one has used of a limit counts
  until the time that the limit is for is over;
- *a router that starts*, alone or with all others: it may have used its share
  just before, and doesn't know the others yet.

Times are those of a monotonic clock, in seconds.
"""

from collections.abc import Callable

# A router that isn't heard may still be running behind a partition.
SILENCE_RETENTION_S = 600.0
# Longer than other routers go on to name one that has left.
LEFT_RETENTION_S = 60.0


class RouterCensus:
    """The other routers by host, when they left, and when this one started.

    ``seeds`` are the hosts that this one knows from its settings.
    ``is_first_start`` means that the whole system starts for the first time,
    so that no router has used a share before.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        seeds: tuple[str, ...] = (),
        is_first_start: bool = False,
    ):
        self.clock = clock
        self.seeds = seeds
        self.is_first_start = is_first_start
        self.started_at = clock()
        self.has_heard_any = False
        # When each was last heard, or named by another one.
        self.running: dict[str, float] = {}
        self.left: dict[str, float] = {}

    def record_heard(self, host: str) -> None:
        """Record a message of a router."""
        self.has_heard_any = True
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

    def has_started_within(self, window_s: float) -> bool:
        """Return whether a process before may have run in a window."""
        return (
            not self.is_first_start
            and self.started_at > self.clock() - window_s
        )

    def own_part(self, window_s: float) -> float:
        """Return this router's part of a limit for all, from 0 to 1.

        The limit is for any time of ``window_s``.  A router that starts has
        no part for so long, as its last process may have used it, and none
        before it has heard another one.
        """
        self._expire()
        oldest = self.clock() - window_s
        others = set(self.running)
        others.update(
            host for host, left_at in self.left.items() if left_at > oldest
        )
        if self.is_first_start:
            others.update(self.seeds)
        elif self.has_started_within(window_s) or (
            self.seeds and not self.has_heard_any
        ):
            return 0.0
        return 1 / (1 + len(others))

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
