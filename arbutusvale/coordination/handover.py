"""Handover of cache directory entries and caches by a leaving sidecar.

The home of a chat is the live VM that rendezvous hashing ranks first for it;
its sidecar keeps the chat's entry in the cache directory.
"""

import asyncio
import collections
from collections.abc import Callable
import time

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import directory
from arbutusvale.state import fleet
from arbutusvale.state import rendezvous

MAX_ENTRIES_PER_MESSAGE = 100
MAX_CACHE_BYTES = 512 * 1024


class ChatHandover:
    """Sender of directory entries and caches to the chats' next homes.

    ``engine`` is None for a plain service, which keeps no caches.
    """

    def __init__(
        self,
        vm: str,
        pool: str,
        cache_directory: directory.Directory,
        vm_fleet: fleet.Fleet,
        links: ports.Links,
        engine: ports.Engine | None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.vm = vm
        self.pool = pool
        self.directory = cache_directory
        self.fleet = vm_fleet
        self.links = links
        self.engine = engine
        self.clock = clock

    async def run(self, deadline: float) -> None:
        """Send all directory entries, then caches until ``deadline``.

        ``deadline`` is a time of ``clock``.
        """
        await self.send_directory_entries()
        if self.engine is not None:
            await self.send_caches(deadline)

    async def send_directory_entries(self) -> int:
        """Send the entries that name other VMs; return how many were sent."""
        placements_by_home: dict[str, list[messages.Placement]] = (
            collections.defaultdict(list)
        )
        for placement in self.directory.export():
            home = self._next_home(placement.chat)
            if home and placement.vm != self.vm:
                placements_by_home[home].append(placement)
        sent = 0
        for home, placements in placements_by_home.items():
            sent += await self._send_entries_to(home, placements)
        logging.info(
            'event=directory-handed-over entries=%d homes=%d',
            sent,
            len(placements_by_home),
        )
        return sent

    async def send_caches(self, deadline: float) -> int:
        """Send caches of the own engine, the most recently used first.

        Return how many were sent.
        """
        sent = 0
        for placement in self.directory.export():
            if self.clock() >= deadline:
                break
            home = self._next_home(placement.chat)
            if home and placement.vm == self.vm:
                sent += await self._send_cache(home, placement.chat)
        logging.info('event=caches-handed-over chats=%d', sent)
        return sent

    async def receive_cache(self, cache_copy: messages.CacheCopy) -> None:
        """Import a cache from a leaving sidecar and record its new location.

        An engine that fails or declines leaves the directory unchanged.
        """
        if self.engine is None:
            return
        try:
            imported = await self.engine.import_cache(
                cache_copy.chat, cache_copy.data
            )
        except errors.ArbutusvaleError as error:
            logging.warning('event=cache-lost cause="%s"', error.problem)
            return
        logging.info(
            'event=cache-imported chat=%s bytes=%d taken=%s',
            cache_copy.chat[:8],
            len(cache_copy.data),
            str(imported).lower(),
        )
        if imported:
            self.directory.record(cache_copy.chat, self.vm)

    async def _send_entries_to(
        self, home: str, placements: list[messages.Placement]
    ) -> int:
        """Send entries to one home in messages of bounded size.

        Return how many were sent; a closed link loses the rest.
        """
        sent = 0
        try:
            link = await self.links.get(home)
            for start in range(0, len(placements), MAX_ENTRIES_PER_MESSAGE):
                batch = placements[start : start + MAX_ENTRIES_PER_MESSAGE]
                link.send(messages.HandOver(batch))
                sent += len(batch)
                await asyncio.sleep(0)
        except errors.LinkClosed as error:
            logging.warning(
                'event=hand-over-failed home=%s cause="%s"',
                home,
                error.problem,
            )
        return sent

    async def _send_cache(self, home: str, chat: str) -> bool:
        """Export one chat's cache and send it to the chat's next home.

        Return False if there is no cache, it is too large or sending fails.
        """
        try:
            data = await self.engine.export_cache(chat)
            if not data or len(data) > MAX_CACHE_BYTES:
                return False
            link = await self.links.get(home)
            link.send(messages.CacheCopy(chat, data))
        except errors.ArbutusvaleError as error:
            logging.warning(
                'event=cache-not-sent home=%s cause="%s"', home, error.problem
            )
            return False
        return True

    def _next_home(self, chat: str) -> str:
        """Return the chat's home once this VM has left; empty if none."""
        return rendezvous.first(
            chat,
            (
                vm.name
                for vm in self.fleet.list_live(self.pool)
                if vm.name != self.vm
            ),
        )
