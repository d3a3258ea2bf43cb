"""Buffer for the chunks of one answer until they are acknowledged."""

MAX_CHUNK_BYTES = 16 * 1024


class ChunkBuffer:
    """Queue of consecutively numbered chunks of a body.

    ``first_number`` is the lowest number in the buffer, or the next one if
    it is empty; ``end_offsets`` are the body offsets at which its chunks
    end.  ``total_bytes`` counts dropped chunks as well.
    """

    def __init__(self):
        self.first_number = 0
        self.chunks: list[bytes] = []
        self.end_offsets: list[int] = []
        self.total_bytes = 0
        self.dropped_bytes = 0

    @property
    def next_number(self) -> int:
        """Number of the next chunk to be added."""
        return self.first_number + len(self.chunks)

    @property
    def buffered_bytes(self) -> int:
        """Size of the chunks in the buffer."""
        return self.total_bytes - self.dropped_bytes

    def add(self, piece: bytes) -> None:
        """Append a piece of the body, split into chunks of bounded size."""
        for start in range(0, len(piece), MAX_CHUNK_BYTES):
            chunk = piece[start : start + MAX_CHUNK_BYTES]
            self.chunks.append(chunk)
            self.total_bytes += len(chunk)
            self.end_offsets.append(self.total_bytes)

    def get(self, number: int) -> bytes:
        """Return one chunk of the buffer."""
        return self.chunks[number - self.first_number]

    def count_bytes(self, start: int, stop: int) -> int:
        """Return the size of the chunks from ``start`` up to ``stop``."""
        return self._offset_of(stop) - self._offset_of(start)

    def drop_below(self, number: int) -> None:
        """Drop the chunks with numbers below ``number``."""
        count = number - self.first_number
        if count <= 0:
            return
        self.dropped_bytes = self._offset_of(number)
        del self.chunks[:count]
        del self.end_offsets[:count]
        self.first_number = number

    def _offset_of(self, number: int) -> int:
        """Return the offset in the body at which chunk ``number`` starts."""
        index = number - self.first_number
        return self.end_offsets[index - 1] if index > 0 else self.dropped_bytes
