"""Servers that join, drain and vanish, and outages of the store."""

import dataclasses

from arbutusvale.protocol import proxying
from arbutusvale.state import server_list
from tests import helpers_edge


def make_server_list(clock):
    servers = server_list.ServerList(clock)
    servers.put(helpers_edge.make_server('a'))
    servers.put(helpers_edge.make_server('b'))
    return servers


def list_ready_ids(servers):
    return [entry.server.id for entry in servers.list_ready_servers('chat')]


def test_a_removed_server_immediately_gets_no_requests():
    servers = make_server_list(helpers_edge.Clock())
    assert servers.remove('a', None)
    assert list_ready_ids(servers) == ['b']


def test_a_draining_server_gets_no_requests():
    servers = make_server_list(helpers_edge.Clock())
    server = helpers_edge.make_server('a')
    draining = dataclasses.replace(server, state=proxying.ServerState.DRAINING)
    assert servers.put(draining)
    assert list_ready_ids(servers) == ['b']
    assert 'a' in servers.by_id


def test_an_expired_entry_may_be_renewed_in_the_grace_period():
    clock = helpers_edge.Clock()
    servers = make_server_list(clock)
    servers.remove('a', clock.now + 2.0)
    assert list_ready_ids(servers) == ['a', 'b']
    clock.now += 1.9
    assert servers.expire() == []
    assert servers.put(helpers_edge.make_server('a'))
    clock.now += 1.0
    assert servers.expire() == []
    assert list_ready_ids(servers) == ['a', 'b']


def test_an_entry_not_renewed_in_the_grace_period_is_removed():
    clock = helpers_edge.Clock()
    servers = make_server_list(clock)
    servers.remove('a', clock.now + 2.0)
    clock.now += 2.0
    assert servers.expire() == ['a']
    assert list_ready_ids(servers) == ['b']


def test_a_late_removal_does_not_extend_the_grace_period():
    """The grace period counts from the store's recovery.

    It once counted from a removal 1.5 s later and kept an engine too long:
    rule DRAIN was missed by 47 ms (trouble-1 of lembrete-sul).
    """
    clock = helpers_edge.Clock()
    servers = make_server_list(clock)
    recovered_at = clock.now
    clock.now += 1.5
    servers.remove('a', recovered_at + server_list.RECOVERY_GRACE_S)
    clock.now += 0.5
    assert servers.expire() == ['a']


def test_a_full_list_removes_the_servers_missing_from_it():
    servers = make_server_list(helpers_edge.Clock())
    assert servers.keep_only({'b'}, None) == ['a']
    assert list_ready_ids(servers) == ['b']


def test_a_restart_under_the_same_id_is_a_new_incarnation():
    clock = helpers_edge.Clock()
    servers = make_server_list(clock)
    clock.now += 5
    restarted = dataclasses.replace(
        helpers_edge.make_server('a'), started_at_ms=99
    )
    assert servers.put(restarted)
    assert servers.by_id['a'].first_seen_at == clock.now


def test_an_unchanged_entry_changes_nothing():
    servers = make_server_list(helpers_edge.Clock())
    version = servers.version
    assert not servers.put(helpers_edge.make_server('a'))
    assert servers.version == version


def test_a_version_stays_recent_after_its_last_server_left():
    clock = helpers_edge.Clock()
    servers = server_list.ServerList(clock)
    servers.put(helpers_edge.make_server('a', software_version='v1'))
    servers.put(helpers_edge.make_server('b', software_version='v2'))
    servers.put(
        helpers_edge.make_server('c', pool='other', software_version='v3')
    )
    servers.remove('a', None)
    clock.now += 10.0
    assert servers.list_recent_versions('chat', 10.0) == {'v1', 'v2'}
    assert servers.list_recent_versions('chat', 9.0) == {'v2'}
    servers.put(
        helpers_edge.make_server('b', software_version='v4', started_at_ms=9)
    )
    assert servers.list_recent_versions('chat', 9.0) == {'v2', 'v4'}
