"""Streams of engines of several software versions in one service."""

import http.client

import pytest

from tests import edge_fleet
from tests import helpers_edge

pytestmark = pytest.mark.process

STREAM = helpers_edge.make_route(
    'stream',
    '/stream/',
    RouteType='streaming',
    StreamResume=True,
    TimeoutMs=8000,
    TargetLatencyMs=800,
)


@pytest.fixture
def edge(fleet):
    """A configured fleet of two routers, without engines."""
    fleet.publish_config(routes=[STREAM])
    return fleet


def add_engines(fleet, **version_by_name):
    for name, version in version_by_name.items():
        engine = fleet.add_engine(name, Version=version)
        engine.software_version = version
        engine.stream_prefix = '/stream/'


def add_routers(fleet, count):
    for number in range(count):
        fleet.add_router(number + 1, wait=False)
    for router in fleet.routers:
        router.wait_until_ready()
    for router in fleet.routers:
        for name in fleet.engines:
            router.wait_for_log(f'event=server-listed server={name} ')


def restart_all(routers):
    for router in routers:
        router.kill()
    for router in routers:
        router.start()
    for router in routers:
        router.wait_until_ready()


def format_prompt(attempt_id):
    return f'shared-{attempt_id}:100,own-{attempt_id}:50'


def begin_streams(routers, count, name='began'):
    """Begin streams with prompts of their own; return versions by attempt."""
    return {
        attempt_id: list_versions(
            read_stream(
                routers[number % len(routers)],
                X_Arbutusvale_Attempt_Id=attempt_id,
                X_Arbutusvale_Prompt_Prefix=format_prompt(attempt_id),
            )[1]
        )
        for number in range(count)
        for attempt_id in [f'{name}-{number}']
    }


def take_up(router, attempt_id):
    return read_stream(
        router,
        Last_Event_Id='2',
        Resumes=attempt_id,
        X_Arbutusvale_Prompt_Prefix=format_prompt(attempt_id),
    )


def read_stream(router, **headers):
    """Send a request; return status, body so far, and whether it is whole."""
    try:
        status, _, body = router.send_request(
            '/stream/x', 'POST', b'p', **headers
        )
    except http.client.IncompleteRead as error:
        return 200, error.partial, False
    return status, body, status == 200


def list_versions(body):
    """Return the versions of the engines that made a stream's events."""
    return {line.split()[-1] for line in body.splitlines() if b'piece' in line}


# A stream went on at any engine that had room.
def test_stream_holds_no_events_of_two_versions(edge):
    add_engines(edge, e1='v1', e2='v2')
    add_routers(edge, 1)
    for _ in range(6):
        edge.engines['e1'].faults = ['stream-cut']
        edge.engines['e2'].faults = []
        _, body, _ = read_stream(edge.routers[0])
        assert len(list_versions(body)) == 1


def test_broken_stream_goes_on_at_another_engine_of_its_version(edge):
    add_engines(edge, e1='v1', e2='v2', e3='v2', e4='v1')
    add_routers(edge, 1)
    for _ in range(12):
        for engine in edge.engines.values():
            engine.faults = []
        edge.engines['e1'].faults = ['stream-cut']
        _, body, whole = read_stream(edge.routers[0])
        assert whole
        assert len(list_versions(body)) == 1


# A router took a stream up at any engine that had room.
def test_caller_goes_on_at_the_version_that_began_its_stream(edge):
    add_engines(edge, e1='v1', e2='v2', e3='v2', e4='v1')
    add_routers(edge, 2)
    first, second = edge.routers
    for number in range(8):
        _, began, _ = read_stream(
            first, X_Arbutusvale_Attempt_Id=f'began-{number}'
        )
        status, rest, _ = read_stream(
            second, Last_Event_Id='2', Resumes=f'began-{number}'
        )
        assert status == 200
        assert list_versions(rest) == list_versions(began)


def test_stream_of_a_killed_router_goes_on_at_its_version(edge):
    add_engines(edge, e1='v1', e2='v2', e3='v2', e4='v1')
    add_routers(edge, 3)
    first, second, third = edge.routers
    began = {}
    for number in range(8):
        attempt_id = f'began-{number}'
        _, body, _ = read_stream(first, X_Arbutusvale_Attempt_Id=attempt_id)
        began[attempt_id] = list_versions(body)
    first.kill()
    for number, (attempt_id, versions) in enumerate(began.items()):
        status, rest, _ = read_stream(
            (second, third)[number % 2], Last_Event_Id='2', Resumes=attempt_id
        )
        assert status == 200
        assert list_versions(rest) == versions


def test_stream_of_unknown_origin_is_refused_beside_two_versions(edge):
    add_engines(edge, e1='v1', e2='v2')
    add_routers(edge, 1)
    status, headers, _ = edge.routers[0].send_request(
        '/stream/x', 'POST', b'p', Last_Event_Id='2', Resumes='nobody'
    )
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert edge.executed_requests() == []


# A router that had just started took the only listed version for the only one
# that any stream may have begun at.
def test_fresh_router_goes_on_beside_one_version_as_engines_confirm(edge):
    add_engines(edge, e1='v1', e2='v1')
    add_routers(edge, 1)
    _, began, _ = read_stream(
        edge.routers[0], X_Arbutusvale_Prompt_Prefix='a:9,known:9'
    )
    assert began
    for part, expected in (('known', 200), ('new', 503)):
        status, body, _ = read_stream(
            edge.routers[0],
            Last_Event_Id='2',
            Resumes=f'lost-{part}',
            X_Arbutusvale_Prompt_Prefix=f'a:9,{part}:9',
        )
        assert status == expected
        assert (status == 503) != body.startswith(b'id: 3\n')


def test_caller_that_names_no_attempt_goes_on_beside_one_version(edge):
    add_engines(edge, e1='v1', e2='v1')
    add_routers(edge, 1)
    status, body, _ = read_stream(edge.routers[0], Last_Event_Id='2')
    assert status == 200
    assert body.startswith(b'id: 3\n')


def test_stream_without_an_engine_of_its_version_is_refused_at_once(edge):
    add_engines(edge, e1='v1')
    add_routers(edge, 1)
    router = edge.routers[0]
    read_stream(router, X_Arbutusvale_Attempt_Id='began')
    add_engines(edge, e2='v2')
    edge.deregister_engine('e1')
    router.wait_for_log('event=server-listed server=e2 ')
    router.wait_for_log('event=server-gone server=e1')
    status, headers, _ = router.send_request(
        '/stream/x', 'POST', b'p', Last_Event_Id='2', Resumes='began'
    )
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert edge.executed_requests() == edge.executed_requests('began')
    edge_fleet.wait_for(
        lambda: 'refused-no-server-of-version' in router.read_log(),
        'the line of the refusal',
    )


def test_list_must_be_fresh_for_a_stream_of_unknown_origin(edge):
    add_engines(edge, e1='v1')
    add_routers(edge, 1)
    router = edge.routers[0]
    edge.store.fault = 'silent'
    router.wait_for_log('event=store-lost topic=keyed.servers')
    status, _, _ = router.send_request(
        '/stream/x', 'POST', b'p', Last_Event_Id='2', Resumes='nobody'
    )
    assert status == 503
    status, _, _ = router.send_request(
        '/stream/x', 'POST', b'p', Last_Event_Id='2'
    )
    assert status == 200


# After the loss of all routers everyone was refused beside two versions.
def test_streams_go_on_at_their_version_after_all_routers_were_killed(edge):
    add_engines(edge, e1='v1', e2='v2', e3='v2', e4='v1')
    add_routers(edge, 2)
    began = begin_streams(edge.routers, 8)
    assert len(set(map(frozenset, began.values()))) == 2
    restart_all(edge.routers)
    began |= begin_streams(edge.routers, 4, 'between')
    restart_all(edge.routers)
    edge.store.fault = 'silent'
    for router in edge.routers:
        router.wait_for_log('event=store-lost topic=keyed.servers')
    for number, (attempt_id, versions) in enumerate(began.items()):
        status, rest, _ = take_up(edge.routers[number % 2], attempt_id)
        assert status == 200
        assert list_versions(rest) == versions


# The rest was written by the only version left.
def test_stream_whose_version_is_gone_is_refused_after_all_routers_died(edge):
    add_engines(edge, e1='v1')
    add_routers(edge, 2)
    began = begin_streams(edge.routers, 4)
    add_engines(edge, e2='v2', e3='v2')
    edge.deregister_engine('e1')
    restart_all(edge.routers)
    for number, attempt_id in enumerate(began):
        status, rest, _ = take_up(edge.routers[number % 2], attempt_id)
        assert status == 503, rest


def test_streams_go_on_without_a_call_after_half_of_the_routers_died(edge):
    add_engines(edge, e1='v1', e2='v2', e3='v2', e4='v1')
    add_routers(edge, 4)
    began = begin_streams(edge.routers, 8)
    for router in edge.routers[:2]:
        router.kill()
    for number, (attempt_id, versions) in enumerate(began.items()):
        status, rest, _ = take_up(edge.routers[2 + number % 2], attempt_id)
        assert status == 200
        assert list_versions(rest) == versions
    assert not any(each.cache_list_calls for each in edge.engines.values())


def test_engines_that_give_no_list_hold_nobody_up(edge):
    add_engines(edge, e1='v1', e2='v2', e3='v2', e4='v1')
    add_routers(edge, 1)
    began = begin_streams(edge.routers, 8)
    restart_all(edge.routers)
    edge.engines['e1'].cache_list_fault = 'hang'
    edge.engines['e2'].cache_list_fault = 'refuse'
    silent = [
        {received.attempt_id for received in edge.engines[name].received}
        for name in ('e1', 'e2')
    ]
    for attempt_id, versions in began.items():
        status, rest, _ = take_up(edge.routers[0], attempt_id)
        if any(attempt_id in attempts for attempts in silent):
            assert status == 503
        else:
            assert status == 200
            assert list_versions(rest) == versions
