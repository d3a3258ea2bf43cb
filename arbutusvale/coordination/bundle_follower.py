"""Follower of the ``config`` stream that tracks the active bundle.

The log is the source of truth.  Peers help a process that starts during an
outage of the log, that missed expired records or that does not receive the
log's responses.  A process without a bundle accepts a peer's copy if the
fleet key authenticated the link and an operator of its settings signed the
record; a process with a bundle also accepts the operators of that bundle.
So once bundles have replaced all initial operators, the settings of new
processes must name the new ones.  A process that reaches neither the log
nor a peer has no bundle, and ``first_loaded`` stays unset.
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
MAX_POLL_MARGIN_S = 5.0
POLL_MARGIN_DECAY = 0.9
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
ANNOUNCE_INTERVAL_S = 10.0
CATCH_UP_TIMEOUT_S = 2.0
LOGGED_DIGEST_DIGITS = 12


class BundleFollower:
    """Consumer of the stream that also serves copies of its head to peers.

    ``head`` is the active bundle, None until the first one is confirmed.
    ``list_peers`` returns the VMs that accept links.  ``listeners`` are
    called with the head after each change, even of its offset alone.
    ``wall_clock`` is compared with the timestamps of log records.
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
        self.head_changed = asyncio.Event()
        self.last_changed_at = clock()
        self.poll_margin_s = POLL_MARGIN_S
        self.query_count = 0
        self.head: bundle_chain.ActiveBundle | None = None
        self.republisher = head_republisher.HeadRepublisher(
            log,
            lambda: self.head,
            lambda: self._read_page(0.0),
            list_peers,
            self.generator,
            wall_clock,
        )

    async def run(self) -> None:
        """Poll the log and announce the head to peers until cancelled."""
        announce_task = asyncio.create_task(self._announce_head())
        try:
            await self._poll_log()
        finally:
            announce_task.cancel()
            self.republisher.stop()

    async def catch_up(self, offset: int, peer_vm: str) -> bool:
        """Advance to ``offset``, that of the head of ``peer_vm``.

        Fetches from the peer and the log; returns whether the head reached
        the offset within ``CATCH_UP_TIMEOUT_S``.
        """
        if self._has_reached(offset):
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                await self._fetch_from(peer_vm)
                with contextlib.suppress(errors.ArbutusvaleError):
                    await self._read_page(0.0)
                while not self._has_reached(offset):
                    self.head_changed.clear()
                    await self.head_changed.wait()
        return self._has_reached(offset)

    async def poll_once(self) -> None:
        """Check once for a newer bundle in the log, or else with a peer."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                try:
                    await self._read_page(0.0)
                except errors.LogUnavailable:
                    await self._fetch_from_any()

    async def receive(
        self, link: ports.Link, message: messages.Message
    ) -> bool:
        """Handle a peer's message; False if it is not about bundles."""
        match message:
            case messages.BundleHead(offset=offset):
                self._on_peer_head(link, offset)
            case messages.FetchBundle():
                self._send_copy(link, message)
            case messages.BundleCopy(offset=offset, record=record):
                if record:
                    self._handle_outcome(
                        self.chain.adopt(offset, record), None
                    )
            case _:
                return False
        return True

    def _has_reached(self, offset: int) -> bool:
        """Return whether the head is at ``offset`` or later."""
        return self.head is not None and self.head.offset >= offset

    async def _poll_log(self) -> None:
        """Poll the log; ask peers while it is unavailable."""
        delay = RETRY_MIN_S
        while True:
            try:
                await self._read_page(POLL_WAIT_S)
                delay = RETRY_MIN_S
                continue
            except errors.LogUnavailable as error:
                logging.warning('event=config-unread why="%s"', error.problem)
            await self._fetch_from_any()
            await asyncio.sleep(delay * self.generator.uniform(0.5, 1.0))
            delay = min(2 * delay, RETRY_MAX_S)

    async def _read_page(self, wait_s: float) -> None:
        """Read one page and apply it; raises :class:`LogUnavailable`.

        ``wait_s`` is how long the log may hold the request while there is
        no new record.  A short margin on top of it detects a dead
        connection soon; it grows while the log is merely slow.
        """
        try:
            async with asyncio.timeout(wait_s + self.poll_margin_s):
                page = await self.log.read(
                    signing.STREAM, self.chain.position, wait_s
                )
            self.poll_margin_s = max(
                POLL_MARGIN_S, POLL_MARGIN_DECAY * self.poll_margin_s
            )
        except TimeoutError as error:
            self.poll_margin_s = min(2 * self.poll_margin_s, MAX_POLL_MARGIN_S)
            raise errors.LogUnavailable(
                signing.STREAM, 'the read timed out'
            ) from error
        except errors.OffsetExpired as error:
            await self._skip_expired(error.oldest)
            return
        for record in page.records:
            self._apply_record(record)
        self._anchor_at_log_end(page)
        if self.chain.anchored:
            await self.republisher.republish_before_expiry(page.retention)

    async def _skip_expired(self, oldest: int) -> None:
        """Continue at the oldest retained record and ask a peer as well."""
        logging.warning(
            'event=config-expired position=%d oldest=%d',
            self.chain.position,
            oldest,
        )
        self.chain.skip_expired(oldest)
        await self._fetch_from_any()

    def _apply_record(self, record: ports.LogRecord) -> None:
        """Apply one record of the log and log the outcome."""
        outcome = self.chain.apply(record.offset, record.data)
        self._handle_outcome(outcome, record.time)
        if isinstance(outcome, bundle_chain.Rejected) and outcome.version:
            self.republisher.republish_after_rejection(outcome.offset)

    def _handle_outcome(
        self, outcome: bundle_chain.Outcome, time_s: float | None
    ) -> None:
        """Log an outcome and activate a new head.

        ``time_s`` is when the log appended the record, None if unknown.
        """
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
                self.republisher.head_appended_at = time_s
                self.last_changed_at = self.clock()
                self._activate_head()

    def _activate_head(self) -> None:
        """Make the chain's head the active bundle once it is anchored."""
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
                head.digest.hex()[:LOGGED_DIGEST_DIGITS],
            )
        else:
            logging.info('event=bundle-refreshed offset=%d', head.offset)
        self.head = head
        self.first_loaded.set()
        self.head_changed.set()
        for listener in self.listeners:
            listener(head)

    def _anchor_at_log_end(self, page: ports.LogPage) -> None:
        """Anchor an unanchored chain that has reached the end of the log.

        After conflicting records this waits until no record has changed
        the head for ``CONFLICT_WAIT_S``, so that other processes have had
        the time to append the head again.
        """
        chain = self.chain
        if chain.anchored or chain.head is None:
            return
        if chain.position < page.head:
            return
        if (
            chain.has_conflict
            and self.clock() - self.last_changed_at
            < head_republisher.CONFLICT_WAIT_S
        ):
            return
        chain.anchor()
        self._activate_head()

    async def _announce_head(self) -> None:
        """Announce this process's head to random peers, with jitter."""
        while True:
            await asyncio.sleep(
                ANNOUNCE_INTERVAL_S * self.generator.uniform(0.5, 1.5)
            )
            vm = self._choose_peer()
            if vm is not None and self.head is not None:
                await self._send_to_vm(
                    vm, messages.BundleHead(self.head.offset)
                )

    def _on_peer_head(self, link: ports.Link, offset: int) -> None:
        """Fetch a newer head from its sender, or announce a newer one."""
        if self.head is None or offset > self.head.offset:
            self._send_on_link(link, self._make_fetch_request())
        elif offset < self.head.offset:
            self._send_on_link(link, messages.BundleHead(self.head.offset))

    def _send_copy(
        self, link: ports.Link, fetch: messages.FetchBundle
    ) -> None:
        """Reply to a peer that asks for a head newer than its own."""
        head = self.head
        if head is not None and head.offset > fetch.above_offset:
            copy = messages.BundleCopy(
                fetch.query_id, head.offset, head.record
            )
        else:
            copy = messages.BundleCopy(fetch.query_id, -1, b'')
        self._send_on_link(link, copy)

    def _make_fetch_request(self) -> messages.FetchBundle:
        """Build a request for a newer head than that of this process."""
        self.query_count += 1
        own_offset = self.head.offset if self.head is not None else -1
        return messages.FetchBundle(self.query_count, own_offset)

    async def _fetch_from_any(self) -> None:
        """Ask a random peer for its head."""
        vm = self._choose_peer()
        if vm is not None:
            await self._fetch_from(vm)

    async def _fetch_from(self, vm: str) -> None:
        """Ask one peer for its head; the reply arrives in ``receive``."""
        await self._send_to_vm(vm, self._make_fetch_request())

    async def _send_to_vm(self, vm: str, message: messages.Message) -> None:
        """Send to a VM; do nothing if it cannot be reached."""
        if self.links is None or not vm:
            return
        with contextlib.suppress(errors.LinkClosed):
            link = await self.links.get(vm)
            link.send(message)

    def _send_on_link(
        self, link: ports.Link, message: messages.Message
    ) -> None:
        """Send on a link; do nothing if it has closed."""
        with contextlib.suppress(errors.LinkClosed):
            link.send(message)

    def _choose_peer(self) -> str | None:
        """Choose a peer at random."""
        names = sorted(self.list_peers())
        if not names:
            return None
        return names[int(self.generator.integers(len(names)))]
