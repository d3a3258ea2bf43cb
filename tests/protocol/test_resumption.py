import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.protocol import ports
from arbutusvale.protocol import resumption
from arbutusvale.protocol import streaming_client

HEAD = ports.ServerResponseHead(200, [])
SILENT = streaming_client.Silent()
STUCK = object()


class FakeEngine:
    """Play one script per connection; STUCK waits for ever."""

    address = 'engine:1'

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.starts = []
        self.open = 0

    def stream(self, request, silence_s):
        return self.play(self.scripts.pop(0))

    def resume(self, request, start, silence_s):
        self.starts.append(start)
        return self.play(self.scripts.pop(0))

    async def play(self, script):
        self.open += 1
        try:
            for part in script:
                await asyncio.sleep(0)
                if part is STUCK:
                    await asyncio.get_running_loop().create_future()
                if isinstance(part, Exception):
                    raise part
                yield part
        finally:
            self.open -= 1


def read(engine):
    async def scenario():
        request = ports.ServerRequest('q', 'POST', '/', [], b'', '', 0, 10.0)
        async with asyncio.timeout(10):
            parts = [
                part
                async for part in resumption.read_resuming(engine, request)
            ]
        assert engine.open == 0
        return parts

    return asyncio.run(scenario())


def test_an_answer_without_silence_is_read_as_it_is():
    engine = FakeEngine([HEAD, b'a', b'b'])
    assert read(engine) == [HEAD, b'a', b'b']
    assert engine.starts == []


def test_a_dead_connection_is_left_for_one_that_answers():
    engine = FakeEngine([HEAD, b'abc', SILENT, STUCK], [HEAD, b'de', b'f'])
    assert read(engine) == [HEAD, b'abc', b'de', b'f']
    assert engine.starts == [3]


def test_a_second_dead_connection_is_given_up_as_well():
    engine = FakeEngine(
        [SILENT, STUCK], [SILENT, STUCK], [HEAD, b'a', SILENT, STUCK], [HEAD]
    )
    assert read(engine) == [HEAD, b'a']
    assert engine.starts == [0, 0, 1]


def test_a_slow_engine_keeps_its_connection():
    engine = FakeEngine([HEAD, SILENT, SILENT, b'a'], [STUCK])
    assert read(engine) == [HEAD, b'a']


@pytest.mark.parametrize('rest', [[b'a'], [SILENT, SILENT, b'a']])
def test_an_engine_that_cannot_resume_is_waited_for(rest):
    engine = FakeEngine(
        [HEAD, SILENT, *rest], [resumption.NotResumable('engine:1')]
    )
    assert read(engine) == [HEAD, b'a']
    assert len(engine.starts) == 1


def test_a_lost_run_is_a_broken_answer():
    engine = FakeEngine(
        [HEAD, SILENT, STUCK], [errors.ServerBroken('engine:1', 'lost')]
    )
    with pytest.raises(errors.ServerBroken):
        read(engine)


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (404, resumption.NotResumable),
        (405, resumption.NotResumable),
        (410, errors.ServerBroken),
    ],
)
def test_a_refusal_to_resume(status, error):
    with pytest.raises(error):
        resumption.check_status('a', ports.ServerResponseHead(status, []))
