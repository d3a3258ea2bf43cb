"""Buffer of a message body that arrives in pieces of any size."""

import sys


class BodyBuffer:
    """Bytes that are appended in pieces and taken as a whole.

    Pieces are joined as they arrive, since an object for each small piece
    would take many times its payload.  A single piece isn't copied.
    """

    __slots__ = ('data',)

    def __init__(self) -> None:
        self.data: bytes | bytearray = b''

    def append(self, data: bytes) -> None:
        """Append a piece."""
        if not self.data:
            self.data = data
            return
        if isinstance(self.data, bytes):
            self.data = bytearray(self.data)
        self.data += data

    def take(self) -> bytes:
        """Return the content and clear the buffer."""
        data, self.data = self.data, b''
        return bytes(data)

    def allocated_bytes(self) -> int:
        """Return the memory that the content takes; 0 if it is empty."""
        return sys.getsizeof(self.data) if self.data else 0
