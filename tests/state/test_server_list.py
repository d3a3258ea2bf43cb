"""Joining, draining and vanishing servers, and outages of their list."""

import dataclasses

from arbutusvale.protocol import proxying
from arbutusvale.state import server_list
from tests import helpers_edge


def make_list(clock):
    listed = server_list.ServerList(clock)
    listed.put(helpers_edge.make_server('a'))
    listed.put(helpers_edge.make_server('b'))
    return listed


def ready_ids(listed):
    return [one.server.id for one in listed.list_ready_servers('chat')]


def test_a_removed_entry_takes_no_work_at_once():
    listed = make_list(helpers_edge.Clock())
    assert listed.remove('a', None)
    assert ready_ids(listed) == ['b']


def test_a_draining_server_takes_no_work():
    listed = make_list(helpers_edge.Clock())
    server = helpers_edge.make_server('a')
    leaving = dataclasses.replace(server, state=proxying.ServerState.DRAINING)
    assert listed.put(leaving)
    assert ready_ids(listed) == ['b']
    assert 'a' in listed.by_id


def test_an_entry_that_lapsed_may_return_until_two_seconds_after():
    clock = helpers_edge.Clock()
    listed = make_list(clock)
    listed.remove('a', clock.now + 2.0)
    assert ready_ids(listed) == ['a', 'b']
    clock.now += 1.9
    assert listed.expire() == []
    assert listed.put(helpers_edge.make_server('a'))
    clock.now += 1.0
    assert listed.expire() == []
    assert ready_ids(listed) == ['a', 'b']


def test_an_entry_that_does_not_return_in_time_is_gone():
    clock = helpers_edge.Clock()
    listed = make_list(clock)
    listed.remove('a', clock.now + 2.0)
    clock.now += 2.0
    assert listed.expire() == ['a']
    assert ready_ids(listed) == ['b']


def test_a_removal_late_in_the_return_window_gets_no_longer_grace():
    """Seen on trouble-1 of lembrete-sul: DRAIN by 47 ms.

    The window began with the store's return, 1.5 s before the removal; the
    engine was kept for 2 s from the removal.
    """
    clock = helpers_edge.Clock()
    listed = make_list(clock)
    regained_at = clock.now
    clock.now += 1.5
    listed.remove('a', regained_at + server_list.RECOVERY_GRACE_S)
    clock.now += 0.5
    assert listed.expire() == ['a']


def test_a_whole_list_drops_what_it_does_not_hold():
    listed = make_list(helpers_edge.Clock())
    assert listed.keep_only({'b'}, None) == ['a']
    assert ready_ids(listed) == ['b']


def test_a_new_start_under_an_old_id_is_a_new_incarnation():
    clock = helpers_edge.Clock()
    listed = make_list(clock)
    clock.now += 5
    again = dataclasses.replace(
        helpers_edge.make_server('a'), started_at_ms=99
    )
    assert listed.put(again)
    assert listed.by_id['a'].first_seen_at == clock.now


def test_an_unchanged_entry_is_no_news():
    listed = make_list(helpers_edge.Clock())
    version = listed.version
    assert not listed.put(helpers_edge.make_server('a'))
    assert listed.version == version
