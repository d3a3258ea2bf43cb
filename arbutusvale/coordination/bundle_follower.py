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
import time

from absl import logging
import numpy as np

from arbutusvale import errors
from arbutusvale.coordination import head_republisher
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain

POLL_WAIT_S = 2.5
POLL_MARGIN_S = 1.0
POLL_MARGIN_MAX_S = 5.0
MARGIN_DECAY = 0.9
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
ANNOUNCE_INTERVAL_S = 10.0
CATCH_UP_S = 2.0
SHOWN_DIGITS = 12


class BundleFollower:
    """Apply the stream's records to a chain and serve copies to peers.

    ``head`` is the bundle in force, None before the first one is certain.
    ``list_peers`` lists the VMs that accept links.  ``listeners`` are called
    with the head after each change of it, also of its offset alone.
    ``wall_clock`` is compared with the times of log records.
    """

    def __init__(
        self,
        log: ports.LogService,
        chain: bundle_chain.BundleChain,
        links: ports.Links | None = None,
        list_peers: Callable[[], list[str]] = list,
        generator: np.random.Generator | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self.log = log
        self.chain = chain
        self.links = links
        self.list_peers = list_peers
        self.generator = generator or np.random.default_rng()
        self.clock = clock
        self.listeners: list[Callable[[bundle_chain.ActiveBundle], None]] = []
        self.first_loaded = asyncio.Event()
        self.changed = asyncio.Event()
        self.last_change = clock()
        self.margin = POLL_MARGIN_S
        self.queries = 0
        self.head: bundle_chain.ActiveBundle | None = None
        self.republisher = head_republisher.HeadRepublisher(
            log,
            lambda: self.head,
            lambda: self._read(0.0),
            list_peers,
            self.generator,
            wall_clock,
        )

    async def run(self) -> None:
        """Follow the log until cancelled."""
        announcing = asyncio.create_task(self._announce())
        try:
            await self._follow()
        finally:
            announcing.cancel()
            self.republisher.stop()

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

    async def poll_once(self) -> None:
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
        except errors.OffsetExpired as error:
            await self._skip_expired(error.oldest)
            return
        for record in page.records:
            self._apply(record)
        self._settle(page)
        if self.chain.anchored:
            await self.republisher.republish_before_expiry(page.retention)

    async def _skip_expired(self, oldest: int) -> None:
        """Read on from the oldest retained record; ask a peer as well."""
        logging.warning(
            'event=config-expired position=%d oldest=%d',
            self.chain.position,
            oldest,
        )
        self.chain.skip_expired(oldest)
        await self._fetch_from_any()

    def _apply(self, record: ports.LogRecord) -> None:
        """Apply one record of the log and log the outcome."""
        outcome = self.chain.apply(record.offset, record.data)
        self._take(outcome, record.time)
        if isinstance(outcome, bundle_chain.Rejected) and outcome.version:
            self.republisher.republish_after_rejection(outcome.offset)

    def _take(
        self, outcome: bundle_chain.Outcome, time_s: float | None
    ) -> None:
        """Note an outcome; ``time_s`` is when the log took the record."""
        match outcome:
            case bundle_chain.Rejected(offset=offset, reason=reason):
                logging.warning(
                    'event=bundle-rejected offset=%d operator=%s '
                    'version=%s reason="%s"',
                    offset,
                    outcome.operator or '-',
                    outcome.version or '-',
                    reason,
                )
            case bundle_chain.Accepted() | bundle_chain.Refresh():
                self.republisher.head_time = time_s
                self.last_change = self.clock()
                self._put_in_force()

    def _put_in_force(self) -> None:
        """Take over the chain's head, once that is certain."""
        head = self.chain.head
        if head is None or head is self.head or not self.chain.anchored:
            return
        if self.head is None or self.head.digest != head.digest:
            logging.info(
                'event=bundle-in-force offset=%d version=%s operator=%s '
                'digest=%s',
                head.offset,
                head.version,
                head.operator,
                head.digest.hex()[:SHOWN_DIGITS],
            )
        else:
            logging.info('event=bundle-refreshed offset=%d', head.offset)
        self.head = head
        self.first_loaded.set()
        self.changed.set()
        for listener in self.listeners:
            listener(head)

    def _settle(self, page: ports.LogPage) -> None:
        """Anchor an unanchored chain that has read all of the log."""
        chain = self.chain
        if chain.anchored or chain.head is None:
            return
        if chain.position < page.head:
            return
        if (
            chain.has_conflict
            and self.clock() - self.last_change < head_republisher.SETTLE_S
        ):
            return
        chain.anchor()
        self._put_in_force()

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
        elif offset < self.head.offset:
            self._send_on(link, messages.BundleHead(self.head.offset))

    def _send_copy(
        self, link: ports.Link, fetch: messages.FetchBundle
    ) -> None:
        """Answer a peer that asks for the head."""
        head = self.head
        if head is not None and head.offset > fetch.above_offset:
            copy = messages.BundleCopy(
                fetch.query_id, head.offset, head.record
            )
        else:
            copy = messages.BundleCopy(fetch.query_id, -1, b'')
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
        names = sorted(self.list_peers())
        if not names:
            return None
        return names[int(self.generator.integers(len(names)))]
