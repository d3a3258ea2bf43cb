"""Find the server whose engine holds a returning chat's cache."""

import asyncio
import itertools

from absl import logging

from arbutusvale import errors
from arbutusvale.protocol import bundle
from arbutusvale.protocol import messages
from arbutusvale.protocol import ports
from arbutusvale.state import directory
from arbutusvale.state import fleet
from arbutusvale.state import rendezvous

LOCATE_TIMEOUT_S = 0.02


class Locator:
    """Keep the directory of the chats whose home this sidecar is."""

    def __init__(
        self,
        vm: str,
        pool: str,
        places: directory.Directory,
        known: fleet.Fleet,
        links: ports.Links,
    ):
        self.vm = vm
        self.pool = pool
        self.directory = places
        self.fleet = known
        self.links = links
        self.queries = itertools.count(1)
        self.answers: dict[int, asyncio.Future] = {}

    async def find_holder(
        self, submit: messages.Submit, pool: bundle.Pool
    ) -> str:
        """Return the VM that last ran the chat; empty when not known."""
        return self.directory.find(submit.chat)

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
            locate.query, self.directory.find(locate.chat)
        )
        try:
            link.send(found)
        except errors.LinkClosed:
            logging.info('event=locate-reply-lost mate=%s', link.vm)

    def receive_located(self, located: messages.Located) -> None:
        """Hand a mate's answer to the waiting request."""
        answer = self.answers.get(located.query)
        if answer is not None and not answer.done():
            answer.set_result(located.vm)

    def home_of(self, chat: str) -> str:
        """Return the chat's first choice by the own VM list."""
        return rendezvous.first(
            chat, (vm.name for vm in self.fleet.list_live(self.pool))
        )
