"""Follow the cache events of the engine beside this sidecar."""

import asyncio

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import ports
from arbutusvale.state import directory

POLL_WAIT_S = 5.0
RETRY_S = 1.0


class CacheWatch:
    """Clear directory entries of chats that the own engine evicted.

    Events come late and with gaps.  A gap marks the directory uncertain;
    it never proves that a chat is absent.
    """

    def __init__(
        self, vm: str, engine: ports.Engine, places: directory.Directory
    ):
        self.vm = vm
        self.engine = engine
        self.directory = places
        self.next_number = 0

    async def run(self) -> None:
        """Read events until cancelled."""
        while True:
            try:
                await self.read(POLL_WAIT_S)
            except errors.ArbutusvaleError as error:
                logging.info('event=events-unread cause="%s"', error.problem)
                await asyncio.sleep(RETRY_S)

    async def read(self, wait_s: float) -> None:
        """Read one page of events and apply it."""
        page = await self.engine.read_cache_events(self.next_number, wait_s)
        if page.next_number < self.next_number:
            self._note_restart()
        elif page.missed:
            self.directory.uncertain = True
            logging.warning(
                'event=cache-events-missed start=%d next=%d',
                self.next_number,
                page.next_number,
            )
        for event in page.events:
            self._apply(event)
        self.next_number = page.next_number

    def _note_restart(self) -> None:
        """Drop the entries of an engine that started with an empty cache."""
        dropped = self.directory.forget_vm(self.vm)
        logging.warning('event=engine-restarted entries=%d', dropped)

    def _apply(self, event: ports.CacheEvent) -> None:
        """Apply one event."""
        match event.kind:
            case 'evicted':
                self.directory.forget(event.chat, self.vm)
            case 'stored':
                # An old event must not replace a later placement.
                if not self.directory.find(event.chat):
                    self.directory.record(event.chat, self.vm)
            case kind:
                logging.warning('event=cache-event-unknown kind=%s', kind)
