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

REJECTED_WAIT_S = 2.0
SETTLE_S = 3 * REJECTED_WAIT_S
REFRESH_SHARE = 0.6
REFRESH_WAIT_SHARE = 0.1


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
        self.head_time: float | None = None
        self.waiting: asyncio.Task | None = None

    def stop(self) -> None:
        """Give up a wait."""
        if self.waiting is not None:
            self.waiting.cancel()

    def republish_after_rejection(self, offset: int) -> None:
        """Append the head after the rejected record at ``offset``."""
        self._restate(REJECTED_WAIT_S, offset)

    async def republish_before_expiry(self, retention: float) -> None:
        """Append the head when it nears its expiry after ``retention`` s."""
        head = self.get_head()
        if head is None or retention <= 0:
            return
        if self.head_time is None:
            self.head_time = await self._find_head_time(head)
        age = self.wall_clock() - self.head_time
        if age > REFRESH_SHARE * retention:
            self._restate(REFRESH_WAIT_SHARE * retention, head.offset)

    async def _find_head_time(self, head: bundle_chain.ActiveBundle) -> float:
        """Look up when the head was appended; 0 when it has expired."""
        try:
            page = await self.log.read(signing.STREAM, head.offset, 0.0)
        except errors.OffsetExpired:
            return 0.0
        return page.records[0].time if page.records else 0.0

    def _restate(self, longest_wait: float, offset: int) -> None:
        """Append the head again later, unless somebody else does."""
        if self.waiting is None or self.waiting.done():
            self.waiting = asyncio.create_task(
                self._append_head(longest_wait, offset)
            )

    async def _append_head(self, longest_wait: float, offset: int) -> None:
        """Wait, poll once more and append the head after ``offset``."""
        await asyncio.sleep(self._draw_wait(longest_wait))
        with contextlib.suppress(errors.LogUnavailable):
            await self.poll()
            head = self.get_head()
            if head is None or head.offset > offset:
                return
            await self.log.append(signing.STREAM, head.record)
            logging.info('event=bundle-restated after=%d', offset)

    def _draw_wait(self, longest: float) -> float:
        """Draw a wait so that few of many processes draw a short one.

        Truncated exponential timer as in feedback suppression of reliable
        multicast.
        """
        slope = math.log(len(self.list_peers()) + 1) + 1
        share = self.generator.uniform()
        return longest / slope * math.log1p(math.expm1(slope) * share)
