"""The backend servers listed in a topic of the store."""

from collections.abc import Callable

from arbutusvale import errors
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import proxying
from arbutusvale.state import event_log
from arbutusvale.state import server_list


class ServerView:
    """Sink that applies records of backend servers to the server list.

    ``on_incarnation_ended`` is called with the id of a server that is gone
    or was restarted, as its caches are lost.  ``on_listed`` is called with
    each entry that is read, and whether it is the first of an incarnation that
    started after the first read of the list; it returns whether other routers
    need the entry though it is otherwise unchanged.
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
        self.on_listed: Callable[[proxying.BackendServer, bool], bool] = (
            _ignore_listed
        )
        self.was_read = False
        self.malformed_count = 0
        self.raw_entries: dict[str, bytes] = {}
        # Entries of leaving servers that the log came back with from an
        # older copy.
        self.stale_entries: dict[str, bytes] = {}

    def replace(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> None:
        """Apply a full read; servers that it lacks are removed."""
        self._apply_all(
            [
                record
                for record in records
                if self.stale_entries.get(record.key) != record.value
            ],
            return_by,
        )
        self.was_read = True
        present = {record.key for record in records if record.value}
        for server_id in self.servers.keep_only(present, return_by):
            self._handle_removal(server_id, return_by is not None)

    def note_older_copy(self, records: list[keyed_log.Record]) -> None:
        """Learn which entries an older copy of the log has kept too long.

        Such an entry of a server that is known to leave is ignored until the
        server writes it anew.
        """
        self.stale_entries.clear()
        for record in records:
            if record.value is None:
                continue
            try:
                server = self.decode(record.key, record.value)
            except errors.RecordError:
                continue
            if (
                server.state is proxying.ServerState.READY
                and self.servers.is_leaving(server)
            ):
                self.stale_entries[record.key] = record.value

    def update(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> list[keyed_log.Record]:
        """Apply records in log order; return those that changed the list."""
        for record in records:
            self.stale_entries.pop(record.key, None)
        return self._apply_all(records, return_by)

    def _apply_all(
        self, records: list[keyed_log.Record], return_by: float | None
    ) -> list[keyed_log.Record]:
        """Apply records; return those that changed the list."""
        changed = [
            record for record in records if self._apply(record, return_by)
        ]
        self.expire()
        return changed

    def _apply(
        self, record: keyed_log.Record, return_by: float | None
    ) -> bool:
        """Apply one record; return whether it changed the server list."""
        if record.value is not None:
            return self._apply_entry(record.key, record.value)
        if not self.servers.remove(record.key, return_by):
            return False
        self._handle_removal(record.key, return_by is not None)
        return True

    def expire(self) -> None:
        """Remove servers whose entries didn't return after an outage."""
        for server_id in self.servers.expire():
            self._handle_removal(server_id, False)

    def _apply_entry(self, server_id: str, data: bytes) -> bool:
        """Apply a valid entry; return whether it changed the list."""
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
        is_new = self.was_read and self.servers.is_new(server)
        changed = self.servers.put(server)
        if (
            changed
            and previous is not None
            and previous.server.started_at_ms != server.started_at_ms
        ):
            self.on_incarnation_ended(server_id)
        became_cold = self.on_listed(server, is_new)
        if not changed:
            return became_cold
        self.events.write(
            'server-listed',
            server=server_id,
            pool=server.pool,
            address=server.address,
            state=server.state.value,
            born=server.started_at_ms,
            version=server.software_version,
        )
        return True

    def _handle_removal(self, server_id: str, pending: bool) -> None:
        """Log a removal and, unless pending, end the incarnation."""
        self.events.write(
            'server-missing' if pending else 'server-gone', server=server_id
        )
        if not pending:
            self.raw_entries.pop(server_id, None)
            self.on_incarnation_ended(server_id)


def _ignore_listed(server: proxying.BackendServer, is_new: bool) -> bool:
    """Return False; the default callback for entries."""
    return False
