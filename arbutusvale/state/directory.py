"""Remember which server of a pool last ran a chat."""

import collections
from collections.abc import Iterable

from arbutusvale.protocol import messages


class Directory:
    """Hold a bounded, least recently used table from chat to VM.

    The table is soft: a lost entry costs a cache miss.  ``may_be_stale``
    says that evictions at the own engine may have been missed, so that an
    entry may be out of date and a missing one proves nothing.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.vm_by_chat: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.may_be_stale = False

    def resize(self, capacity: int) -> None:
        """Change the capacity, dropping the oldest entries at need."""
        self.capacity = capacity
        while len(self.vm_by_chat) > capacity:
            self.vm_by_chat.popitem(last=False)

    def record(self, chat: str, vm: str) -> None:
        """Remember that ``vm`` last ran the chat."""
        if not (chat and vm):
            return
        self.vm_by_chat[chat] = vm
        self.vm_by_chat.move_to_end(chat)
        if len(self.vm_by_chat) > self.capacity:
            self.vm_by_chat.popitem(last=False)

    def find(self, chat: str) -> str:
        """Return the VM that last ran the chat; empty when not known."""
        vm = self.vm_by_chat.get(chat, '')
        if vm:
            self.vm_by_chat.move_to_end(chat)
        return vm

    def remove(self, chat: str, vm: str) -> None:
        """Drop the chat's entry if it still names ``vm``."""
        if self.vm_by_chat.get(chat) == vm:
            del self.vm_by_chat[chat]

    def remove_vm(self, vm: str) -> int:
        """Drop every entry of a VM and return how many there were."""
        chats = [
            chat for chat, place in self.vm_by_chat.items() if place == vm
        ]
        for chat in chats:
            del self.vm_by_chat[chat]
        return len(chats)

    def add_missing(self, placements: Iterable[messages.Placement]) -> int:
        """Take over entries for chats that are not known yet."""
        learned = 0
        for placement in placements:
            if placement.chat not in self.vm_by_chat:
                self.record(placement.chat, placement.vm)
                learned += 1
        return learned

    def export(self) -> list[messages.Placement]:
        """List all entries, the most recently used first."""
        return [
            messages.Placement(chat, vm)
            for chat, vm in reversed(self.vm_by_chat.items())
        ]
