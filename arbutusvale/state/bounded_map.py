"""Keep the values of keys that were used of late, a bounded number."""

import collections
from typing import TypeVar

Value = TypeVar('Value')


class BoundedMap(collections.OrderedDict[str, Value]):
    """Map keys to values; the key that was put longest ago yields."""

    def __init__(self, max_entries: int):
        super().__init__()
        self.max_entries = max_entries

    def put(self, key: str, value: Value) -> None:
        """Set the value of a key, and drop the oldest beyond the bound."""
        self[key] = value
        self.move_to_end(key)
        if len(self) > self.max_entries:
            self.popitem(last=False)
