"""Buffer for the chunks of one answer until they are acknowledged."""

MAX_CHUNK_BYTES = 16 * 1024


# Objects of one chunk, without its bytes.
_CHUNK_COST_BYTES = 128


class ChunkBuffer:
    """Queue of consecutively numbered chunks of a body.

    Small pieces are merged until their chunk is read or has its full size.

    ``first_number`` is the lowest number in the buffer, or the next one if
    it is empty; ``end_offsets`` are the body offsets at which its chunks
    end.  ``total_bytes`` counts dropped chunks as well.
    """

    def __init__(self):
        self.first_number = 0
        # The last one is a bytearray while pieces may be added to it.
        self.chunks: list[bytes | bytearray] = []
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

    @property
    def cost_bytes(self) -> int:
        """Memory that the buffer takes, with that of its objects."""
        return self.buffered_bytes + _CHUNK_COST_BYTES * len(self.chunks)

    def add(self, piece: bytes) -> None:
        """Append a piece of the body, merged or split to bounded chunks."""
        start = self._fill_last_chunk(piece)
        while start < len(piece):
            chunk = piece[start : start + MAX_CHUNK_BYTES]
            start += len(chunk)
            if len(chunk) < MAX_CHUNK_BYTES:
                chunk = bytearray(chunk)
            self.chunks.append(chunk)
            self.total_bytes += len(chunk)
            self.end_offsets.append(self.total_bytes)

    def get(self, number: int) -> bytes:
        """Return one chunk of the buffer, which stays as it is from now on."""
        index = number - self.first_number
        chunk = bytes(self.chunks[index])
        self.chunks[index] = chunk
        return chunk

    def merge(self) -> list[bytes]:
        """Return the buffered part of the body in chunks of full size."""
        body = b''.join(self.chunks)
        return [
            body[start : start + MAX_CHUNK_BYTES]
            for start in range(0, len(body), MAX_CHUNK_BYTES)
        ]

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

    def _fill_last_chunk(self, piece: bytes) -> int:
        """Add to an unread last chunk; return how many bytes were added."""
        if not self.chunks or not isinstance(self.chunks[-1], bytearray):
            return 0
        last = self.chunks[-1]
        added = piece[: MAX_CHUNK_BYTES - len(last)]
        last += added
        self.total_bytes += len(added)
        self.end_offsets[-1] = self.total_bytes
        if len(last) == MAX_CHUNK_BYTES:
            self.chunks[-1] = bytes(last)
        return len(added)

    def _offset_of(self, number: int) -> int:
        """Return the offset in the body at which chunk ``number`` starts."""
        index = number - self.first_number
        return self.end_offsets[index - 1] if index > 0 else self.dropped_bytes
