"""Event streams are split at the ends of events, however bytes arrive."""

import random
import tracemalloc

from hypothesis import given
from hypothesis import strategies
import pytest

from arbutusvale.coordination import event_stream
from arbutusvale.state import byte_budget

EVENTS = b''.join(b'id: %d\ndata: piece %d\n\n' % (n, n) for n in range(1, 30))


@given(strategies.integers(0, 10**6))
def test_events_are_complete_however_the_bytes_are_split(seed):
    generator = random.Random(seed)
    event_buffer = event_stream.EventBuffer(None)
    output, remaining = b'', EVENTS
    while remaining:
        size = generator.randint(1, 40)
        output += event_buffer.feed(remaining[:size])
        remaining = remaining[size:]
    assert output == EVENTS
    assert event_buffer.partial == b''
    assert event_buffer.last_event_id == 29


@given(strategies.integers(0, len(EVENTS)))
def test_resumed_stream_has_neither_gap_nor_duplicate(broken_at):
    event_buffer = event_stream.EventBuffer(None)
    output = event_buffer.feed(EVENTS[:broken_at])
    event_buffer.discard_partial()
    first = (event_buffer.last_event_id or 0) + 1
    remaining = (
        EVENTS[EVENTS.index(b'id: %d\n' % first) :] if first < 30 else b''
    )
    assert output + event_buffer.feed(remaining) == EVENTS


def test_events_with_crlf_line_ends_are_split():
    event_buffer = event_stream.EventBuffer(4)
    assert event_buffer.last_event_id == 4
    assert event_buffer.feed(b'id: 5\r\ndata: x\r\n\r\nid: 6\r\n') == (
        b'id: 5\r\ndata: x\r\n\r\n'
    )
    assert event_buffer.last_event_id == 5


@pytest.mark.parametrize('size', [1, 2, 3, 50])
@pytest.mark.parametrize(
    'event',
    [
        b'id: 7\ndata: x\n\n',
        b'id: 7\r\ndata: x\r\n\r\n',
        b'id: 7\rdata: x\r\r',
        b'id: 7\ndata: x\n\r\n',
        b'id: 7\r\ndata: x\r\n\n',
    ],
)
def test_every_kind_of_line_end_ends_an_event(event, size):
    event_buffer = event_stream.EventBuffer(None)
    output = b''
    for start in range(0, len(event), size):
        output += event_buffer.feed(event[start : start + size])
    assert not event_buffer.is_inside_event
    assert event_buffer.last_event_id == 7
    assert output + event_buffer.partial == event


def test_stream_that_ends_inside_an_event_is_noticed():
    event_buffer = event_stream.EventBuffer(None)
    event_buffer.feed(b'id: 1\r\ndata: x\r\n\r')
    assert not event_buffer.is_inside_event
    event_buffer.feed(b'\nid: 2\r\n')
    assert event_buffer.is_inside_event


def test_id_inside_a_data_field_is_ignored():
    event_buffer = event_stream.EventBuffer(None)
    event_buffer.feed(b'id: 1\ndata: say id: 9\n\n')
    assert event_buffer.last_event_id == 1


# Each held up to 1 MiB beside the budget.
def test_events_without_end_stay_within_the_budget():
    budget = byte_budget.ByteBudget(8_000_000, 4_000_000)
    streams = [event_stream.EventBuffer(None, budget) for _ in range(50)]
    piece = b'x' * 4096
    tracemalloc.start()
    for _ in range(300):
        for each in streams:
            if not each.is_unusable:
                each.feed(piece)
                if each.is_unusable:
                    each.discard_partial()
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes <= budget.limit_bytes
    assert peak_bytes <= 1.1 * budget.peak_bytes
    for each in streams:
        each.discard_partial()
    assert budget.held_bytes == 0
