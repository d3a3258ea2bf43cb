"""Whole requests whose server is silent, and one router of little memory."""

import pytest

from tests import helpers_edge
from tests.platform import test_edge_hostile_callers as hostile

pytestmark = pytest.mark.process


@pytest.mark.parametrize(
    ('count', 'body_bytes'),
    [(20, hostile.MAX_BODY_BYTES), (100, 1 << 20), (200, 60_000)],
    ids=['large', 'medium', 'small'],
)
def test_bodies_at_a_silent_server_exhaust_no_memory(fleet, count, body_bytes):
    route = helpers_edge.make_route(
        'silent',
        '/silent/',
        Service='silent',
        RouteType='idempotent',
        TimeoutMs=hostile.CALM_DEADLINE_MS,
    )
    services = [
        {'Name': one, 'HealthCheckPath': '/h', 'MaxConnections': 400}
        for one in ('chat', 'silent')
    ]
    hostile.start(fleet, [route], Services=services)
    engine = fleet.add_engine('e2', Service='silent', Slots=300)
    engine.default_fault = 'hang'
    fleet.router.wait_for_log('event=server-listed server=e2 ')
    request = hostile.REQUEST.replace(b'/chat/', b'/silent/')
    body = b'Content-Length: %d\r\n\r\n' % body_bytes + b'x' * body_bytes
    requests = [
        request.replace(b'a1', b'a%d' % number) + body
        for number in range(count)
    ]
    hostile.check_crowd(fleet, requests, hostile.UNREAD_S)
    assert engine.received
