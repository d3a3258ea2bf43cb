"""Follow the ``config`` stream and keep the bundle in force up to date.

The log is the authority; peers help a process that starts while the log is
down, that missed expired records or that the log's answers do not reach.
A process without a bundle believes a peer's copy iff the link is
authenticated by the fleet key and an operator of its own settings signed
the record; a process with a bundle also takes the operators of that one.
So a fleet whose bundle replaced all first operators needs the new ones in
the settings of new processes.  A process that reaches neither the log nor
a peer has no bundle and ``first_loaded`` stays unset.
"""

import asyncio
from collections.abc import Callable
import contextlib
import math
import time

from absl import logging
import numpy as np

from arbutusvale import errors
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.protocol import signing
from arbutusvale.state import bundles

POLL_WAIT_S = 2.5
POLL_MARGIN_S = 1.0
POLL_MARGIN_MAX_S = 5.0
MARGIN_DECAY = 0.9
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
ANNOUNCE_INTERVAL_S = 10.0
CATCH_UP_S = 2.0
RESTATE_WAIT_S = 2.0
SETTLE_S = 3 * RESTATE_WAIT_S
REFRESH_SHARE = 0.6
REFRESH_WAIT_SHARE = 0.1


class BundleFollower:
    """Apply the stream's records to a chain and serve copies to peers.

    ``peers`` lists the VMs that accept links.  ``listeners`` are called
    with the head after each change of it, also of its offset alone.
    ``wall_clock`` is compared with the times of log records.
    """

    def __init__(
        self,
        log: ports.LogService,
        chain: bundles.BundleChain,
        links: ports.Links | None = None,
        peers: Callable[[], list[str]] = list,
        generator: np.random.Generator | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self.log = log
        self.chain = chain
        self.links = links
        self.peers = peers
        self.generator = generator or np.random.default_rng()
        self.clock = clock
        self.wall_clock = wall_clock
        self.listeners: list[Callable[[bundles.InForce], None]] = []
        self.first_loaded = asyncio.Event()
        self.changed = asyncio.Event()
        self.head_time: float | None = None
        self.last_change = clock()
        self.retention = 0.0
        self.margin = POLL_MARGIN_S
        self.queries = 0
        self.restating: asyncio.Task | None = None

    @property
    def head(self) -> bundles.InForce | None:
        """Return the bundle in force."""
        return self.chain.head

    async def run(self) -> None:
        """Follow the log until cancelled."""
        announcing = asyncio.create_task(self._announce())
        try:
            await self._follow()
        finally:
            announcing.cancel()
            if self.restating is not None:
                self.restating.cancel()

    async def catch_up(self, offset: int, peer_vm: str) -> bool:
        """Come up to ``offset``, that of the head of ``peer_vm``.

        Asks the peer and the log; tells whether the offset was reached.
        """
        if self._has(offset):
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CATCH_UP_S):
                await self._fetch_from(peer_vm)
                with contextlib.suppress(errors.ArbutusvaleError):
                    await self._read(0.0)
                while not self._has(offset):
                    self.changed.clear()
                    await self.changed.wait()
        return self._has(offset)

    async def look(self) -> None:
        """Look once for a newer bundle, in the log or else at a peer."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CATCH_UP_S):
                try:
                    await self._read(0.0)
                except errors.LogUnavailable:
                    await self._fetch_from_any()

    async def receive(
        self, link: ports.Link, message: messages.Message
    ) -> bool:
        """Handle a message of a peer; False when it is for another part."""
        match message:
            case messages.BundleHead(offset=offset):
                self._hear_head(link, offset)
            case messages.FetchBundle():
                self._send_copy(link, message)
            case messages.BundleCopy(offset=offset, record=record):
                if record:
                    self._take(self.chain.adopt(offset, record), None)
            case _:
                return False
        return True

    def _has(self, offset: int) -> bool:
        """Tell whether the head is at ``offset`` or later."""
        return self.head is not None and self.head.offset >= offset

    async def _follow(self) -> None:
        """Poll the log; ask peers while it does not answer."""
        delay = RETRY_MIN_S
        while True:
            try:
                await self._read(POLL_WAIT_S)
                delay = RETRY_MIN_S
                continue
            except errors.LogUnavailable as error:
                logging.warning('event=config-unread why="%s"', error.problem)
            await self._fetch_from_any()
            await asyncio.sleep(delay * self.generator.uniform(0.5, 1.0))
            delay = min(2 * delay, RETRY_MAX_S)

    async def _read(self, wait: float) -> None:
        """Read one page and apply it; raises :class:`LogUnavailable`.

        A short margin finds a silent connection soon; it grows while the
        log is merely slow.
        """
        try:
            async with asyncio.timeout(wait + self.margin):
                page = await self.log.read(
                    signing.STREAM, self.chain.position, wait
                )
            self.margin = max(POLL_MARGIN_S, MARGIN_DECAY * self.margin)
        except TimeoutError as error:
            self.margin = min(2 * self.margin, POLL_MARGIN_MAX_S)
            raise errors.LogUnavailable(
                signing.STREAM, 'the read timed out'
            ) from error
        except errors.LogExpired as error:
            await self._skip_expired(error.oldest)
            return
        self.retention = page.retention
        for record in page.records:
            self._apply(record)
        self._settle(page)
        await self._look_after_retention()

    async def _skip_expired(self, oldest: int) -> None:
        """Read on from the oldest retained record; ask a peer as well."""
        logging.warning(
            'event=config-expired position=%d oldest=%d',
            self.chain.position,
            oldest,
        )
        self.chain.lose_place(oldest)
        await self._fetch_from_any()

    def _apply(self, record: ports.LogRecord) -> None:
        """Apply one record of the log and log the outcome."""
        outcome = self.chain.apply(record.offset, record.data)
        self._take(outcome, record.time)
        if isinstance(outcome, bundles.Rejected) and outcome.version:
            if self.head is not None:
                self._restate(RESTATE_WAIT_S, outcome.offset)

    def _take(self, outcome: bundles.Outcome, time_s: float | None) -> None:
        """Note an outcome and tell the listeners of a change."""
        match outcome:
            case bundles.Passed():
                return
            case bundles.Rejected(offset=offset, reason=reason):
                logging.warning(
                    'event=bundle-rejected offset=%d operator=%s '
                    'version=%s reason="%s"',
                    offset,
                    outcome.operator or '-',
                    outcome.version or '-',
                    reason,
                )
                return
            case bundles.Accepted(offset=offset, version=version):
                logging.info(
                    'event=bundle-in-force offset=%d version=%s operator=%s '
                    'digest=%s',
                    offset,
                    version,
                    outcome.operator,
                    self.head.digest.hex()[:12],
                )
            case bundles.Refresh(offset=offset):
                logging.info('event=bundle-refreshed offset=%d', offset)
        self.head_time = time_s
        self.last_change = self.clock()
        self._tell()

    def _tell(self) -> None:
        """Tell waiting tasks and listeners, once the head is certain."""
        if not self.chain.anchored and not self.first_loaded.is_set():
            return
        self.first_loaded.set()
        self.changed.set()
        for listener in self.listeners:
            listener(self.head)

    def _settle(self, page: ports.LogPage) -> None:
        """Anchor an unanchored chain that has read all of the log."""
        chain = self.chain
        if chain.anchored or chain.head is None:
            return
        if chain.position < page.head:
            return
        if chain.contested and self.clock() - self.last_change < SETTLE_S:
            return
        chain.settle()
        self._tell()

    async def _look_after_retention(self) -> None:
        """Append the head again when it nears its expiry."""
        if self.head is None or self.retention <= 0:
            return
        if not self.chain.anchored:
            return
        if self.head_time is None:
            self.head_time = await self._find_head_time()
        age = self.wall_clock() - self.head_time
        if age > REFRESH_SHARE * self.retention:
            wait = REFRESH_WAIT_SHARE * self.retention
            self._restate(wait, self.head.offset)

    async def _find_head_time(self) -> float:
        """Look up when the head was appended; 0 when it has expired."""
        try:
            page = await self.log.read(signing.STREAM, self.head.offset, 0.0)
        except errors.LogExpired:
            return 0.0
        return page.records[0].time if page.records else 0.0

    def _restate(self, longest_wait: float, offset: int) -> None:
        """Append the head again later, unless somebody else does."""
        if self.restating is None or self.restating.done():
            self.restating = asyncio.create_task(
                self._append_head(longest_wait, offset)
            )

    async def _append_head(self, longest_wait: float, offset: int) -> None:
        """Wait, look once more and append the head after ``offset``."""
        await asyncio.sleep(self._draw_wait(longest_wait))
        with contextlib.suppress(errors.LogUnavailable):
            await self._read(0.0)
            if self.head.offset > offset:
                return
            await self.log.append(signing.STREAM, self.head.record)
            logging.info('event=bundle-restated after=%d', offset)

    def _draw_wait(self, longest: float) -> float:
        """Draw a wait so that few of many processes draw a short one.

        Truncated exponential timer as in feedback suppression of reliable
        multicast.
        """
        slope = math.log(len(self.peers()) + 1) + 1
        share = self.generator.uniform()
        return longest / slope * math.log1p(math.expm1(slope) * share)

    async def _announce(self) -> None:
        """Tell a random peer now and then which head this process has."""
        while True:
            await asyncio.sleep(
                ANNOUNCE_INTERVAL_S * self.generator.uniform(0.5, 1.5)
            )
            vm = self._choose_peer()
            if vm is not None and self.head is not None:
                await self._send(vm, messages.BundleHead(self.head.offset))

    def _hear_head(self, link: ports.Link, offset: int) -> None:
        """Fetch a higher head from its sender, or tell it of a higher one."""
        if self.head is None or offset > self.head.offset:
            self._send_on(link, self._make_fetch())
        elif offset < self.head.offset and self.chain.anchored:
            self._send_on(link, messages.BundleHead(self.head.offset))

    def _send_copy(
        self, link: ports.Link, fetch: messages.FetchBundle
    ) -> None:
        """Answer a peer that asks for the head."""
        head = self.head
        known = head is not None and self.chain.anchored
        if known and head.offset > fetch.above_offset:
            copy = messages.BundleCopy(fetch.query, head.offset, head.record)
        else:
            copy = messages.BundleCopy(fetch.query, -1, b'')
        self._send_on(link, copy)

    def _make_fetch(self) -> messages.FetchBundle:
        """Build a request for a head above this process's own."""
        self.queries += 1
        above = self.head.offset if self.head is not None else -1
        return messages.FetchBundle(self.queries, above)

    async def _fetch_from_any(self) -> None:
        """Ask a random peer for its head."""
        vm = self._choose_peer()
        if vm is not None:
            await self._fetch_from(vm)

    async def _fetch_from(self, vm: str) -> None:
        """Ask one peer for its head; the answer arrives as a message."""
        await self._send(vm, self._make_fetch())

    async def _send(self, vm: str, message: messages.Message) -> None:
        """Send to a VM; a peer that cannot be reached is passed over."""
        if self.links is None or not vm:
            return
        with contextlib.suppress(errors.LinkClosed):
            link = await self.links.get(vm)
            link.send(message)

    def _send_on(self, link: ports.Link, message: messages.Message) -> None:
        """Send on a link that may have closed meanwhile."""
        with contextlib.suppress(errors.LinkClosed):
            link.send(message)

    def _choose_peer(self) -> str | None:
        """Choose a peer at random."""
        names = sorted(self.peers())
        if not names:
            return None
        return names[int(self.generator.integers(len(names)))]
