import asyncio

import pytest

from arbutusvale import errors
from arbutusvale.protocol import ports
from arbutusvale.protocol import resumption
from arbutusvale.protocol import streaming_client

HEAD = ports.ServerResponseHead(200, [])
IDLE = streaming_client.IdleEvent()
HANG = object()


class FakeEngine:
    """Engine with one scripted response per connection; HANG never ends."""

    address = 'engine:1'

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.resume_offsets = []
        self.open_connections = 0

    def stream(self, request, idle_after_s):
        return self.play(self.scripts.pop(0))

    def resume(self, request, start_byte, idle_after_s):
        self.resume_offsets.append(start_byte)
        return self.play(self.scripts.pop(0))

    async def play(self, script):
        self.open_connections += 1
        try:
            for part in script:
                await asyncio.sleep(0)
                if part is HANG:
                    await asyncio.get_running_loop().create_future()
                if isinstance(part, Exception):
                    raise part
                yield part
        finally:
            self.open_connections -= 1


def read_parts(engine):
    async def scenario():
        request = ports.ServerRequest('q', 'POST', '/', [], b'', '', 0, 10.0)
        async with asyncio.timeout(10):
            parts = [
                part
                async for part in resumption.read_with_resume(engine, request)
            ]
        assert engine.open_connections == 0
        return parts

    return asyncio.run(scenario())


def test_response_without_idle_event_is_not_resumed():
    engine = FakeEngine([HEAD, b'a', b'b'])
    assert read_parts(engine) == [HEAD, b'a', b'b']
    assert engine.resume_offsets == []


def test_dead_connection_is_replaced_by_one_that_resumes():
    engine = FakeEngine([HEAD, b'abc', IDLE, HANG], [HEAD, b'de', b'f'])
    assert read_parts(engine) == [HEAD, b'abc', b'de', b'f']
    assert engine.resume_offsets == [3]


def test_dead_replacement_connections_are_replaced_too():
    engine = FakeEngine(
        [IDLE, HANG], [IDLE, HANG], [HEAD, b'a', IDLE, HANG], [HEAD]
    )
    assert read_parts(engine) == [HEAD, b'a']
    assert engine.resume_offsets == [0, 0, 1]


def test_slow_connection_is_kept_if_it_delivers_first():
    engine = FakeEngine([HEAD, IDLE, IDLE, b'a'], [HANG])
    assert read_parts(engine) == [HEAD, b'a']


@pytest.mark.parametrize('rest', [[b'a'], [IDLE, IDLE, b'a']])
def test_connection_is_kept_if_the_engine_cannot_resume(rest):
    engine = FakeEngine(
        [HEAD, IDLE, *rest], [resumption.ResumeUnsupported('engine:1')]
    )
    assert read_parts(engine) == [HEAD, b'a']
    assert len(engine.resume_offsets) == 1


def test_run_lost_by_the_engine_raises_server_broken():
    engine = FakeEngine(
        [HEAD, IDLE, HANG], [errors.ServerResponseError('engine:1', 'lost')]
    )
    with pytest.raises(errors.ServerResponseError):
        read_parts(engine)


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (404, resumption.ResumeUnsupported),
        (405, resumption.ResumeUnsupported),
        (410, errors.ServerResponseError),
    ],
)
def test_resume_status_raises_the_matching_error(status, error):
    with pytest.raises(error):
        resumption.check_resume_status(
            'a', ports.ServerResponseHead(status, [])
        )
