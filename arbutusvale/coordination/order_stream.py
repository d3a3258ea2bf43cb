"""Read and write the ``orders`` stream for one sidecar."""

import asyncio
from collections.abc import Callable
import secrets
import time

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import order_records
from arbutusvale.protocol import ports
from arbutusvale.state import order_state

READ_MARGIN_S = 1.0
MAX_CHECK_AGE_S = READ_MARGIN_S
TOKEN_BYTES = 16


class OrderStream:
    """Take a fencing number and know whether it is still the newest.

    ``fence`` is None before the log took the sidecar's record.
    ``has_hole`` says that records expired unread after that, so that a
    newer sidecar may have started unseen.
    """

    def __init__(
        self,
        log: ports.LogService,
        vm: str,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.log = log
        self.vm = vm
        self.clock = clock
        self.book = order_state.OrderState()
        self.token = secrets.token_hex(TOKEN_BYTES)
        self.fence: int | None = None
        self.has_hole = False
        self.read_began = -float('inf')

    @property
    def superseded(self) -> bool:
        """Tell whether a newer sidecar of this VM may exist."""
        newest = self.book.newest.get(self.vm)
        newer = newest is not None and newest.token != self.token
        return self.has_hole or (self.fence is not None and newer)

    async def take_number(self) -> None:
        """Append this sidecar's record and take its offset as number.

        Raises :class:`errors.LogUnavailable` when the record was not seen
        in the log; to be called again then.
        """
        await self.read(0.0)
        if self._find_number():
            return
        await self.append(order_records.Incarnation(self.vm, self.token))
        await self.read(0.0)
        if not self._find_number():
            raise errors.LogUnavailable(
                order_records.STREAM, 'the own record was not found'
            )

    async def is_newest(self) -> bool:
        """Read the log to its end; tell if no newer sidecar started.

        Reads again when the answer was old before it could be used, as
        after a pause of this process.
        """
        while True:
            await self.read(0.0)
            if self.superseded:
                return False
            if self.clock() - self.read_began < MAX_CHECK_AGE_S:
                return True

    async def append(self, record: order_records.Record) -> None:
        """Append a record; a lost answer is settled by reading on."""
        try:
            await self.log.append(
                order_records.STREAM, order_records.encode(record)
            )
        except errors.AppendOutcomeUnknown as error:
            logging.warning('event=order-append cause="%s"', error.problem)

    async def read(self, wait: float) -> None:
        """Apply the stream up to its head; waits only for the first page.

        Raises :class:`errors.LogUnavailable`.
        """
        while not await self._read_page(wait):
            wait = 0.0

    async def _read_page(self, wait: float) -> bool:
        """Apply one page; tell whether it reached the log's head."""
        self.read_began = self.clock()
        try:
            async with asyncio.timeout(wait + READ_MARGIN_S):
                page = await self.log.read(
                    order_records.STREAM, self.book.position, wait
                )
        except TimeoutError as error:
            raise errors.LogUnavailable(
                order_records.STREAM, 'the read timed out'
            ) from error
        except errors.OffsetExpired as error:
            self.has_hole = self.fence is not None
            self.book.skip_to(error.oldest)
            return False
        for record in page.records:
            self._apply(record)
        self.book.forget_before(page.oldest)
        return self.book.position >= page.head

    def _apply(self, record: ports.LogRecord) -> None:
        """Apply one record; one that cannot be read changes nothing."""
        try:
            read = order_records.decode(record.data)
        except errors.FrameError as error:
            logging.warning(
                'event=order-record-unread offset=%d cause="%s"',
                record.offset,
                error.problem,
            )
            self.book.skip_to(record.offset + 1)
            return
        self.book.apply(record.offset, read)

    def _find_number(self) -> bool:
        """Take the number from the own record, if it was read."""
        newest = self.book.newest.get(self.vm)
        if newest is None or newest.token != self.token:
            return False
        self.fence = newest.fence
        logging.info(
            'event=fencing-number vm=%s fence=%d', self.vm, self.fence
        )
        return True
