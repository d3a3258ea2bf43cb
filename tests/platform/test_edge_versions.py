"""Streams of engines of several software versions in one service."""

import http.client

import pytest

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
