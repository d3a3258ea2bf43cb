"""Append the head of the ``config`` stream again when readers need it.

That is before its record expires, and after a rejected signed record, which
a reader that cannot see the head's first copy could take for the head.
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
CONFLICT_WAIT_S = 3 * MAX_WAIT_AFTER_REJECTION_S
REPUBLISH_AGE_SHARE = 0.6
MAX_WAIT_SHARE = 0.1


class HeadRepublisher:
    """Append the head again after a random wait and one more poll.

    ``get_head`` returns the bundle in force, ``poll`` reads the log once,
    ``list_peers`` lists those that might do the same.  ``head_time`` is when
    the log took the head, in seconds since 1970; None when not known.
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
        """Give up a wait."""
        if self.append_task is not None:
            self.append_task.cancel()

    def republish_after_rejection(self, offset: int) -> None:
        """Append the head after the rejected record at ``offset``."""
        self._schedule_append(MAX_WAIT_AFTER_REJECTION_S, offset)

    async def republish_before_expiry(self, retention_s: float) -> None:
        """Append the head when it nears its expiry after ``retention`` s."""
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
        """Look up when the head was appended; 0 when it has expired."""
        try:
            page = await self.log.read(signing.STREAM, head.offset, 0.0)
        except errors.LogExpired:
            return 0.0
        return page.records[0].time if page.records else 0.0

    def _schedule_append(self, max_wait_s: float, offset: int) -> None:
        """Append the head again later, unless somebody else does."""
        if self.append_task is None or self.append_task.done():
            self.append_task = asyncio.create_task(
                self._append_head(max_wait_s, offset)
            )

    async def _append_head(self, max_wait_s: float, offset: int) -> None:
        """Wait, poll once more and append the head after ``offset``."""
        await asyncio.sleep(self._draw_wait(max_wait_s))
        with contextlib.suppress(errors.LogUnavailable):
            await self.poll()
            head = self.get_head()
            if head is None or head.offset > offset:
                return
            await self.log.append(signing.STREAM, head.record)
            logging.info('event=bundle-restated after=%d', offset)

    def _draw_wait(self, max_wait_s: float) -> float:
        """Draw a wait so that few of many processes draw a short one.

        Truncated exponential timer as in feedback suppression of reliable
        multicast.
        """
        slope = math.log(len(self.list_peers()) + 1) + 1
        fraction = self.generator.uniform()
        return max_wait_s / slope * math.log1p(math.expm1(slope) * fraction)
