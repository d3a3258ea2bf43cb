"""Snapshots of configuration and server list, exchanged between peers.

A router that starts during an outage of the store would have no state, and
one whose calls the store refuses would fall behind; any live peer has the
state of the store's last answer.  The offsets in the store's log show which
snapshot is newer.
"""

import asyncio
import base64
import binascii
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json

from arbutusvale import errors
from arbutusvale.coordination import config_view
from arbutusvale.coordination import evacuation_view
from arbutusvale.coordination import log_follower
from arbutusvale.coordination import server_view
from arbutusvale.protocol import keyed_log
from arbutusvale.protocol import numeric
from arbutusvale.state import event_log
from arbutusvale.state import prompt_cache_index

SNAPSHOT_PATH = '/snapshot'
# Peers answer in a few milliseconds; polls of the store continue meanwhile.
POLL_INTERVAL_S = 0.3
# Peers are discovered within a second of a start.
CACHE_FETCH_TIMEOUT_S = 3.0

# Takes a host and a path; returns the page or raises ServerFailed.
Fetch = Callable[[str, str], Awaitable[bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class LocalState:
    """The state of a router that a snapshot contains."""

    config: config_view.ConfigView
    servers: server_view.ServerView
    config_follower: log_follower.LogFollower
    server_follower: log_follower.LogFollower
    prompts: prompt_cache_index.PromptCacheIndex
    evacuations: evacuation_view.EvacuationView


class SnapshotExchange:
    """Server of this router's snapshot and client of its peers'."""

    def __init__(self, state: LocalState, events: event_log.EventLog):
        self.state = state
        self.events = events

    def render_snapshot(self) -> tuple[int, str]:
        """Return 200 and a snapshot as JSON, or 503 before the first reads."""
        config_offset = self.state.config_follower.offset
        server_offset = self.state.server_follower.offset
        if config_offset is None or server_offset is None:
            return 503, '{}'
        document = {
            'config': base64.b64encode(self.state.config.raw).decode(),
            'config_offset': config_offset,
            'config_era': self.state.config_follower.era,
            'evacuated': self.state.evacuations.render_snapshot(),
            'servers': {
                server_id: base64.b64encode(data).decode()
                for server_id, data in self.state.servers.raw_entries.items()
            },
            'server_offset': server_offset,
            'server_era': self.state.server_follower.era,
            'places': {
                part: list(self.state.prompts.find_engines(part))
                for part in self.state.prompts.by_prompt
            },
        }
        return 200, json.dumps(document)

    async def fetch_cache_locations(
        self, list_live: Callable[[], list[str]], fetch: Fetch
    ) -> bool:
        """Fetch snapshots of live peers until cache locations are known.

        Return whether any are; give up after CACHE_FETCH_TIMEOUT_S.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CACHE_FETCH_TIMEOUT_S
        while loop.time() < deadline:
            for host in list_live():
                if (
                    await self._fetch_snapshot(host, fetch)
                    and self.state.prompts.by_prompt
                ):
                    return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def run(
        self, list_known_hosts: Callable[[], list[str]], fetch: Fetch
    ) -> None:
        """Fetch snapshots when the store is away and peers are ahead."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self._needs_snapshot():
                continue
            for host in list_known_hosts():
                if (
                    await self._fetch_snapshot(host, fetch)
                    and not self._needs_snapshot()
                ):
                    break

    def _needs_snapshot(self) -> bool:
        """Return whether a peer may have newer state of either topic."""
        return (
            self.state.config_follower.needs_snapshot()
            or self.state.server_follower.needs_snapshot()
        )

    async def _fetch_snapshot(self, host: str, fetch: Fetch) -> bool:
        """Fetch a peer's snapshot; return whether it changed anything."""
        try:
            data = await fetch(host, SNAPSHOT_PATH)
        except errors.ServerFailed as error:
            self.events.write('peer-copy-failed', host=host, cause=error.cause)
            return False
        return self.apply_snapshot(host, data)

    def apply_snapshot(self, host: str, data: bytes) -> bool:
        """Apply the newer parts of a snapshot; return whether any were."""
        try:
            document = json.loads(data)
            config = base64.b64decode(document['config'])
            config_offset = numeric.check_whole(document['config_offset'])
            config_era = _parse_era(document.get('config_era'))
            evacuated = evacuation_view.parse_snapshot(
                document.get('evacuated', {})
            )
            records = [
                keyed_log.Record(str(server_id), base64.b64decode(entry))
                for server_id, entry in document['servers'].items()
            ]
            server_offset = numeric.check_whole(document['server_offset'])
            server_era = _parse_era(document.get('server_era'))
            cache_locations = [
                (str(part), str(server_id))
                for part, holders in document['places'].items()
                for server_id in holders
            ]
        except (
            ValueError, KeyError, TypeError, AttributeError, RecursionError,
            binascii.Error,
        ) as error:  # fmt: skip
            self.events.write(
                'peer-copy-failed', host=host, cause=f'malformed: {error!r}'
            )
            return False
        changed = False
        for part, server_id in cache_locations:
            changed = self.state.prompts.record(part, server_id) or changed
        follower = self.state.config_follower
        if _is_ahead(config_offset, config_era, follower):
            self.state.config.apply(config, f'peer {host}')
            self.state.evacuations.apply_snapshot(
                evacuated, keyed_log.Position(config_era or 0, config_offset)
            )
            follower.adopt(config_offset, config_era)
            changed = True
        follower = self.state.server_follower
        if _is_ahead(server_offset, server_era, follower):
            if follower.era != server_era:
                self.state.servers.note_older_copy(records)
            self.state.servers.replace(records, None)
            follower.adopt(server_offset, server_era)
            changed = True
        if changed:
            self.events.write(
                'peer-copy-taken',
                host=host,
                version=self.state.config.version,
                servers=len(records),
                places=len(cache_locations),
            )
        return changed


def _parse_era(value: object) -> int | None:
    """Return an era, None from a peer that knows none."""
    return None if value is None else numeric.check_whole(value)


def _is_ahead(
    offset: int, era: int | None, follower: log_follower.LogFollower
) -> bool:
    """Return whether an offset of a peer is beyond the follower's."""
    if follower.offset is None:
        return True
    if era is None or follower.era is None or era == follower.era:
        return offset > follower.offset
    return era > follower.era
