"""Several sinks that follow the same topic."""

from collections.abc import Sequence

from arbutusvale.coordination import log_follower
from arbutusvale.protocol import keyed_log


class SinkGroup:
    """Sink that passes all records to each of several sinks.

    Each ignores the records whose keys are not its own.
    """

    def __init__(self, sinks: Sequence[log_follower.Sink]):
        self.sinks = sinks

    def replace(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> None:
        """Apply a full read."""
        for sink in self.sinks:
            sink.replace(records, return_by)

    def update(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> list[keyed_log.Record]:
        """Apply records in log order; return those that changed a sink."""
        return [
            record
            for sink in self.sinks
            for record in sink.update(records, return_by)
        ]

    def note_older_copy(self, records: list[keyed_log.Record]) -> None:
        """Learn that the next full read may lack what was known before."""
        for sink in self.sinks:
            sink.note_older_copy(records)
