"""The configuration in force, from the store or from peers."""

from collections.abc import Callable
import dataclasses
import time

from arbutusvale import errors
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import routing
from arbutusvale.state import event_log
from arbutusvale.state import route_table


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigSource:
    """The key of the configuration's record and its decoder."""

    key: str
    decode: Callable[[bytes], routing.Configuration]


class ConfigView:
    """Sink that applies valid configurations of a higher version.

    ``route_table`` is None before the first; ``raw`` is the encoded record.
    """

    def __init__(
        self,
        source: ConfigSource,
        events: event_log.EventLog,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.source = source
        self.events = events
        self.clock = clock
        self.route_table: route_table.RouteTable | None = None
        self.raw = b''

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        if self.route_table is None:
            return 0
        return self.route_table.configuration.version

    def replace(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> None:
        """Apply a full read of the topic."""
        self.update(records, return_by)

    def note_older_copy(self, records: list[keyed_log.Record]) -> None:
        """Do nothing: only a higher version is ever applied."""

    def update(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> list[keyed_log.Record]:
        """Apply the last valid configuration among the records."""
        before = self.version
        for record in reversed(records):
            if record.key == self.source.key and record.value:
                if self.apply(record.value, 'store'):
                    return [record] if self.version > before else []
        return []

    def apply(self, data: bytes, origin: str) -> bool:
        """Apply a configuration if it is newer; return whether it is valid.

        ``origin`` is logged: the store or a peer.
        """
        try:
            configuration = self.source.decode(data)
        except errors.RecordError as error:
            self.events.write(
                'config-malformed',
                field=error.field,
                remedy=error.remedy,
                version=self.version,
                origin=origin,
            )
            return False
        if configuration.version <= self.version:
            return True
        self.events.write(
            'config-applied',
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
            origin=origin,
        )
        self.route_table = route_table.RouteTable(configuration, self.clock())
        self.raw = data
        return True
