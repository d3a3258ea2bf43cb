"""Data centres that operators have evacuated.

Load patterns covered:

- *a data centre is evacuated beside a burst*: its servers take no new request
  from the moment at which a router knows of it;
- *a router starts or loses the store meanwhile*: peers tell it, and the newest
  of what it reads and hears is in force;
- *the store comes back from an older copy*: an evacuation that the copy lacks
  stays until operators have had time to write it again; one that had been
  taken back, and that the copy contains again, is ignored;
- *a data centre is taken back*: its servers may be cold, so the time of that
  is kept.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from arbutusvale.protocol import keyed_log

# Operators write records that an older copy lacks again within this time.
REWRITE_GRACE_S = 2.0
# An older copy of the store is seconds old.
MAX_COPY_AGE_S = 30.0


@dataclasses.dataclass(slots=True)
class Evacuation:
    """An evacuation in force; ``position`` is that of its record.

    ``started_at`` is the monotonic time at which it was first known.
    ``expires_at`` is set while the record is missing: the monotonic time up
    to which it may be written again.
    """

    position: keyed_log.Position
    started_at: float
    expires_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Restoration:
    """An evacuation that has ended, and when, in monotonic seconds."""

    evacuation: Evacuation
    restored_at: float


class Evacuations:
    """The evacuations in force, by data centre, and the last ones that ended.

    ``read_to`` is the end of what this router has read of the log; None
    before its first read.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self.in_force: dict[str, Evacuation] = {}
        self.read_to: keyed_log.Position | None = None
        self.restorations: dict[str, _Restoration] = {}
        # Records, by data centre, of evacuations that had ended and that an
        # older copy of the log contains again.
        self.stale_offsets: dict[str, int] = {}

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the servers of a data centre get no requests."""
        return data_centre in self.in_force

    def list_known(self) -> list[str]:
        """List the data centres that are or were evacuated."""
        return sorted(self.in_force.keys() | self.restorations.keys())

    def restored_at(self, data_centre: str) -> float | None:
        """Return when the last evacuation ended, in monotonic seconds.

        None if there was none, or one is in force.
        """
        restoration = self.restorations.get(data_centre)
        if restoration is None or data_centre in self.in_force:
            return None
        return restoration.restored_at

    def start(self, data_centre: str, position: keyed_log.Position) -> None:
        """Start an evacuation, or confirm it at a newer position."""
        known = self.in_force.get(data_centre)
        if known is None:
            self.in_force[data_centre] = Evacuation(position, self.clock())
        elif position >= known.position:
            known.position = position
            known.expires_at = None

    def end(self, data_centre: str, position: keyed_log.Position) -> None:
        """End an evacuation, unless it is newer than the record of its end."""
        known = self.in_force.get(data_centre)
        if known is not None and known.position <= position:
            del self.in_force[data_centre]
            self.restorations[data_centre] = _Restoration(known, self.clock())

    def start_told(
        self, data_centre: str, position: keyed_log.Position
    ) -> None:
        """Start an evacuation that a peer tells, unless it is outdated.

        What this router has read of the log itself counts up to there.
        """
        if self.read_to is None or position >= self.read_to:
            self.start(data_centre, position)

    def replace(
        self,
        records: Mapping[str, keyed_log.Position],
        read_to: keyed_log.Position,
    ) -> None:
        """Apply a full read of the log: all evacuations, by data centre.

        Those that it lacks end, after a time of grace if the log has become
        an older copy of itself since.  Newer ones, of records behind
        ``read_to``, stay.
        """
        is_new_copy = (
            self.read_to is not None and self.read_to.era < read_to.era
        )
        self.read_to = read_to
        listed = {
            data_centre: position
            for data_centre, position in records.items()
            if self.stale_offsets.get(data_centre) != position.offset
        }
        for data_centre, position in listed.items():
            self.start(data_centre, position)
        for data_centre, evacuation in list(self.in_force.items()):
            if data_centre in listed or evacuation.position >= read_to:
                continue
            if evacuation.expires_at is not None and not is_new_copy:
                continue
            evacuation.expires_at = self.clock()
            if evacuation.position.era < read_to.era:
                evacuation.expires_at += REWRITE_GRACE_S
        self.expire()

    def note_older_copy(
        self, records: Mapping[str, keyed_log.Position]
    ) -> None:
        """Learn the evacuations in a log that is an older copy of itself.

        The record of one that had ended is ignored from now on.
        """
        self.stale_offsets = {
            data_centre: position.offset
            for data_centre, position in records.items()
            if data_centre not in self.in_force
            and self._is_stale(data_centre, position.offset)
        }

    def _is_stale(self, data_centre: str, offset: int) -> bool:
        """Return whether a record at an offset is that of the last evacuation.

        A young one may be lost, and its offset that of a new record.
        """
        restoration = self.restorations.get(data_centre)
        if restoration is None:
            return False
        ended = restoration.evacuation
        return (
            ended.position.offset == offset
            and self.clock() - ended.started_at > MAX_COPY_AGE_S
        )

    def expire(self) -> None:
        """End those whose records are still missing after their time."""
        now = self.clock()
        for data_centre, evacuation in list(self.in_force.items()):
            expires_at = evacuation.expires_at
            if expires_at is not None and expires_at <= now:
                self.end(data_centre, evacuation.position)
