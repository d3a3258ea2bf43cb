"""Remember which server of a pool last ran a chat."""

import collections
from collections.abc import Iterable

from arbutusvale.protocol import messages


class Directory:
    """Hold a bounded, least recently used table from chat to VM.

    The table is soft: a lost entry costs a cache miss.  ``uncertain``
    says that evictions at the own engine may have been missed, so that an
    entry may be out of date and a missing one proves nothing.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.places: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.uncertain = False

    def resize(self, capacity: int) -> None:
        """Change the capacity, dropping the oldest entries at need."""
        self.capacity = capacity
        while len(self.places) > capacity:
            self.places.popitem(last=False)

    def record(self, chat: str, vm: str) -> None:
        """Remember that ``vm`` last ran the chat."""
        if not (chat and vm):
            return
        self.places[chat] = vm
        self.places.move_to_end(chat)
        if len(self.places) > self.capacity:
            self.places.popitem(last=False)

    def find(self, chat: str) -> str:
        """Return the VM that last ran the chat; empty when not known."""
        vm = self.places.get(chat, '')
        if vm:
            self.places.move_to_end(chat)
        return vm

    def forget(self, chat: str, vm: str) -> None:
        """Drop the chat's entry if it still names ``vm``."""
        if self.places.get(chat) == vm:
            del self.places[chat]

    def forget_vm(self, vm: str) -> int:
        """Drop every entry of a VM and return how many there were."""
        chats = [chat for chat, place in self.places.items() if place == vm]
        for chat in chats:
            del self.places[chat]
        return len(chats)

    def learn(self, placements: Iterable[messages.Placement]) -> int:
        """Take over entries for chats that are not known yet."""
        learned = 0
        for placement in placements:
            if placement.chat not in self.places:
                self.record(placement.chat, placement.vm)
                learned += 1
        return learned

    def export(self) -> list[messages.Placement]:
        """List all entries, the most recently used first."""
        return [
            messages.Placement(chat, vm)
            for chat, vm in reversed(self.places.items())
        ]
