"""Requests that wait in this router for a server of their pool."""

import itertools

# So many may take a free server, as the first may need another version.
FRONT_LENGTH = 4


class PoolWaiters:
    """The order in which requests of each pool began to wait."""

    def __init__(self) -> None:
        self.tickets_by_pool: dict[str, dict[int, None]] = {}
        self.next_ticket = itertools.count(1)

    def join(self, pool: str) -> int:
        """Add a request to the end of its pool's line; return its ticket."""
        ticket = next(self.next_ticket)
        self.tickets_by_pool.setdefault(pool, {})[ticket] = None
        return ticket

    def leave(self, pool: str, ticket: int) -> None:
        """Remove a request that waits no more."""
        tickets = self.tickets_by_pool[pool]
        del tickets[ticket]
        if not tickets:
            del self.tickets_by_pool[pool]

    def count_ahead(self, pool: str, ticket: int | None) -> int:
        """Return how many wait before a request, None for a new one."""
        tickets = self.tickets_by_pool.get(pool, {})
        if ticket is None:
            return len(tickets)
        return list(tickets).index(ticket)

    def may_go(self, pool: str, ticket: int | None) -> bool:
        """Return whether it is a request's turn; new ones come last."""
        if ticket is None:
            return not self.tickets_by_pool.get(pool)
        return self.count_ahead(pool, ticket) < FRONT_LENGTH
