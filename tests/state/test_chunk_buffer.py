import tracemalloc

import pytest

from arbutusvale.state import chunk_buffer

BODY_BYTES = 512 * 1024


def fill(size):
    buffer = chunk_buffer.ChunkBuffer()
    for number in range(BODY_BYTES // size):
        buffer.add(bytes([number % 256]) * size)
    return buffer


@pytest.mark.parametrize('size', [1, 2])
def test_small_pieces_take_little_more_memory_than_their_bytes(size):
    tracemalloc.start()
    try:
        buffer = fill(size)
        taken_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert buffer.buffered_bytes == BODY_BYTES
    assert taken_bytes < 2 * BODY_BYTES


def test_chunk_that_was_read_stays_as_it_is():
    buffer = chunk_buffer.ChunkBuffer()
    buffer.add(b'a')
    buffer.add(b'b')
    assert buffer.next_number == 1
    assert buffer.get(0) == b'ab'
    buffer.add(b'c')
    assert (buffer.get(0), buffer.get(1)) == (b'ab', b'c')
    buffer.drop_below(1)
    assert buffer.get(1) == b'c'
    assert buffer.buffered_bytes == 1
    assert buffer.count_bytes(1, 2) == 1


def test_cost_counts_the_objects_of_chunks():
    buffer = chunk_buffer.ChunkBuffer()
    for number in range(1000):
        buffer.add(b'a')
        buffer.get(number)
    assert buffer.buffered_bytes == 1000
    assert buffer.cost_bytes > 50 * 1000
    assert buffer.merge() == [b'a' * 1000]


def test_pieces_of_any_size_give_the_same_body():
    buffer = chunk_buffer.ChunkBuffer()
    pieces = [bytes([n]) * (n * 997) for n in range(1, 60)]
    for piece in pieces:
        buffer.add(piece)
    body = b''.join(pieces)
    chunks = [buffer.get(n) for n in range(buffer.next_number)]
    assert b''.join(chunks) == b''.join(buffer.merge()) == body
    assert buffer.total_bytes == len(body)
    assert all(len(c) <= chunk_buffer.MAX_CHUNK_BYTES for c in chunks)
    sizes = [buffer.count_bytes(n, n + 1) for n in range(len(chunks))]
    assert sizes == [len(chunk) for chunk in chunks]
