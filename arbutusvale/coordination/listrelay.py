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

from arbutusvale.coordination import logfollower
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import list_update
from arbutusvale.state import event_log
from arbutusvale.state import rendezvous
from arbutusvale.state import server_list

# One may be lost and another cut off, and news still come in time.
READERS = 3
# Fewer routers than this all read: their calls cost little.
LEAST_ROUTERS = 8
# Beyond the time between two reads of a reader, news may be this much late.
COVER_MARGIN_S = 0.5
# Each router still reads all entries so often, whatever it was told.
SELF_READ_S = 30.0
# News repeat what was told with this many reads before: datagrams get lost.
REPEATED_READS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    """Hold what one read brought."""

    since: int
    until: int
    changed: tuple[keyed_log.Record, ...]


class ListRelay:
    """Tell peers what this router read, or rest on what they tell.

    ``list_live`` returns the IP numbers of live peers, without this router.
    """

    def __init__(
        self,
        host: str,
        follower: logfollower.LogFollower,
        list_live: Callable[[], list[str]],
        events: event_log.EventLog,
        clock: Callable[[], float],
    ):
        self.host = host
        self.follower = follower
        self.list_live = list_live
        self.events = events
        self.clock = clock
        self.send: Callable[[str, bytes], None] = _send_nowhere
        self.reads: collections.deque[_Read] = collections.deque(
            maxlen=REPEATED_READS
        )
        self.covered_at = logfollower.NEVER
        self.read_at = logfollower.NEVER
        self.reading = True

    def rest_s(self) -> float:
        """Return for how long no call is needed; 0 when one is due."""
        reading = self._is_reader()
        if reading != self.reading:
            self.reading = reading
            self.events.write(
                'list-reader' if reading else 'list-listener',
                topic=self.follower.topic,
                peers=len(self.list_live()),
            )
        contact = self.follower.contact
        if reading or contact.lost_at is not None:
            return 0.0
        now = self.clock()
        # What lapsed in an outage returns by records that change nothing
        # for a reader that read the list later.
        settled_at = contact.regained_at + server_list.RECOVERY_GRACE_S + 1.0
        if now < settled_at:
            return 0.0
        if now >= self.read_at + SELF_READ_S:
            self.follower.catching_up = True
            return 0.0
        return self.covered_at + self.cover_s - now

    @property
    def cover_s(self) -> float:
        """Return for how long news of a reader hold."""
        cycle_s = max(self.follower.settle_s, logfollower.POLL_S)
        return cycle_s + COVER_MARGIN_S

    def count_readers(self) -> int:
        """Return how many routers read the topic."""
        routers = len(self.list_live()) + 1
        return routers if routers < LEAST_ROUTERS else READERS

    def note_read(
        self, since: int | None, until: int, changed: list[keyed_log.Record]
    ) -> None:
        """Take over how far this router read; a reader tells the others.

        ``since`` is None when all entries were read anew.
        """
        now = self.clock()
        self.covered_at = now
        if since is None:
            self.read_at = now
            self.reads.clear()
            since = until
        if self.reads and self.reads[-1].until != since:
            self.reads.clear()
        self.reads.append(_Read(since, until, tuple(changed)))
        if self._is_reader():
            self._tell()

    def take(self, news: list_update.ListUpdate) -> None:
        """Take over what a reader told."""
        if news.topic != self.follower.topic:
            return
        if self.follower.take_over(news):
            self.covered_at = max(self.covered_at, self.clock() - news.age_s)

    def _is_reader(self) -> bool:
        """Tell whether this router reads for others, or all do."""
        live = self.list_live()
        if len(live) + 1 < LEAST_ROUTERS:
            return True
        ranking = rendezvous.Ranking([self.host, *live], vectorise=False)
        return self.host in ranking.rank(self.follower.topic, READERS)

    def _tell(self) -> None:
        """Send what changed in the last reads to all live peers."""
        live = self.list_live()
        if len(live) + 1 < LEAST_ROUTERS:
            return
        news = list_update.ListUpdate(
            host=self.host,
            topic=self.follower.topic,
            start_offset=self.reads[0].since,
            end_offset=self.reads[-1].until,
            age_s=0.0,
            records=tuple(one for read in self.reads for one in read.changed),
        )
        for message in list_update.split(news):
            data = list_update.encode(message)
            for host in live:
                self.send(host, data)


def _send_nowhere(host: str, data: bytes) -> None:
    """Stand in for the transport until it is open."""
