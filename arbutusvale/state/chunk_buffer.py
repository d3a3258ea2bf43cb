"""Hold the numbered chunks of one answer until they are acknowledged."""

MAX_CHUNK_BYTES = 16 * 1024


class ChunkBuffer:
    """Number the chunks of a body and drop them from the front.

    ``first_number`` is the lowest number held, ``next_number`` the one
    that the next chunk gets.
    """

    def __init__(self):
        self.first_number = 0
        self.chunks: list[bytes] = []
        self.ends: list[int] = []
        self.total_bytes = 0
        self.dropped_bytes = 0

    @property
    def next_number(self) -> int:
        """Number that the next chunk gets."""
        return self.first_number + len(self.chunks)

    @property
    def buffered_bytes(self) -> int:
        """Size of the chunks held."""
        return self.total_bytes - self.dropped_bytes

    def add(self, piece: bytes) -> None:
        """Append a piece of the body, split into chunks of bounded size."""
        for start in range(0, len(piece), MAX_CHUNK_BYTES):
            chunk = piece[start : start + MAX_CHUNK_BYTES]
            self.chunks.append(chunk)
            self.total_bytes += len(chunk)
            self.ends.append(self.total_bytes)

    def get(self, number: int) -> bytes:
        """Return one held chunk."""
        return self.chunks[number - self.first_number]

    def count_bytes(self, start: int, stop: int) -> int:
        """Return the size of the held chunks from ``start`` to ``stop``."""
        return self._end_of(stop) - self._end_of(start)

    def drop_below(self, number: int) -> None:
        """Drop the chunks with lower numbers."""
        count = number - self.first_number
        if count <= 0:
            return
        self.dropped_bytes = self._end_of(number)
        del self.chunks[:count]
        del self.ends[:count]
        self.first_number = number

    def _end_of(self, number: int) -> int:
        """Return the body's size before chunk ``number``."""
        index = number - self.first_number
        return self.ends[index - 1] if index > 0 else self.dropped_bytes
