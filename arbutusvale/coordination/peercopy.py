"""Copy configuration and server list from a peer while the store is away.

A router that starts during an outage of the store would know nothing, and
one that the store turns away would fall behind; any live peer knows what
the store said last.  Offsets of the store's log tell whose copy is newer.
"""

import asyncio
import base64
import binascii
from collections.abc import Awaitable
from collections.abc import Callable
import json

from arbutusvale import errors
from arbutusvale.coordination import configview
from arbutusvale.coordination import logfollower
from arbutusvale.coordination import serverview
from arbutusvale.protocol import keyedlog
from arbutusvale.state import eventlog

PATH = '/snapshot'
# Peers answer in a few milliseconds; the store itself is asked meanwhile.
ASK_EACH_S = 0.3

Fetch = Callable[[str, str], Awaitable[bytes]]


class PeerCopy:
    """Offer the own lists to peers, and take theirs when they are newer."""

    def __init__(
        self,
        config: configview.ConfigView,
        servers: serverview.ServerView,
        config_follower: logfollower.LogFollower,
        server_follower: logfollower.LogFollower,
        events: eventlog.EventLog,
    ):
        self.config = config
        self.servers = servers
        self.config_follower = config_follower
        self.server_follower = server_follower
        self.events = events

    def offer(self) -> tuple[int, str]:
        """Return a status and what this router knows, as JSON."""
        config_offset = self.config_follower.offset
        server_offset = self.server_follower.offset
        if config_offset is None or server_offset is None:
            return 503, '{}'
        document = {
            'config': base64.b64encode(self.config.newest).decode(),
            'config_offset': config_offset,
            'servers': {
                server_id: base64.b64encode(data).decode()
                for server_id, data in self.servers.newest.items()
            },
            'server_offset': server_offset,
        }
        return 200, json.dumps(document)

    async def run(
        self, list_hosts: Callable[[], list[str]], fetch: Fetch
    ) -> None:
        """Ask peers in turn whenever the store is away and they know more."""
        while True:
            await asyncio.sleep(ASK_EACH_S)
            if not self._needs_copy():
                continue
            for host in list_hosts():
                if await self._ask(host, fetch) and not self._needs_copy():
                    break

    def _needs_copy(self) -> bool:
        """Tell whether a peer's lists would help."""
        return (
            self.config_follower.needs_copy()
            or self.server_follower.needs_copy()
        )

    async def _ask(self, host: str, fetch: Fetch) -> bool:
        """Take a peer's lists over; tell whether they brought news."""
        try:
            data = await fetch(host, PATH)
        except errors.ServerFailed as error:
            self.events.write('peer-copy-failed', host=host, cause=error.cause)
            return False
        return self.take(host, data)

    def take(self, host: str, data: bytes) -> bool:
        """Take over what a peer offered, as far as it is newer."""
        try:
            document = json.loads(data)
            config = base64.b64decode(document['config'])
            config_offset = int(document['config_offset'])
            records = [
                keyedlog.Record(str(server_id), base64.b64decode(entry))
                for server_id, entry in document['servers'].items()
            ]
            server_offset = int(document['server_offset'])
        except (
            ValueError, KeyError, TypeError, AttributeError, binascii.Error,
        ) as error:  # fmt: skip
            self.events.write(
                'peer-copy-failed', host=host, cause=f'malformed: {error!r}'
            )
            return False
        taken = False
        if _is_ahead(config_offset, self.config_follower):
            self.config.take(config, f'peer {host}')
            self.config_follower.offset = config_offset
            taken = True
        if _is_ahead(server_offset, self.server_follower):
            self.servers.replace(records, None)
            self.server_follower.offset = server_offset
            taken = True
        if taken:
            self.events.write(
                'peer-copy-taken',
                host=host,
                version=self.config.version,
                servers=len(records),
            )
        return taken


def _is_ahead(offset: int, follower: logfollower.LogFollower) -> bool:
    """Tell whether a peer has read a topic further."""
    return follower.offset is None or offset > follower.offset
