"""Route lookup by host and longest path prefix."""

from arbutusvale.platform import records
from arbutusvale.state import route_table
from tests import helpers_edge


def find_route_name(host, path):
    names = {'/': 'root', '/a/': 'a', '/a/b/': 'ab'}
    routes = [
        helpers_edge.make_route(name, prefix) for prefix, name in names.items()
    ]
    configuration = records.read_configuration(
        helpers_edge.make_config(routes=routes)
    )
    route = route_table.RouteTable(configuration, 0.0).find(host, path)
    return route.name if route else None


def test_the_longest_matching_prefix_is_chosen():
    assert find_route_name('fleet.example', '/a/b/c') == 'ab'
    assert find_route_name('fleet.example', '/a/bc') == 'a'
    assert find_route_name('fleet.example', '/a/b/') == 'ab'
    assert find_route_name('fleet.example', '/a') == 'root'
    assert find_route_name('fleet.example', '/') == 'root'


def test_an_unknown_host_or_relative_path_has_no_route():
    assert find_route_name('other.example', '/a/') is None
    assert find_route_name('fleet.example', 'no-slash') is None
