"""Let a few routers read a topic of the store for all.

Each change of a server's entry ends the waiting read of each router, so
that calls grow with changes times routers.  Of many routers three read,
each anew after a second at most; they tell the others which records changed
what they know, and how far they read.  A router that hears nothing for a
little longer reads by itself, so that a change is known in time even if all
readers are lost at once.

Load pattern answered: dozens of routers while many servers join and leave,
or renew entries that stay the same.
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

# One may be lost and another cut off, and news still come in time.
READERS = 3
# Fewer routers than this all read: their calls cost little.
MIN_ROUTERS = 8
# Beyond the time between two reads of a reader, news may be this much late.
VALIDITY_MARGIN_S = 0.5
# Each router still reads all entries so often, whatever it was told.
FULL_READ_INTERVAL_S = 30.0
# News repeat what was told with this many reads before: datagrams get lost.
REPEATED_READS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadResult:
    """Hold what one read brought."""

    since: int
    until: int
    changed: tuple[keyed_log.Record, ...]


class TopicRelay:
    """Tell peers what this router read, or rest on what they tell.

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
        """Return for how long no call is needed; 0 when one is due."""
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
        # What lapsed in an outage returns by records that change nothing
        # for a reader that read the list later.
        stable_at = contact.regained_at + server_list.RECOVERY_GRACE_S + 1.0
        if now < stable_at:
            return 0.0
        if now >= self.full_read_at + FULL_READ_INTERVAL_S:
            self.follower.full_read_due = True
            return 0.0
        return self.confirmed_at + self.validity_s - now

    @property
    def validity_s(self) -> float:
        """Return for how long news of a reader hold."""
        read_interval_s = max(
            self.follower.batch_delay_s, log_follower.POLL_WAIT_S
        )
        return read_interval_s + VALIDITY_MARGIN_S

    def count_readers(self) -> int:
        """Return how many routers read the topic."""
        routers = len(self.list_live()) + 1
        return routers if routers < MIN_ROUTERS else READERS

    def record_read(
        self, since: int | None, until: int, changed: list[keyed_log.Record]
    ) -> None:
        """Take over how far this router read; a reader tells the others.

        ``since`` is None when all entries were read anew.
        """
        now = self.clock()
        self.confirmed_at = now
        if since is None:
            self.full_read_at = now
            self.recent_reads.clear()
            since = until
        if self.recent_reads and self.recent_reads[-1].until != since:
            self.recent_reads.clear()
        self.recent_reads.append(_ReadResult(since, until, tuple(changed)))
        if self._is_reader():
            self._broadcast()

    def receive(self, relayed: list_update.ListUpdate) -> None:
        """Take over what a reader told."""
        if relayed.topic != self.follower.topic:
            return
        if self.follower.apply_relayed(relayed):
            self.confirmed_at = max(
                self.confirmed_at, self.clock() - relayed.age_s
            )

    def _is_reader(self) -> bool:
        """Tell whether this router reads for others, or all do."""
        live_hosts = self.list_live()
        if len(live_hosts) + 1 < MIN_ROUTERS:
            return True
        ranking = rendezvous.Ranking([self.host, *live_hosts], vectorise=False)
        return self.host in ranking.rank(self.follower.topic, READERS)

    def _broadcast(self) -> None:
        """Send what changed in the last reads to all live peers."""
        live_hosts = self.list_live()
        if len(live_hosts) + 1 < MIN_ROUTERS:
            return
        relayed = list_update.ListUpdate(
            host=self.host,
            topic=self.follower.topic,
            start_offset=self.recent_reads[0].since,
            end_offset=self.recent_reads[-1].until,
            age_s=0.0,
            records=tuple(
                record for read in self.recent_reads for record in read.changed
            ),
        )
        for message in list_update.split(relayed):
            data = list_update.encode(message)
            for host in live_hosts:
                self.send(host, data)


def _discard(host: str, data: bytes) -> None:
    """Stand in for the transport until it is open."""
