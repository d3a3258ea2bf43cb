"""The evacuations of data centres, from the store or from peers."""

from collections.abc import Callable

from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import numeric
from arbutusvale.protocol import peer_message
from arbutusvale.state import evacuations
from arbutusvale.state import event_log

# As a datagram is short; a snapshot contains all.
MAX_TOLD = 4


def parse_snapshot(
    document: dict[str, list[int]],
) -> dict[str, keyed_log.Position]:
    """Parse a snapshot; raise ValueError, TypeError or AttributeError."""
    return {
        str(name): keyed_log.Position(
            numeric.check_whole(era), numeric.check_whole(offset)
        )
        for name, (era, offset) in document.items()
    }


class EvacuationView:
    """Sink that applies records of evacuated data centres.

    ``decode_key`` returns the data centre of a record's key, None for keys of
    other records; ``page_end`` returns the end of the page that is applied.
    """

    def __init__(
        self,
        state: evacuations.Evacuations,
        decode_key: Callable[[str], str | None],
        page_end: Callable[[], keyed_log.Position],
        events: event_log.EventLog,
    ):
        self.state = state
        self.decode_key = decode_key
        self.page_end = page_end
        self.events = events

    def replace(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> None:
        """Apply a full read; evacuations that it lacks end."""
        before = set(self.state.in_force)
        self.state.replace(self._read_positions(records), self.page_end())
        self._log_changes(before, 'store')

    def update(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> list[keyed_log.Record]:
        """Apply records in log order; return those of evacuations."""
        before = set(self.state.in_force)
        page_end = self.page_end()
        applied = []
        for record in records:
            data_centre = self.decode_key(record.key)
            if data_centre is None:
                continue
            applied.append(record)
            self.state.stale_offsets.pop(data_centre, None)
            position = keyed_log.Position(page_end.era, record.offset)
            if record.value is None:
                self.state.end(data_centre, position)
            else:
                self.state.start(data_centre, position)
        self.state.read_to = page_end
        if not records:
            # The end of the log, so nothing was written again until now.
            self.state.expire()
        self._log_changes(before, 'store')
        return applied

    def note_older_copy(self, records: list[keyed_log.Record]) -> None:
        """Learn which evacuations an older copy of the log contains."""
        self.state.note_older_copy(self._read_positions(records))

    def list_told(self) -> tuple[peer_message.EvacuatedDataCentre, ...]:
        """List the evacuations to tell peers."""
        return tuple(
            peer_message.EvacuatedDataCentre(
                name, evacuation.position.era, evacuation.position.offset
            )
            for name, evacuation in self.state.in_force.items()
        )[:MAX_TOLD]

    def apply_told(
        self, told: tuple[peer_message.EvacuatedDataCentre, ...]
    ) -> None:
        """Apply the evacuations that a peer tells."""
        before = set(self.state.in_force)
        for data_centre in told:
            self.state.start_told(
                data_centre.name,
                keyed_log.Position(data_centre.era, data_centre.offset),
            )
        self._log_changes(before, 'peer')

    def render_snapshot(self) -> dict[str, list[int]]:
        """Return era and offset of all evacuations, by data centre."""
        return {
            name: [evacuation.position.era, evacuation.position.offset]
            for name, evacuation in self.state.in_force.items()
        }

    def apply_snapshot(
        self,
        positions: dict[str, keyed_log.Position],
        read_to: keyed_log.Position,
    ) -> None:
        """Apply a peer's snapshot, which ends at ``read_to``."""
        before = set(self.state.in_force)
        own = self.state.read_to
        if own is not None and own.era != read_to.era:
            self.state.note_older_copy(positions)
        self.state.replace(positions, read_to)
        self._log_changes(before, 'peer')

    def _read_positions(
        self, records: list[keyed_log.Record]
    ) -> dict[str, keyed_log.Position]:
        """Return the positions of the evacuations in a full read."""
        era = self.page_end().era
        return {
            data_centre: keyed_log.Position(era, record.offset)
            for record in records
            if record.value is not None
            and (data_centre := self.decode_key(record.key)) is not None
        }

    def _log_changes(self, before: set[str], origin: str) -> None:
        """Log the evacuations that have started or ended since ``before``."""
        for name in sorted(self.state.in_force.keys() - before):
            position = self.state.in_force[name].position
            self.events.write(
                'data-centre-evacuated',
                data_centre=name,
                era=position.era,
                offset=position.offset,
                origin=origin,
            )
        for name in sorted(before - self.state.in_force.keys()):
            self.events.write(
                'data-centre-restored', data_centre=name, origin=origin
            )
