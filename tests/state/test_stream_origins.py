"""Origins of streams are kept as long as a caller may come back."""

from arbutusvale.protocol import stream_origin
from arbutusvale.state import stream_origins
from tests import helpers_edge


def test_an_origin_is_found_until_its_retention_ends():
    clock = helpers_edge.Clock()
    origins = stream_origins.StreamOrigins(clock)
    origin = stream_origin.StreamOrigin('a1', 'chat', 'v1')
    origins.put(origin)
    clock.now += stream_origins.RETENTION_S
    assert origins.find('a1') == origin
    clock.now += 0.1
    assert origins.find('a1') is None
    origins.put(stream_origin.StreamOrigin('a2', 'chat', 'v2'))
    assert list(origins.by_attempt) == ['a2']
