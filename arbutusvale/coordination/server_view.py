"""Take over the entries of backend servers from their topic."""

from collections.abc import Callable

from arbutusvale import errors
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import proxying
from arbutusvale.state import event_log
from arbutusvale.state import server_list


class ServerView:
    """Keep the server list by the records of a topic.

    ``on_gone`` is called with the id of a server that is gone or started
    again, as nothing that it remembered holds.
    """

    def __init__(
        self,
        servers: server_list.ServerList,
        decode: Callable[[str, bytes], proxying.BackendServer],
        events: event_log.EventLog,
        on_incarnation_ended: Callable[[str], None],
    ):
        self.servers = servers
        self.decode = decode
        self.events = events
        self.on_incarnation_ended = on_incarnation_ended
        self.malformed_count = 0
        self.raw_entries: dict[str, bytes] = {}

    def replace(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> None:
        """Take over all newest records; what isn't among them is gone."""
        self.update(records, return_by)
        present = {record.key for record in records if record.value}
        for server_id in self.servers.keep_only(present, return_by):
            self._handle_removal(server_id, return_by is not None)

    def update(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> list[keyed_log.Record]:
        """Take over records in their order; return those that changed."""
        changed = [
            record for record in records if self._apply(record, return_by)
        ]
        self.expire()
        return changed

    def _apply(
        self, record: keyed_log.Record, return_by: float | None
    ) -> bool:
        """Take over one record; tell whether it changed what is known."""
        if record.value is not None:
            return self._apply_entry(record.key, record.value)
        if not self.servers.remove(record.key, return_by):
            return False
        self._handle_removal(record.key, return_by is not None)
        return True

    def expire(self) -> None:
        """Drop servers that didn't return after an outage."""
        for server_id in self.servers.expire():
            self._handle_removal(server_id, False)

    def _apply_entry(self, server_id: str, data: bytes) -> bool:
        """Take one entry over unless it is malformed or brings no change."""
        try:
            server = self.decode(server_id, data)
        except errors.RecordError as error:
            self.malformed_count += 1
            self.events.write(
                'server-malformed',
                server=server_id,
                field=error.field,
                remedy=error.remedy,
            )
            return False
        self.raw_entries[server_id] = data
        previous = self.servers.by_id.get(server_id)
        if not self.servers.put(server):
            return False
        if (
            previous is not None
            and previous.server.started_at_ms != server.started_at_ms
        ):
            self.on_incarnation_ended(server_id)
        self.events.write(
            'server-listed',
            server=server_id,
            pool=server.pool,
            address=server.address,
            state=server.state.value,
            born=server.started_at_ms,
        )
        return True

    def _handle_removal(self, server_id: str, pending: bool) -> None:
        """Log a removal and forget what the server remembered."""
        self.events.write(
            'server-missing' if pending else 'server-gone', server=server_id
        )
        if not pending:
            self.raw_entries.pop(server_id, None)
            self.on_incarnation_ended(server_id)
