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
import dataclasses
import json

from arbutusvale import errors
from arbutusvale.coordination import configview
from arbutusvale.coordination import logfollower
from arbutusvale.coordination import serverview
from arbutusvale.protocol import keyed_log
from arbutusvale.state import event_log
from arbutusvale.state import prompt_cache_index

PATH = '/snapshot'
# Peers answer in a few milliseconds; the store itself is asked meanwhile.
ASK_EACH_S = 0.3
# Peers are heard within a second of a start.
LEARN_S = 3.0

Fetch = Callable[[str, str], Awaitable[bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Lists:
    """Hold what a router knows and may copy from a peer."""

    config: configview.ConfigView
    servers: serverview.ServerView
    config_follower: logfollower.LogFollower
    server_follower: logfollower.LogFollower
    prompts: prompt_cache_index.PromptCacheIndex


class PeerCopy:
    """Offer the own lists to peers, and take theirs when they are newer."""

    def __init__(self, lists: Lists, events: event_log.EventLog):
        self.lists = lists
        self.events = events

    def offer(self) -> tuple[int, str]:
        """Return a status and what this router knows, as JSON."""
        config_offset = self.lists.config_follower.offset
        server_offset = self.lists.server_follower.offset
        if config_offset is None or server_offset is None:
            return 503, '{}'
        document = {
            'config': base64.b64encode(self.lists.config.newest).decode(),
            'config_offset': config_offset,
            'servers': {
                server_id: base64.b64encode(data).decode()
                for server_id, data in self.lists.servers.newest.items()
            },
            'server_offset': server_offset,
            'places': {
                part: list(holders)
                for part, holders in self.lists.prompts.by_prompt.items()
            },
        }
        return 200, json.dumps(document)

    async def learn_places(
        self, list_live: Callable[[], list[str]], fetch: Fetch
    ) -> bool:
        """Ask live peers at the start where prompts are cached.

        Tell whether one knew any.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + LEARN_S
        while loop.time() < end:
            for host in list_live():
                if (
                    await self._ask(host, fetch)
                    and self.lists.prompts.by_prompt
                ):
                    return True
            await asyncio.sleep(ASK_EACH_S)
        return False

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
            self.lists.config_follower.needs_copy()
            or self.lists.server_follower.needs_copy()
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
        """Take over what a peer offered, as far as it is news."""
        try:
            document = json.loads(data)
            config = base64.b64decode(document['config'])
            config_offset = int(document['config_offset'])
            records = [
                keyed_log.Record(str(server_id), base64.b64decode(entry))
                for server_id, entry in document['servers'].items()
            ]
            server_offset = int(document['server_offset'])
            places = [
                (str(part), str(server_id))
                for part, holders in document['places'].items()
                for server_id in holders
            ]
        except (
            ValueError, KeyError, TypeError, AttributeError, binascii.Error,
        ) as error:  # fmt: skip
            self.events.write(
                'peer-copy-failed', host=host, cause=f'malformed: {error!r}'
            )
            return False
        taken = False
        for part, server_id in places:
            taken = self.lists.prompts.record(part, server_id) or taken
        if _is_ahead(config_offset, self.lists.config_follower):
            self.lists.config.take(config, f'peer {host}')
            self.lists.config_follower.offset = config_offset
            taken = True
        if _is_ahead(server_offset, self.lists.server_follower):
            self.lists.servers.replace(records, None)
            self.lists.server_follower.offset = server_offset
            taken = True
        if taken:
            self.events.write(
                'peer-copy-taken',
                host=host,
                version=self.lists.config.version,
                servers=len(records),
                places=len(places),
            )
        return taken


def _is_ahead(offset: int, follower: logfollower.LogFollower) -> bool:
    """Tell whether a peer has read a topic further."""
    return follower.offset is None or offset > follower.offset
