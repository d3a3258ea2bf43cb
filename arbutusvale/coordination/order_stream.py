"""Client of the ``orders`` log stream for one sidecar.

Orders are commands to an engine: load a model version, or change its role.
The stream has the start of each sidecar, whose offset is its fencing
number, and the claims of turns to load a model.
"""

import asyncio
from collections.abc import Callable
import secrets
import time

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import order_records
from arbutusvale.protocol import ports
from arbutusvale.state import order_state

READ_TIMEOUT_MARGIN_S = 1.0
MAX_CHECK_AGE_S = READ_TIMEOUT_MARGIN_S
TOKEN_BYTES = 16


class OrderStream:
    """Consumer of the stream that holds this sidecar's fencing number.

    ``fence`` is None until the sidecar's own record is read from the log.
    ``missed_records`` is set if records expired unread after that: one of
    them may have announced a newer sidecar of this VM.
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
        self.state = order_state.OrderState()
        self.token = secrets.token_hex(TOKEN_BYTES)
        self.fence: int | None = None
        self.missed_records = False
        self.last_read_started_at = -float('inf')

    @property
    def is_superseded(self) -> bool:
        """Whether a newer sidecar of this VM may have started."""
        newest = self.state.newest_incarnations.get(self.vm)
        newer = newest is not None and newest.token != self.token
        return self.missed_records or (self.fence is not None and newer)

    async def acquire_fence(self) -> None:
        """Append this sidecar's record; its offset is the fencing number.

        Raises :class:`errors.LogUnavailable` if the record was not found
        in the log; call it again then.
        """
        await self.read_to_head(0.0)
        if self._adopt_own_fence():
            return
        await self.append(order_records.Incarnation(self.vm, self.token))
        await self.read_to_head(0.0)
        if not self._adopt_own_fence():
            raise errors.LogUnavailable(
                order_records.STREAM, 'the own record was not found'
            )

    async def is_newest(self) -> bool:
        """Read to the end of the log; return whether this is the newest.

        Reads again if the result is older than ``MAX_CHECK_AGE_S`` by the
        time it can be used, as after a pause of this process.
        """
        while True:
            await self.read_to_head(0.0)
            if self.is_superseded:
                return False
            if self.clock() - self.last_read_started_at < MAX_CHECK_AGE_S:
                return True

    async def append(self, record: order_records.Record) -> None:
        """Append a record.

        If the response is lost, reading the stream shows the result.
        """
        try:
            await self.log.append(
                order_records.STREAM, order_records.encode(record)
            )
        except errors.AppendOutcomeUnknown as error:
            logging.warning('event=order-append cause="%s"', error.problem)

    async def read_to_head(self, wait_s: float) -> None:
        """Apply the stream up to its end; wait only for the first page.

        Raises :class:`errors.LogUnavailable`.
        """
        while not await self._read_page(wait_s):
            wait_s = 0.0

    async def _read_page(self, wait_s: float) -> bool:
        """Apply one page; return whether it reached the end of the log."""
        self.last_read_started_at = self.clock()
        try:
            async with asyncio.timeout(wait_s + READ_TIMEOUT_MARGIN_S):
                page = await self.log.read(
                    order_records.STREAM, self.state.position, wait_s
                )
        except TimeoutError as error:
            raise errors.LogUnavailable(
                order_records.STREAM, 'the read timed out'
            ) from error
        except errors.OffsetExpired as error:
            self.missed_records = self.fence is not None
            self.state.skip_to(error.oldest)
            return False
        for record in page.records:
            self._apply(record)
        self.state.drop_expired(page.oldest)
        return self.state.position >= page.head

    def _apply(self, record: ports.LogRecord) -> None:
        """Apply one record; skip one that cannot be decoded."""
        try:
            decoded = order_records.decode(record.data)
        except errors.FrameError as error:
            logging.warning(
                'event=order-record-unread offset=%d cause="%s"',
                record.offset,
                error.problem,
            )
            self.state.skip_to(record.offset + 1)
            return
        self.state.apply(record.offset, decoded)

    def _adopt_own_fence(self) -> bool:
        """Set ``fence`` from this sidecar's record; False if not yet read."""
        newest = self.state.newest_incarnations.get(self.vm)
        if newest is None or newest.token != self.token:
            return False
        self.fence = newest.fence
        logging.info(
            'event=fencing-number vm=%s fence=%d', self.vm, self.fence
        )
        return True
