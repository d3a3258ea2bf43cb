"""Fair queueing of organisations for the slots of one backend server."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

# Assumed until the first request has ended.
INITIAL_SERVICE_TIME_S = 1.0
MIN_SERVICE_TIME_S = 0.001
# Weight of the newest service time in the exponential moving average.
SERVICE_TIME_SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Outcome of a ticket that got a slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Displaced:
    """Outcome of a ticket that was displaced from the full queue.

    The new request's organisation had fewer requests for its weight.
    ``retry_after`` is in seconds.
    """

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """Outcome of a ticket whose deadline passed in the queue."""


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """Outcome when the caller gave up or the server is closing."""


Outcome = Granted | Displaced | Expired | Withdrawn


@dataclasses.dataclass(eq=False)
class Ticket:
    """An admitted request, queued or running.

    ``weight`` sets the organisation's fair share; ``deadline`` and
    ``granted_at`` are times of the scheduler's clock.  ``outcome`` resolves
    to an ``Outcome`` once.
    """

    organisation: str
    weight: float
    priority: int
    deadline: float
    outcome: asyncio.Future = dataclasses.field(init=False)
    granted_at: float = 0.0

    def __post_init__(self):
        self.outcome = asyncio.get_running_loop().create_future()

    def resolve(self, outcome: Outcome) -> None:
        """Set the outcome unless it is already set."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class SlotScheduler:
    """Scheduler of one server's slots with a bounded queue.

    At most ``slots`` requests run and at most ``queue`` wait.  The queue is
    ordered by priority, then by start-time fair queueing among
    organisations, then by deadline.  When it is full, a request displaces
    one of an organisation that has more requests for its weight.

    ``on_change`` is called with the load after each change.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        on_change: Callable[[int], None] = lambda load: None,
    ):
        self.clock = clock
        self.on_change = on_change
        self.slots = 0
        self.queue = 0
        self.running: list[Ticket] = []
        self.waiting: list[Ticket] = []
        self.observed_service_time_s = 0.0
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}

    def configure(self, slots: int, queue: int) -> None:
        """Set how many requests may run and how many may wait."""
        self.slots = slots
        self.queue = queue
        self._grant_free_slots()

    @property
    def load(self) -> int:
        """Number of requests that run or wait."""
        return len(self.running) + len(self.waiting)

    @property
    def retry_after(self) -> float:
        """Seconds until the queue should have room, for a refusal."""
        turns = (len(self.waiting) + 1) / max(1, self.slots)
        return min(
            MAX_RETRY_AFTER_S,
            max(MIN_RETRY_AFTER_S, turns * self.mean_service_time_s),
        )

    @property
    def mean_service_time_s(self) -> float:
        """Average time in seconds for which a request occupies its slot."""
        return self.observed_service_time_s or INITIAL_SERVICE_TIME_S

    def has_capacity(self) -> bool:
        """Return whether a slot is free or the queue has room."""
        return self.load < self.slots + self.queue

    def try_enqueue(self, ticket: Ticket) -> bool:
        """Queue a ticket; return False when there is no room for it.

        When the queue is full, the ticket may displace another one.
        """
        if not self.has_capacity():
            victim = self._find_victim(ticket)
            if victim is None:
                return False
            self.waiting.remove(victim)
            victim.resolve(Displaced(self.retry_after))
        self.waiting.append(ticket)
        self._grant_free_slots()
        self.on_change(self.load)
        return True

    def release(self, ticket: Ticket) -> None:
        """Free the slot or the queue entry of a ticket.

        A ticket that has neither is ignored.
        """
        if ticket in self.running:
            self.running.remove(ticket)
            self._record_service_time(self.clock() - ticket.granted_at)
        elif ticket in self.waiting:
            self.waiting.remove(ticket)
            ticket.resolve(Withdrawn())
        else:
            return
        self._grant_free_slots()
        self.on_change(self.load)

    async def wait(self, ticket: Ticket) -> Outcome:
        """Wait for the ticket's outcome, at most until its deadline."""
        time_left = ticket.deadline - self.clock()
        done, _ = await asyncio.wait([ticket.outcome], timeout=time_left)
        if not done:
            ticket.resolve(Expired())
            self.release(ticket)
        return ticket.outcome.result()

    def _record_service_time(self, service_time_s: float) -> None:
        """Update the moving average with the time of one request."""
        if self.observed_service_time_s:
            service_time_s = (
                self.observed_service_time_s
                + SERVICE_TIME_SMOOTHING
                * (service_time_s - self.observed_service_time_s)
            )
        self.observed_service_time_s = max(MIN_SERVICE_TIME_S, service_time_s)

    def _grant_free_slots(self) -> None:
        """Give free slots to queued tickets, in the order of the queue."""
        while self.waiting and len(self.running) < self.slots:
            ticket = min(self.waiting, key=self._queue_key)
            self.waiting.remove(ticket)
            self.running.append(ticket)
            ticket.granted_at = self.clock()
            self._charge(ticket)
            ticket.resolve(Granted())

    def _queue_key(self, ticket: Ticket) -> tuple[int, float, float]:
        """Return the sort key of the queue; the lowest runs first."""
        return -ticket.priority, self._start_tag(ticket), ticket.deadline

    def _start_tag(self, ticket: Ticket) -> float:
        """Return the virtual start time of the organisation's next request."""
        finish = self.finish_tags.get(ticket.organisation, 0.0)
        return max(self.virtual_time, finish)

    def _charge(self, ticket: Ticket) -> None:
        """Advance the virtual time and the finish tag for a granted slot.

        Finish tags that lie in the virtual past no longer count and are
        dropped.
        """
        start = self._start_tag(ticket)
        self.virtual_time = start
        self.finish_tags[ticket.organisation] = start + 1.0 / ticket.weight
        self.finish_tags = {
            organisation: tag
            for organisation, tag in self.finish_tags.items()
            if tag > start
        }

    def _find_victim(self, new_ticket: Ticket) -> Ticket | None:
        """Return the queued ticket that ``new_ticket`` may displace.

        It belongs to the organisation with the most requests per weight;
        None if no organisation has more than that of ``new_ticket``.
        """
        victim = None
        highest_share = self._share(new_ticket, is_new=True)
        for ticket in sorted(self.waiting, key=self._displacement_key):
            share = self._share(ticket)
            if share > highest_share:
                victim = ticket
                highest_share = share
        return victim

    def _share(self, ticket: Ticket, is_new: bool = False) -> float:
        """Return the organisation's running and queued requests per weight."""
        outstanding = self._count(self.running, ticket.organisation)
        outstanding += self._count(self.waiting, ticket.organisation)
        return (outstanding + is_new) / ticket.weight

    @staticmethod
    def _displacement_key(ticket: Ticket) -> tuple[int, float]:
        """Return the sort key for displacement within one organisation.

        The lowest priority goes first, then the latest deadline.
        """
        return ticket.priority, -ticket.deadline

    @staticmethod
    def _count(tickets: list[Ticket], organisation: str) -> int:
        """Count the tickets of one organisation."""
        return sum(t.organisation == organisation for t in tickets)
