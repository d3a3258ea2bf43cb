"""Follower of the cache events of this sidecar's engine."""

import asyncio

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import ports
from arbutusvale.state import directory

LONG_POLL_S = 5.0
RETRY_DELAY_S = 1.0


class CacheEventFollower:
    """Follower that removes evicted chats from the cache directory.

    Events arrive late and with gaps.  A gap marks the directory as
    uncertain; it does not prove that a chat is not cached.
    """

    def __init__(
        self,
        vm: str,
        engine: ports.Engine,
        cache_directory: directory.Directory,
    ):
        self.vm = vm
        self.engine = engine
        self.directory = cache_directory
        self.next_number = 0

    async def run(self) -> None:
        """Read and apply events until cancelled."""
        while True:
            try:
                await self.read_page(LONG_POLL_S)
            except errors.ArbutusvaleError as error:
                logging.info('event=events-unread cause="%s"', error.problem)
                await asyncio.sleep(RETRY_DELAY_S)

    async def read_page(self, wait_s: float) -> None:
        """Read one page of events by a long poll and apply it.

        Raises ``ArbutusvaleError`` when the engine cannot be read.
        """
        page = await self.engine.read_cache_events(self.next_number, wait_s)
        if page.next_number < self.next_number:
            self._handle_engine_restart()
        elif page.missed:
            self.directory.may_be_stale = True
            logging.warning(
                'event=cache-events-missed start=%d next=%d',
                self.next_number,
                page.next_number,
            )
        for event in page.events:
            self._apply_event(event)
        self.next_number = page.next_number

    def _handle_engine_restart(self) -> None:
        """Drop the engine's entries, as it restarted with an empty cache."""
        dropped = self.directory.remove_vm(self.vm)
        logging.warning('event=engine-restarted entries=%d', dropped)

    def _apply_event(self, event: ports.CacheEvent) -> None:
        """Apply one event to the directory."""
        match event.kind:
            case 'evicted':
                self.directory.remove(event.chat, self.vm)
            case 'stored':
                # A late event must not replace the entry of a later run.
                if not self.directory.find(event.chat):
                    self.directory.record(event.chat, self.vm)
            case kind:
                logging.warning('event=cache-event-unknown kind=%s', kind)
