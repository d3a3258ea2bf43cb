"""The log never blocks, and its buffer is bounded."""

import asyncio
import contextlib
import os

from arbutusvale.state import event_log
from tests import helpers_edge


def make_log():
    reader, writer = os.pipe()
    clock = helpers_edge.Clock()
    return clock, reader, event_log.EventLog(writer, clock)


def test_a_line_contains_the_event_and_its_fields():
    _, reader, log = make_log()
    log.write('place', id='a b', load=1.5, server='s', text='x="1"\ny')
    log.flush()
    assert os.read(reader, 1000) == (
        b't=1000.000 event=place id="a b" load=1.5 server=s text="x=\'1\' y"\n'
    )


def test_lines_above_the_rate_limit_are_dropped_and_counted():
    clock, reader, log = make_log()
    for _ in range(event_log.MAX_LINES_PER_S + 50):
        log.write('x')
    assert log.dropped_lines == 50
    clock.now += 1.0
    log.write('y')
    assert log.dropped_lines == 50


def test_a_stalled_reader_only_causes_dropped_lines():
    clock, reader, log = make_log()
    for _ in range(40):
        clock.now += 1
        for _ in range(event_log.MAX_LINES_PER_S):
            log.write('long', text='z' * 100)
        log.flush()
    assert log.dropped_lines > 0
    assert log.pending_bytes < 2 * event_log.MAX_PENDING_BYTES


def test_a_closed_reader_is_no_error():
    _, reader, log = make_log()
    os.close(reader)
    log.write('x')
    log.flush()
    assert log.pending == []


def test_lines_at_the_end_wait_for_a_reader_that_lags():
    async def run():
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        log = event_log.EventLog(writer)
        for _ in range(200):
            log.write('filler', text='x' * 1000)
        log.write('stop')
        drained = asyncio.create_task(log.drain(5.0))
        await asyncio.sleep(0.02)
        received = b''
        while b'event=stop\n' not in received:
            with contextlib.suppress(BlockingIOError):
                received += os.read(reader, 1 << 20)
            await asyncio.sleep(0)
        await drained
        os.close(reader)
        os.close(writer)

    asyncio.run(asyncio.wait_for(run(), 10))
