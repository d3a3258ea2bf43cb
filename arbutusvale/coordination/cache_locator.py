"""Lookup of the VM whose engine caches a returning chat."""

import asyncio
from collections.abc import Callable
import itertools
import time

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import bundle
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import directory
from arbutusvale.state import fleet

LOCATE_TIMEOUT_S = 0.05


class CacheLocator:
    """Cache directory of the chats whose home is this sidecar.

    The home of a chat is the live VM of the pool that rendezvous hashing
    ranks first for it.  A home that joined or came back within the policy's
    horizon, or that missed cache events, queries the VM next in rank about
    a chat that it does not know: that VM was the home before.
    """

    def __init__(
        self,
        vm: str,
        pool: str,
        cache_directory: directory.Directory,
        vm_fleet: fleet.Fleet,
        links: ports.Links,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.vm = vm
        self.pool = pool
        self.directory = cache_directory
        self.fleet = vm_fleet
        self.links = links
        self.clock = clock
        self.home_since = clock()
        self.is_listed = False
        self.query_ids = itertools.count(1)
        self.pending_queries: dict[int, asyncio.Future] = {}

    async def find_cache_holder(
        self, submit: messages.Submit, pool: bundle.Pool
    ) -> str:
        """Return the VM that last ran the chat; empty if not known."""
        last_vm = self.directory.find(submit.chat)
        if (
            last_vm
            or submit.first_turn
            or not self._may_be_known_elsewhere(pool)
        ):
            return last_vm
        ranked = self.fleet.rank(self.pool, submit.chat, 2)
        if self.vm not in (submit.home, *ranked[:1]):
            return ''
        next_ranked = [name for name in ranked if name != self.vm][:1]
        if not next_ranked:
            return ''
        holder = await self._query_peer(next_ranked[0], submit.chat)
        self.directory.record(submit.chat, holder)
        return holder

    def on_vm_list_changed(self) -> None:
        """Restart the horizon when the VM list names this VM as live again."""
        is_listed = self.vm in self._list_live()
        if is_listed and not self.is_listed:
            self.home_since = self.clock()
        self.is_listed = is_listed

    def _may_be_known_elsewhere(self, pool: bundle.Pool) -> bool:
        """Return whether a peer may know a chat that is unknown here."""
        match pool.policy:
            case bundle.DirectoryPolicy(horizon_s=horizon_s):
                age_s = self.clock() - self.home_since
                return self.directory.may_be_stale or age_s < horizon_s
            case _:
                return False

    async def _query_peer(self, peer: str, chat: str) -> str:
        """Query a peer for the VM that last ran a chat.

        Return an empty name if the peer does not know it or does not answer
        within ``LOCATE_TIMEOUT_S``.
        """
        query = next(self.query_ids)
        answer = asyncio.get_running_loop().create_future()
        self.pending_queries[query] = answer
        holder = ''
        try:
            async with asyncio.timeout(LOCATE_TIMEOUT_S):
                link = await self.links.get(peer)
                link.send(messages.Locate(query, chat))
                holder = await answer
        except (errors.LinkClosed, TimeoutError):
            logging.info('event=locate-unanswered mate=%s', peer)
        finally:
            del self.pending_queries[query]
        logging.info(
            'event=locate chat=%s mate=%s holder=%s', chat[:8], peer, holder
        )
        return holder

    def record_run(self, chat: str) -> None:
        """Record that the own engine runs a chat now."""
        self.directory.record(chat, self.vm)

    def receive_placed(self, placed: messages.Placed) -> None:
        """Record that another VM ran a chat whose home is here."""
        self.directory.record(placed.chat, placed.vm)

    def receive_hand_over(self, hand_over: messages.HandOver) -> None:
        """Add the entries of a leaving home for chats not yet known."""
        learned = self.directory.add_missing(hand_over.placements)
        logging.info(
            'event=hand-over-received entries=%d learned=%d',
            len(hand_over.placements),
            learned,
        )

    def receive_locate(
        self, link: ports.Link, locate: messages.Locate
    ) -> None:
        """Answer a peer's query for the VM that last ran a chat."""
        reply = messages.Located(
            locate.query_id, self.directory.find(locate.chat)
        )
        try:
            link.send(reply)
        except errors.LinkClosed:
            logging.info('event=locate-reply-lost mate=%s', link.vm)

    def receive_located(self, located: messages.Located) -> None:
        """Pass a peer's answer to the query that waits for it."""
        answer = self.pending_queries.get(located.query_id)
        if answer is not None and not answer.done():
            answer.set_result(located.vm)

    def _list_live(self) -> list[str]:
        """List the names of the pool's live VMs."""
        return [vm.name for vm in self.fleet.list_live(self.pool)]
