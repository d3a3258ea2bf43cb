"""Tests of the sinks for configurations and entries of servers."""

from arbutusvale.coordination import config_view
from arbutusvale.coordination import server_view
from arbutusvale.platform import records
from arbutusvale.protocol import keyed_log
from arbutusvale.state import server_list
from tests import helpers_edge


def make_config_view():
    events = helpers_edge.Events()
    source = config_view.ConfigSource(
        records.CONFIG_KEY, records.read_configuration
    )
    return events, config_view.ConfigView(source, events, helpers_edge.Clock())


def make_server_view():
    events, ended = helpers_edge.Events(), []
    clock = helpers_edge.Clock()
    servers = server_list.ServerList(clock)
    view = server_view.ServerView(
        servers, records.read_server, events, ended.append
    )
    return events, ended, servers, view


def record(key, value):
    return keyed_log.Record(key, value)


def test_older_configurations_are_ignored():
    events, view = make_config_view()
    newer, older = helpers_edge.make_config(7), helpers_edge.make_config(3)
    view.update([record('config', newer)], None)
    view.update([record('config', older)], None)
    assert view.version == 7
    view.update([record('config', newer), record('config', older)], None)
    assert view.version == 7
    assert len(events.named('config-applied')) == 1


def test_a_malformed_configuration_keeps_the_last_valid_one():
    events, view = make_config_view()
    view.update([record('config', helpers_edge.make_config(7))], None)
    malformed = helpers_edge.make_config(9, Routes='none')
    view.update([record('config', malformed), record('other', b'x')], None)
    assert view.version == 7
    [event] = events.named('config-malformed')
    assert event['field'] == 'Routes'
    assert event['remedy']


def test_a_valid_configuration_before_a_malformed_one_is_applied():
    _, view = make_config_view()
    valid = record('config', helpers_edge.make_config(7))
    view.update([valid, record('config', b'{}')], None)
    assert view.version == 7


def test_a_restart_under_the_same_id_ends_the_old_incarnation():
    events, ended, servers, view = make_server_view()
    view.update([record('a', helpers_edge.make_entry('1.1.1.1:1'))], None)
    again = helpers_edge.make_entry('1.1.1.1:1', born=2, Sequence=0)
    view.update([record('a', again)], None)
    assert ended == ['a']
    assert servers.by_id['a'].server.started_at_ms == 2


def test_malformed_entries_are_counted_and_skipped():
    events, ended, servers, view = make_server_view()
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
    assert view.malformed_count == 4
    assert len(events.named('server-malformed')) == 4


def test_a_removal_is_logged_and_drops_the_entry():
    events, ended, servers, view = make_server_view()
    view.update([record('a', helpers_edge.make_entry('1.1.1.1:1'))], None)
    view.update([record('a', None)], None)
    assert ended == ['a']
    assert view.raw_entries == {}
    assert events.named('server-gone') == [{'server': 'a'}]


def test_entries_missing_after_an_outage_end_after_the_recovery_grace():
    events, ended, servers, view = make_server_view()
    view.update([record('a', helpers_edge.make_entry('1.1.1.1:1'))], None)
    view.replace([], servers.clock() + 2.0)
    assert ended == []
    assert events.named('server-missing')
    servers.clock.now += 2.0
    view.expire()
    assert ended == ['a']


def test_servers_of_the_first_read_have_not_just_started():
    _, _, _, view = make_server_view()
    listed = []
    view.on_listed = lambda server, is_new: listed.append(
        (server.id, server.started_at_ms, is_new)
    )
    first = record('a', helpers_edge.make_entry('10.1.0.1:1'))
    view.replace([first], None)
    again = record('a', helpers_edge.make_entry('10.1.0.1:1', Sequence=2))
    reborn = record('a', helpers_edge.make_entry('10.1.0.1:1', born=2))
    view.update([again, reborn, record('a', None)], None)
    # An entry may be gone and come back while the store is away.
    view.update([reborn], None)
    assert listed == [
        ('a', 1, False), ('a', 1, False), ('a', 2, True), ('a', 2, False),
    ]  # fmt: skip


# The state of the new incarnation was dropped with that of the old one.
def test_new_incarnation_is_recorded_after_the_old_one_has_ended():
    _, _, _, view = make_server_view()
    calls = []
    view.on_listed = lambda server, is_new: calls.append('listed')
    view.on_incarnation_ended = lambda server_id: calls.append('ended')
    for start in (1, 2):
        entry = helpers_edge.make_entry('10.1.0.1:1', born=start)
        view.update([record('a', entry)], None)
    assert calls == ['listed', 'ended', 'listed']


# Routers that don't read the store would not have heard of it.
def test_entry_that_says_that_its_server_is_cold_again_is_relayed():
    _, _, _, view = make_server_view()
    entry = record('a', helpers_edge.make_entry('10.1.0.1:1'))
    view.replace([entry], None)
    assert view.update([entry], None) == []
    view.on_listed = lambda server, is_new: server.cold_for_s > 0
    cold = record('a', helpers_edge.make_entry('10.1.0.1:1', WarmupLeftMs=9))
    assert view.update([cold], None) == [cold]
