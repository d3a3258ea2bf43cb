"""Pauses that backend servers asked this router for."""

from collections.abc import Callable

from arbutusvale.protocol import proxying


class ServerPauses:
    """When the pause of each server's incarnation ends, in steady seconds."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.end_by_incarnation: dict[tuple[str, int], float] = {}

    def extend(self, server: proxying.BackendServer, pause_s: float) -> None:
        """Start a pause; a longer one that runs already stays."""
        now = self.clock()
        for incarnation, end in list(self.end_by_incarnation.items()):
            if end <= now:
                del self.end_by_incarnation[incarnation]
        incarnation = (server.id, server.started_at_ms)
        end = self.end_by_incarnation.get(incarnation, now)
        self.end_by_incarnation[incarnation] = max(end, now + pause_s)

    def time_left_s(self, server: proxying.BackendServer) -> float:
        """Return the rest of a server's pause in seconds; 0 without one."""
        end = self.end_by_incarnation.get((server.id, server.started_at_ms))
        return 0.0 if end is None else max(0.0, end - self.clock())
