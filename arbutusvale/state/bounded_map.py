"""A map of bounded size that evicts the least recently set key."""

import collections
from typing import TypeVar

Value = TypeVar('Value')


class BoundedMap(collections.OrderedDict[str, Value]):
    """A map of at most ``max_entries`` keys; only ``put`` renews a key."""

    def __init__(self, max_entries: int):
        super().__init__()
        self.max_entries = max_entries

    def put(self, key: str, value: Value) -> None:
        """Set the value of a key; evict the oldest key beyond the limit."""
        self[key] = value
        self.move_to_end(key)
        if len(self) > self.max_entries:
            self.popitem(last=False)
