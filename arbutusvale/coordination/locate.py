"""Find the server whose engine holds a returning chat's cache."""

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


class Locator:
    """Keep the directory of the chats whose home this sidecar is.

    A home that is younger than the policy's horizon, or has missed cache
    events, asks the next in rank for chats that it does not know: that
    one was their home before this one joined or came back.
    """

    def __init__(
        self,
        vm: str,
        pool: str,
        places: directory.Directory,
        known: fleet.Fleet,
        links: ports.Links,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.vm = vm
        self.pool = pool
        self.directory = places
        self.fleet = known
        self.links = links
        self.clock = clock
        self.home_since = clock()
        self.listed = False
        self.queries = itertools.count(1)
        self.answers: dict[int, asyncio.Future] = {}

    async def find_holder(
        self, submit: messages.Submit, pool: bundle.Pool
    ) -> str:
        """Return the VM that last ran the chat; empty when not known."""
        known = self.directory.find(submit.chat)
        if known or submit.first_turn or not self._may_have_missed(pool):
            return known
        ranked = self.fleet.rank(self.pool, submit.chat, 2)
        if self.vm not in (submit.home, *ranked[:1]):
            return ''
        following = [name for name in ranked if name != self.vm][:1]
        if not following:
            return ''
        holder = await self._ask(following[0], submit.chat)
        self.directory.record(submit.chat, holder)
        return holder

    def follow_fleet(self) -> None:
        """Note when the VM list names this VM as live again."""
        listed = self.vm in self._list_live()
        if listed and not self.listed:
            self.home_since = self.clock()
        self.listed = listed

    def _may_have_missed(self, pool: bundle.Pool) -> bool:
        """Tell whether an unknown chat may have a home elsewhere."""
        match pool.policy:
            case bundle.DirectoryPolicy(horizon_s=horizon_s):
                age_s = self.clock() - self.home_since
                return self.directory.uncertain or age_s < horizon_s
            case _:
                return False

    async def _ask(self, mate: str, chat: str) -> str:
        """Ask a mate where a chat ran last; empty when not known in time."""
        query = next(self.queries)
        answer = asyncio.get_running_loop().create_future()
        self.answers[query] = answer
        holder = ''
        try:
            async with asyncio.timeout(LOCATE_TIMEOUT_S):
                link = await self.links.get(mate)
                link.send(messages.Locate(query, chat))
                holder = await answer
        except (errors.LinkClosed, TimeoutError):
            logging.info('event=locate-unanswered mate=%s', mate)
        finally:
            del self.answers[query]
        logging.info(
            'event=locate chat=%s mate=%s holder=%s', chat[:8], mate, holder
        )
        return holder

    def note_run(self, chat: str) -> None:
        """Note that the own engine runs a chat now."""
        self.directory.record(chat, self.vm)

    def receive_placed(self, placed: messages.Placed) -> None:
        """Note that another server ran a chat of this home."""
        self.directory.record(placed.chat, placed.vm)

    def receive_hand_over(self, hand_over: messages.HandOver) -> None:
        """Take over entries of a leaving home."""
        learned = self.directory.learn(hand_over.placements)
        logging.info(
            'event=hand-over-received entries=%d learned=%d',
            len(hand_over.placements),
            learned,
        )

    def receive_locate(
        self, link: ports.Link, locate: messages.Locate
    ) -> None:
        """Answer a mate that asks where a chat ran last."""
        found = messages.Located(
            locate.query_id, self.directory.find(locate.chat)
        )
        try:
            link.send(found)
        except errors.LinkClosed:
            logging.info('event=locate-reply-lost mate=%s', link.vm)

    def receive_located(self, located: messages.Located) -> None:
        """Hand a mate's answer to the waiting request."""
        answer = self.answers.get(located.query_id)
        if answer is not None and not answer.done():
            answer.set_result(located.vm)

    def _list_live(self) -> list[str]:
        """List the names of the pool's live VMs."""
        return [vm.name for vm in self.fleet.list_live(self.pool)]
