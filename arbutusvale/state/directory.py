"""Directory of the VMs whose servers last ran each chat."""

import collections
from collections.abc import Iterable

from arbutusvale.protocol import messages


class Directory:
    """Bounded map with LRU eviction from a chat's digest to a VM.

    The entries are soft state: a lost one costs a cache miss.
    ``may_be_stale`` is set if cache evictions of this VM's engine may have
    been missed: an entry may be outdated, and a missing entry does not mean
    that the chat is cached nowhere.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.vm_by_chat: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.may_be_stale = False

    def resize(self, capacity: int) -> None:
        """Change the capacity; evict the least recently used if needed."""
        self.capacity = capacity
        while len(self.vm_by_chat) > capacity:
            self.vm_by_chat.popitem(last=False)

    def record(self, chat: str, vm: str) -> None:
        """Record that ``vm`` last ran the chat; ignore empty names."""
        if not (chat and vm):
            return
        self.vm_by_chat[chat] = vm
        self.vm_by_chat.move_to_end(chat)
        if len(self.vm_by_chat) > self.capacity:
            self.vm_by_chat.popitem(last=False)

    def find(self, chat: str) -> str:
        """Return the VM that last ran the chat; empty if unknown."""
        vm = self.vm_by_chat.get(chat, '')
        if vm:
            self.vm_by_chat.move_to_end(chat)
        return vm

    def remove(self, chat: str, vm: str) -> None:
        """Remove the chat's entry if it still names ``vm``."""
        if self.vm_by_chat.get(chat) == vm:
            del self.vm_by_chat[chat]

    def remove_vm(self, vm: str) -> int:
        """Remove all entries of a VM; return their number."""
        chats = [
            chat for chat, last_vm in self.vm_by_chat.items() if last_vm == vm
        ]
        for chat in chats:
            del self.vm_by_chat[chat]
        return len(chats)

    def add_missing(self, placements: Iterable[messages.Placement]) -> int:
        """Add entries of chats that have none yet; return their number."""
        added = 0
        for placement in placements:
            if placement.chat not in self.vm_by_chat:
                self.record(placement.chat, placement.vm)
                added += 1
        return added

    def export(self) -> list[messages.Placement]:
        """List all entries, the most recently used first."""
        return [
            messages.Placement(chat, vm)
            for chat, vm in reversed(self.vm_by_chat.items())
        ]
