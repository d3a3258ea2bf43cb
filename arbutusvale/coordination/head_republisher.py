"""Republishing of the head of the ``config`` stream.

The head is appended again before its record expires, and after a rejected
signed record: a reader for which the head's first copy has expired could
otherwise accept the rejected record as the head.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math

from absl import logging
import numpy as np

from arbutusvale import errors
from arbutusvale.protocol import ports
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain

MAX_WAIT_AFTER_REJECTION_S = 2.0
# Time enough for another process to append the head after a rejection.
CONFLICT_WAIT_S = 3 * MAX_WAIT_AFTER_REJECTION_S
REPUBLISH_AGE_SHARE = 0.6  # of the retention
MAX_WAIT_SHARE = 0.1  # of the retention


class HeadRepublisher:
    """Scheduler that appends the head again after a random delay.

    The delay and a last poll of the log keep most processes from appending
    the same head.  ``get_head`` returns the active bundle, ``poll`` reads
    the log once and ``list_peers`` returns the VMs that may republish as
    well.  ``head_appended_at`` is the Unix time at which the log appended
    the head, None if unknown.
    """

    def __init__(
        self,
        log: ports.LogService,
        get_head: Callable[[], bundle_chain.ActiveBundle | None],
        poll: Callable[[], Awaitable[None]],
        list_peers: Callable[[], list[str]],
        generator: np.random.Generator,
        wall_clock: Callable[[], float],
    ):
        self.log = log
        self.get_head = get_head
        self.poll = poll
        self.list_peers = list_peers
        self.generator = generator
        self.wall_clock = wall_clock
        self.head_appended_at: float | None = None
        self.append_task: asyncio.Task | None = None

    def stop(self) -> None:
        """Cancel a scheduled append."""
        if self.append_task is not None:
            self.append_task.cancel()

    def republish_after_rejection(self, offset: int) -> None:
        """Schedule an append after the rejected record at ``offset``."""
        self._schedule_append(MAX_WAIT_AFTER_REJECTION_S, offset)

    async def republish_before_expiry(self, retention_s: float) -> None:
        """Schedule an append when the head's record will expire soon."""
        head = self.get_head()
        if head is None or retention_s <= 0:
            return
        if self.head_appended_at is None:
            self.head_appended_at = await self._read_append_time(head)
        age = self.wall_clock() - self.head_appended_at
        if age > REPUBLISH_AGE_SHARE * retention_s:
            self._schedule_append(MAX_WAIT_SHARE * retention_s, head.offset)

    async def _read_append_time(
        self, head: bundle_chain.ActiveBundle
    ) -> float:
        """Return the append time of the head's record; 0 if it expired."""
        try:
            page = await self.log.read(signing.STREAM, head.offset, 0.0)
        except errors.OffsetExpired:
            return 0.0
        return page.records[0].time if page.records else 0.0

    def _schedule_append(self, max_wait_s: float, offset: int) -> None:
        """Append the head later unless another process does so first."""
        if self.append_task is None or self.append_task.done():
            self.append_task = asyncio.create_task(
                self._append_head(max_wait_s, offset)
            )

    async def _append_head(self, max_wait_s: float, offset: int) -> None:
        """Wait and poll; append the head unless it now follows ``offset``."""
        await asyncio.sleep(self._draw_wait(max_wait_s))
        with contextlib.suppress(errors.LogUnavailable):
            await self.poll()
            head = self.get_head()
            if head is None or head.offset > offset:
                return
            await self.log.append(signing.STREAM, head.record)
            logging.info('event=bundle-restated after=%d', offset)

    def _draw_wait(self, max_wait_s: float) -> float:
        """Draw a delay such that few of many processes draw a short one.

        This is the truncated exponential timer of feedback suppression in
        reliable multicast.
        """
        slope = math.log(len(self.list_peers()) + 1) + 1
        fraction = self.generator.uniform()
        return max_wait_s / slope * math.log1p(math.expm1(slope) * fraction)
