"""Taking over configurations and entries of servers."""

from arbutusvale.coordination import configview
from arbutusvale.coordination import serverview
from arbutusvale.platform import records
from arbutusvale.protocol import keyed_log
from arbutusvale.state import server_list
from tests import helpers_edge


def make_config_view():
    events = helpers_edge.Events()
    source = configview.Source(records.CONFIG_KEY, records.read_configuration)
    return events, configview.ConfigView(source, events, helpers_edge.Clock())


def make_server_view():
    events, gone = helpers_edge.Events(), []
    clock = helpers_edge.Clock()
    servers = server_list.ServerList(clock)
    view = serverview.ServerView(
        servers, records.read_server, events, gone.append
    )
    return events, gone, servers, view


def record(key, value):
    return keyed_log.Record(key, value)


def test_versions_only_rise():
    events, view = make_config_view()
    newer, older = helpers_edge.make_config(7), helpers_edge.make_config(3)
    view.update([record('config', newer)], None)
    view.update([record('config', older)], None)
    assert view.version == 7
    view.update([record('config', newer), record('config', older)], None)
    assert view.version == 7
    assert len(events.named('config-applied')) == 1


def test_a_malformed_configuration_keeps_the_last_good_one():
    events, view = make_config_view()
    view.update([record('config', helpers_edge.make_config(7))], None)
    bad = helpers_edge.make_config(9, Routes='none')
    view.update([record('config', bad), record('other', b'x')], None)
    assert view.version == 7
    [line] = events.named('config-malformed')
    assert line['field'] == 'Routes'
    assert line['remedy']


def test_a_good_configuration_before_a_malformed_one_is_taken():
    _, view = make_config_view()
    good = record('config', helpers_edge.make_config(7))
    view.update([good, record('config', b'{}')], None)
    assert view.version == 7


def test_a_restart_under_the_same_id_forgets_the_cache():
    events, gone, servers, view = make_server_view()
    view.update([record('a', helpers_edge.make_entry('1.1.1.1:1'))], None)
    again = helpers_edge.make_entry('1.1.1.1:1', born=2, Sequence=0)
    view.update([record('a', again)], None)
    assert gone == ['a']
    assert servers.by_id['a'].server.started_at_ms == 2


def test_a_malformed_entry_names_no_server_and_leaves_the_others():
    events, gone, servers, view = make_server_view()
    view.update(
        [
            record('a', helpers_edge.make_entry('1.1.1.1:1')),
            record('b', b'\xff'),
            record('c', helpers_edge.make_entry('nowhere')),
            record('d', helpers_edge.make_entry('1.1.1.1:2', State='odd')),
            record('e', helpers_edge.make_entry('1.1.1.1:2', Slots='many')),
        ],
        None,
    )
    assert set(servers.by_id) == {'a'}
    assert view.malformed == 4
    assert len(events.named('server-malformed')) == 4


def test_removals_are_logged_and_forgotten():
    events, gone, servers, view = make_server_view()
    view.update([record('a', helpers_edge.make_entry('1.1.1.1:1'))], None)
    view.update([record('a', None)], None)
    assert gone == ['a']
    assert view.newest == {}
    assert events.named('server-gone') == [{'server': 'a'}]


def test_a_whole_list_after_an_outage_lets_lapsed_entries_return():
    events, gone, servers, view = make_server_view()
    view.update([record('a', helpers_edge.make_entry('1.1.1.1:1'))], None)
    view.replace([], servers.clock() + 2.0)
    assert gone == []
    assert events.named('server-missing')
    servers.clock.now += 2.0
    view.expire()
    assert gone == ['a']
