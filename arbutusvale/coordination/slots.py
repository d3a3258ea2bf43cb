"""Share a server's slots and a short queue among organisations."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

INITIAL_SERVICE_TIME_S = 1.0
MIN_SERVICE_TIME_S = 0.001
SERVICE_TIME_SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Report that the request may run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Displaced:
    """Report that a request of a quieter organisation took the place."""

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """Report that the caller's deadline passed in the queue."""


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """Report that the caller gave up or the server is closing."""


Outcome = Granted | Displaced | Expired | Withdrawn


@dataclasses.dataclass(eq=False)
class Ticket:
    """Stand for one admitted request, waiting or running.

    ``weight`` is the organisation's fair share, ``deadline`` a clock time.
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
        """Tell the waiting task what became of the ticket."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class SlotScheduler:
    """Count the outstanding requests of one server.

    At most ``slots`` run; at most ``queue`` wait, by priority, then by
    start-time fair queueing among organisations, then by deadline.  When
    the queue is full, an organisation below its share displaces one above.
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
        """Set the numbers that may run and wait."""
        self.slots = slots
        self.queue = queue
        self._grant_free_slots()

    @property
    def load(self) -> int:
        """Number of outstanding requests."""
        return len(self.running) + len(self.waiting)

    @property
    def retry_after(self) -> float:
        """Seconds after which a place in the queue should be free."""
        turns = (len(self.waiting) + 1) / max(1, self.slots)
        return min(
            MAX_RETRY_AFTER_S,
            max(MIN_RETRY_AFTER_S, turns * self.mean_service_time_s),
        )

    @property
    def mean_service_time_s(self) -> float:
        """Seconds for which a request holds its slot, on average."""
        return self.observed_service_time_s or INITIAL_SERVICE_TIME_S

    def has_capacity(self) -> bool:
        """Tell whether one more request finds a slot or queue place."""
        return self.load < self.slots + self.queue

    def try_enqueue(self, ticket: Ticket) -> bool:
        """Take a ticket in; False when there is no room for it."""
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
        """Release a ticket, whether it ran or only waited."""
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
        """Wait until the ticket is granted or lost."""
        time_left = ticket.deadline - self.clock()
        done, _ = await asyncio.wait([ticket.outcome], timeout=time_left)
        if not done:
            ticket.resolve(Expired())
            self.release(ticket)
        return ticket.outcome.result()

    def _record_service_time(self, service_time_s: float) -> None:
        """Take one request's time into the moving average."""
        if self.observed_service_time_s:
            service_time_s = (
                self.observed_service_time_s
                + SERVICE_TIME_SMOOTHING
                * (service_time_s - self.observed_service_time_s)
            )
        self.observed_service_time_s = max(MIN_SERVICE_TIME_S, service_time_s)

    def _grant_free_slots(self) -> None:
        """Let waiting tickets run while slots are free."""
        while self.waiting and len(self.running) < self.slots:
            ticket = min(self.waiting, key=self._queue_key)
            self.waiting.remove(ticket)
            self.running.append(ticket)
            ticket.granted_at = self.clock()
            self._charge(ticket)
            ticket.resolve(Granted())

    def _queue_key(self, ticket: Ticket) -> tuple[int, float, float]:
        """Order waiting tickets; the lowest runs first."""
        return -ticket.priority, self._start_tag(ticket), ticket.deadline

    def _start_tag(self, ticket: Ticket) -> float:
        """Return the virtual time at which the organisation's turn is."""
        finish = self.finish_tags.get(ticket.organisation, 0.0)
        return max(self.virtual_time, finish)

    def _charge(self, ticket: Ticket) -> None:
        """Charge a granted slot to its organisation."""
        start = self._start_tag(ticket)
        self.virtual_time = start
        self.finish_tags[ticket.organisation] = start + 1.0 / ticket.weight
        self.finish_tags = {
            organisation: tag
            for organisation, tag in self.finish_tags.items()
            if tag > start
        }

    def _find_victim(self, new_ticket: Ticket) -> Ticket | None:
        """Find the waiting ticket that should yield to ``new_ticket``."""
        victim = None
        highest_share = self._share(new_ticket, is_new=True)
        for ticket in sorted(self.waiting, key=self._displacement_key):
            share = self._share(ticket)
            if share > highest_share:
                victim = ticket
                highest_share = share
        return victim

    def _share(self, ticket: Ticket, is_new: bool = False) -> float:
        """Return an organisation's outstanding requests per weight."""
        outstanding = self._count(self.running, ticket.organisation)
        outstanding += self._count(self.waiting, ticket.organisation)
        return (outstanding + is_new) / ticket.weight

    @staticmethod
    def _displacement_key(ticket: Ticket) -> tuple[int, float]:
        """Order tickets of one organisation; the first yields first."""
        return ticket.priority, -ticket.deadline

    @staticmethod
    def _count(tickets: list[Ticket], organisation: str) -> int:
        """Count the tickets of one organisation."""
        return sum(t.organisation == organisation for t in tickets)
