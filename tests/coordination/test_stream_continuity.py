"""Streams taken up at routers that don't know who began them."""

import asyncio
import dataclasses
import random
import types

from arbutusvale import errors
from arbutusvale.coordination import stream_continuity
from arbutusvale.protocol import proxying
from arbutusvale.state import rendezvous
from arbutusvale.state import stream_origins
from tests import helpers_edge
from tests import helpers_log
from tests.coordination import test_edge_placement

REFUSED = stream_continuity.NotResumable('unknown-stream')


class Caches:
    """What engines have cached; ``silent`` ones never answer."""

    def __init__(self):
        self.by_server = {}
        self.silent = set()
        self.refusing = set()
        self.asked = []

    async def list_parts(self, server):
        self.asked.append(server.id)
        await asyncio.sleep(0.2 if server.id in self.silent else 0.001)
        if server.id in self.silent | self.refusing:
            raise errors.ServerFailed('no list', True)
        return self.by_server.get(server.id, {})


def make_router(version_by_engine, watched_s=0.0, is_current=True, **changes):
    """Return a router's context; it began to read the list just now."""
    context = test_edge_placement.make_context(0)
    for server_id, version in version_by_engine.items():
        context.servers.put(
            helpers_edge.make_server(
                server_id, software_version=version, **changes
            )
        )
    context.servers.keep_only(set(version_by_engine), None)
    context.clock.now += watched_s

    async def confirm_server_list():
        return is_current

    context.confirm_server_list = confirm_server_list
    context.holders.survey.caches = Caches()
    return context


def make_take_up(number=0, resumes='began'):
    metadata = proxying.RequestMetadata(
        attempt_id='id',
        host='host',
        api_key='',
        time_left_s=None,
        last_event_id=2,
        resumes=resumes,
        model='m',
        prompt=(
            proxying.PromptPart(f'shared{number % 5}', 900),
            proxying.PromptPart(f'own{number}', 500),
        ),
        validation_error='',
    )
    return types.SimpleNamespace(metadata=metadata, pool='chat')


def begin(context, server_id, number=0):
    caches = context.holders.survey.caches.by_server
    caches.setdefault(server_id, {})['m', f'own{number}'] = 496


def take_up(context, *requests):
    async def run():
        return await asyncio.gather(
            *(
                stream_continuity.find_version(context, request)
                for request in requests
            )
        )

    return helpers_log.run_in_virtual_time(run())


def test_stream_goes_on_at_the_version_of_the_engine_that_began_it():
    versions = {f'e{number}': f'v{number % 2}' for number in range(40)}
    for is_current in (True, False):
        context = make_router(
            versions,
            is_current=is_current,
            state=proxying.ServerState.DRAINING,
        )
        begin(context, 'e17')
        found = stream_continuity.Resumable('v1', 'engine')
        assert take_up(context, make_take_up()) == [found]
        asked = list(context.holders.survey.caches.asked)
        found = stream_continuity.Resumable('v1', 'known')
        assert take_up(context, make_take_up()) == [found]
        assert context.holders.survey.caches.asked == asked


# The only version left was taken for the one that began the stream.
def test_stream_whose_version_left_before_the_start_is_refused():
    context = make_router({'e1': 'v2', 'e2': 'v2'})
    assert take_up(context, make_take_up()) == [REFUSED]
    context = make_router({'e1': 'v2'}, watched_s=stream_origins.RETENTION_S)
    found = stream_continuity.Resumable('v2', 'only-version')
    assert take_up(context, make_take_up()) == [found]
    assert context.holders.survey.caches.asked == []


def test_prompt_without_parts_is_refused_without_a_call():
    context = make_router({'e1': 'v1', 'e2': 'v2'})
    context.holders.survey.caches.by_server = {'e1': {('', ''): 9}}
    plain = make_take_up(resumes='plain')
    plain.metadata = dataclasses.replace(plain.metadata, prompt=())
    assert take_up(context, plain) == [REFUSED]
    assert context.holders.survey.caches.asked == []


def test_caller_that_names_no_attempt_goes_on_beside_two_versions():
    context = make_router({'e1': 'v1', 'e2': 'v2'})
    begin(context, 'e2')
    found = stream_continuity.Resumable('v2', 'engine')
    assert take_up(context, make_take_up(resumes='')) == [found]


def test_search_among_silent_engines_ends_within_its_time():
    versions = {f'e{number}': 'v1' for number in range(80)}
    context = make_router(versions)
    context.holders.survey.caches.silent = set(versions)

    async def run():
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        result = await stream_continuity.find_version(context, make_take_up())
        return result, loop.time() - started_at

    result, elapsed_s = helpers_log.run_in_virtual_time(run())
    assert result == REFUSED
    assert elapsed_s < stream_continuity.MAX_SEARCH_S + 0.01


# Nobody went on before; who sees all engines' caches lets everyone go on whose
# version is left.
def test_wave_of_take_ups_goes_on_with_one_call_an_engine():
    generator = random.Random(7)
    context = make_router({f'e{n}': f'v{n % 2}' for n in range(24)})
    caches = context.holders.survey.caches
    caches.silent, caches.refusing = {'e3'}, {'e8'}
    requests, possible = [], {}
    for number in range(200):
        request = make_take_up(number, f'began-{number}')
        ranking = rendezvous.Ranking(
            [*context.servers.by_id, 'gone'], vectorise=False
        ).rank(f'm/shared{number % 5}', 25)
        # The load bound sends most requests to the first few engines.
        server_id = ranking[min(24, int(generator.expovariate(0.25)))]
        if server_id != 'gone':
            begin(context, server_id, number)
            possible[number] = f'v{int(server_id[1:]) % 2}'
        requests.append(request)
    results = take_up(context, *requests)
    went_on = {
        number: result.software_version
        for number, result in enumerate(results)
        if isinstance(result, stream_continuity.Resumable)
    }
    assert went_on.items() <= possible.items()
    assert len(went_on) >= 0.8 * len(possible)
    assert max(map(caches.asked.count, caches.asked)) == 1


def test_caller_that_gives_up_ends_no_call_of_others():
    context = make_router({'e1': 'v1', 'e2': 'v2'})
    context.holders.survey.caches.silent = {'e1'}
    begin(context, 'e2')

    async def run():
        tasks = [
            asyncio.create_task(
                stream_continuity.find_version(context, make_take_up())
            )
            for _ in range(2)
        ]
        await asyncio.sleep(0.05)
        tasks[0].cancel()
        return await tasks[1]

    found = stream_continuity.Resumable('v2', 'engine')
    assert helpers_log.run_in_virtual_time(run()) == found
