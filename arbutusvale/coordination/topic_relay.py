"""Fan out changes of a store topic from a few designated readers.

Each change of a server's entry completes the long poll of every router that
reads the topic, so that calls to the store grow with changes times routers.
In a large fleet three routers poll, each at least once a second, and relay
the records that changed their view, and the offset read, to the others, the
listeners.  A listener that receives nothing for slightly longer polls the
store itself, so that changes arrive in time even if all readers fail at once.

Meant for dozens of routers while many servers join and leave, or renew
entries that stay the same.
"""

import collections
from collections.abc import Callable
import dataclasses

from arbutusvale.coordination import log_follower
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import list_update
from arbutusvale.state import event_log
from arbutusvale.state import rendezvous
from arbutusvale.state import server_list

# With one reader dead and one cut off from the store, a third remains.
READERS = 3
# In a fleet smaller than this all routers poll: their calls cost little.
MIN_ROUTERS = 8
# How late a reader's message may be before a listener polls the store.
VALIDITY_MARGIN_S = 0.5
# Each listener still reads all entries this often, in case relaying failed.
FULL_READ_INTERVAL_S = 30.0
# A message carries the changes of this many reads, as datagrams get lost.
REPEATED_READS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadResult:
    """The offsets that one read covered and the records that changed."""

    start_offset: int
    end_offset: int
    changed: tuple[keyed_log.Record, ...]
    era: int | None


class TopicRelay:
    """Relay of one topic's changes between routers.

    ``list_live`` returns the IP numbers of live peers, without this router.
    """

    def __init__(
        self,
        host: str,
        follower: log_follower.LogFollower,
        list_live: Callable[[], list[str]],
        events: event_log.EventLog,
        clock: Callable[[], float],
    ):
        self.host = host
        self.follower = follower
        self.list_live = list_live
        self.events = events
        self.clock = clock
        self.send: Callable[[str, bytes], None] = _discard
        self.recent_reads: collections.deque[_ReadResult] = collections.deque(
            maxlen=REPEATED_READS
        )
        self.confirmed_at = log_follower.NEVER
        self.full_read_at = log_follower.NEVER
        self.acts_as_reader = True

    def poll_delay_s(self) -> float:
        """Return the time until the next poll in s; not positive if due."""
        is_reader = self._is_reader()
        if is_reader != self.acts_as_reader:
            self.acts_as_reader = is_reader
            self.events.write(
                'list-reader' if is_reader else 'list-listener',
                topic=self.follower.topic,
                peers=len(self.list_live()),
            )
        contact = self.follower.contact
        if is_reader or contact.lost_at is not None:
            return 0.0
        now = self.clock()
        # Entries that expired in an outage are written again.  A reader that
        # did its full read after that sees no change, so it relays none.
        stable_at = contact.regained_at + server_list.RECOVERY_GRACE_S + 1.0
        if now < stable_at:
            return 0.0
        if now >= self.full_read_at + FULL_READ_INTERVAL_S:
            self.follower.full_read_due = True
            return 0.0
        return self.confirmed_at + self.validity_s - now

    @property
    def validity_s(self) -> float:
        """Return for how long a confirmed offset counts as current, in s."""
        read_interval_s = max(
            self.follower.batch_delay_s, log_follower.POLL_WAIT_S
        )
        return read_interval_s + VALIDITY_MARGIN_S

    def count_readers(self) -> int:
        """Return how many routers poll the store for the topic."""
        routers = len(self.list_live()) + 1
        return routers if routers < MIN_ROUTERS else READERS

    def record_read(
        self,
        start_offset: int | None,
        end_offset: int,
        changed: list[keyed_log.Record],
    ) -> None:
        """Record a read of this router; a reader relays its changes.

        ``start_offset`` is None for a full read.
        """
        now = self.clock()
        self.confirmed_at = now
        if start_offset is None:
            self.full_read_at = now
            self.recent_reads.clear()
            start_offset = end_offset
        if (
            self.recent_reads
            and self.recent_reads[-1].end_offset != start_offset
        ) or (
            self.recent_reads
            and self.recent_reads[-1].era != self.follower.era
        ):
            self.recent_reads.clear()
        self.recent_reads.append(
            _ReadResult(
                start_offset, end_offset, tuple(changed), self.follower.era
            )
        )
        if self._is_reader():
            self._broadcast()

    def receive(self, relayed: list_update.ListUpdate) -> None:
        """Apply changes that a reader relayed."""
        if relayed.topic != self.follower.topic:
            return
        if self.follower.apply_relayed(relayed):
            self.confirmed_at = max(
                self.confirmed_at, self.clock() - relayed.age_s
            )

    def _is_reader(self) -> bool:
        """Return whether this router polls: as designated or as all do."""
        live_hosts = self.list_live()
        if len(live_hosts) + 1 < MIN_ROUTERS:
            return True
        ranking = rendezvous.Ranking([self.host, *live_hosts], vectorise=False)
        return self.host in ranking.rank(self.follower.topic, READERS)

    def _broadcast(self) -> None:
        """Send the changes of the latest reads to all live peers."""
        live_hosts = self.list_live()
        if len(live_hosts) + 1 < MIN_ROUTERS:
            return
        relayed = list_update.ListUpdate(
            host=self.host,
            topic=self.follower.topic,
            start_offset=self.recent_reads[0].start_offset,
            end_offset=self.recent_reads[-1].end_offset,
            age_s=0.0,
            records=tuple(
                record for read in self.recent_reads for record in read.changed
            ),
            era=self.follower.era,
        )
        for message in list_update.split(relayed):
            data = list_update.encode(message)
            for host in live_hosts:
                self.send(host, data)


def _discard(host: str, data: bytes) -> None:
    """Drop a datagram while no socket is open."""
