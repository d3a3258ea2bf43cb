"""Streams are cut at the ends of events, wherever the bytes were cut."""

import random

from hypothesis import given
from hypothesis import strategies

from arbutusvale.coordination import event_stream

EVENTS = b''.join(b'id: %d\ndata: piece %d\n\n' % (n, n) for n in range(1, 30))


@given(strategies.integers(0, 10**6))
def test_any_cut_gives_the_same_whole_events(seed):
    generator = random.Random(seed)
    event_buffer = event_stream.EventBuffer(None)
    out, rest = b'', EVENTS
    while rest:
        size = generator.randint(1, 40)
        out += event_buffer.feed(rest[:size])
        rest = rest[size:]
    assert out == EVENTS
    assert event_buffer.partial == b''
    assert event_buffer.last_event_id == 29


@given(strategies.integers(0, len(EVENTS)))
def test_a_broken_off_stream_goes_on_without_gap_or_repeat(cut):
    event_buffer = event_stream.EventBuffer(None)
    out = event_buffer.feed(EVENTS[:cut])
    event_buffer.discard_partial()
    first = (event_buffer.last_event_id or 0) + 1
    rest = EVENTS[EVENTS.index(b'id: %d\n' % first) :] if first < 30 else b''
    assert out + event_buffer.feed(rest) == EVENTS


def test_events_with_carriage_returns_are_cut_too():
    event_buffer = event_stream.EventBuffer(4)
    assert event_buffer.last_event_id == 4
    assert event_buffer.feed(b'id: 5\r\ndata: x\r\n\r\nid: 6\r\n') == (
        b'id: 5\r\ndata: x\r\n\r\n'
    )
    assert event_buffer.last_event_id == 5


def test_text_that_looks_like_an_id_inside_data_is_no_id():
    event_buffer = event_stream.EventBuffer(None)
    event_buffer.feed(b'id: 1\ndata: say id: 9\n\n')
    assert event_buffer.last_event_id == 1
