"""Tests of dividing the declared rate of cold servers among routers."""

import random

import pytest

from arbutusvale.protocol import peer_message
from arbutusvale.state import router_census
from arbutusvale.state import server_warmups
from arbutusvale.state import warmup_shares
from tests import helpers_edge
from tests.state import warmup_replay

SERVER = helpers_edge.make_server('e')
WARMUP = warmup_shares.Warmup(3.0, 18.0, warmup_replay.BOUND)
LOADS = {
    'one router': warmup_replay.Load([200.0]),
    'five routers': warmup_replay.Load([40.0] * 5),
    'as many as the rate': warmup_replay.Load([20.0] * 18),
    'a zone of 26': warmup_replay.Load([16.0] * 26),
    'uneven': warmup_replay.Load([2.0, 6.0, 12.0, 24.0] * 6 + [10.0, 30.0]),
    'callers in one zone': warmup_replay.Load([48.0] * 8 + [0.0] * 18),
    'callers of one router': warmup_replay.Load([100.0] + [0.0] * 25),
    'many routers': warmup_replay.Load([8.0] * 68),
    'one server': warmup_replay.Load([16.0] * 26, servers=1),
}
FAILURES = {
    'lost messages': warmup_replay.Load([16.0] * 26, lost_messages=0.5),
    'late views': warmup_replay.Load([16.0] * 26, view_delay_s=1.0),
    'routers restart': warmup_replay.Load(
        [16.0] * 26, restarted=frozenset(range(0, 26, 2))
    ),
    'lent parts and lost messages': warmup_replay.Load(
        [48.0] * 8 + [0.0] * 18, lost_messages=0.5, view_delay_s=1.0
    ),
    'burst on saved credit': warmup_replay.Load(
        [16.0] * 26, callers_from=15.8
    ),
    'burst on saved credit at many': warmup_replay.Load(
        [10.0] * 68, callers_from=15.8
    ),
    'many routers, lost messages': warmup_replay.Load(
        [8.0] * 68, lost_messages=0.5, view_delay_s=1.5
    ),
}


def make_warmups(hosts=(), host='a', clock=None):
    clock = clock or helpers_edge.Clock()
    warmups = server_warmups.ServerWarmups(
        host,
        clock,
        lambda: [each for each in hosts if each != host],
        random.Random(1),
    )
    warmups.list_warmups = lambda: {'chat': WARMUP}
    return clock, warmups


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize('load', [*LOADS, *FAILURES])
def test_no_second_exceeds_what_the_users_allow(load, seed):
    replay = warmup_replay.Replay('product', (LOADS | FAILURES)[load], seed)
    assert replay.run().most_in_a_second() <= warmup_replay.BOUND


@pytest.mark.parametrize('load', LOADS)
def test_declared_rate_is_used_nearly_as_by_one_scheduler(load):
    product, scheduler = (
        warmup_replay.Replay(way, LOADS[load]).run().used_share()
        for way in ('product', 'scheduler')
    )
    assert product >= 0.9 * scheduler


def test_servers_that_return_were_flooded():
    load = LOADS['a zone of 26']
    replay = warmup_replay.Replay('unlimited', load).run()
    assert replay.most_in_a_second() > warmup_replay.BOUND


# Parts by demand, as of rates that servers name, give each router a burst.
@pytest.mark.parametrize(
    'load', ['burst on saved credit', 'burst on saved credit at many']
)
def test_parts_by_demand_alone_exceed_the_bound(load):
    replay = warmup_replay.Replay('named', FAILURES[load]).run()
    assert replay.most_in_a_second() > warmup_replay.BOUND


def test_router_that_has_just_started_sends_nothing():
    clock, warmups = make_warmups()
    warmups.record_listed(SERVER, True)
    clock.now += WARMUP.duration_s - 0.1
    assert warmups.share(SERVER) == 0.0
    assert warmups.time_until_free_s(SERVER) == pytest.approx(0.1)


def test_lent_part_is_not_used_before_all_peers_stopped_using_it():
    clock, warmups = make_warmups(['a', 'b'])
    peer_news = {'chat': peer_message.PoolAnnouncement(50.0, 1.0)}
    for _ in range(40):
        clock.now += 0.25
        warmups.record_announced('b', peer_news)
        lent = warmups.announce()
    assert lent['chat'].kept == 0.0
    for _ in range(200):
        warmups.record_demand('chat')
    assert warmups.announce()['chat'].kept == 1.0
    lent_until = clock.now + server_warmups.BINDING_S
    while clock.now < lent_until - 0.2:
        warmups.begin(SERVER, 1.0)
        assert warmups.share(SERVER) == 0.0
        clock.now += 0.1
    clock.now = lent_until + 0.2
    warmups.begin(SERVER, 1.0)
    assert warmups.share(SERVER) == 9.0


def test_silent_routers_keep_their_parts():
    clock, warmups = make_warmups()
    census = router_census.RouterCensus(clock)
    for number in range(9):
        census.record_heard(f'r{number}')
    warmups.list_peers = census.list_running
    clock.now += 10.0
    warmups.begin(SERVER, 500.0)
    assert warmups.share(SERVER) == 1.8
    clock.now += 60.0
    assert warmups.share(SERVER) == 1.8


def test_server_that_returns_twice_is_cold_each_time():
    clock, warmups = make_warmups()
    clock.now += 10.0
    for start in (2, 3):
        server = helpers_edge.make_server('e', started_at_ms=start)
        assert warmups.record_listed(server, True)
        assert warmups.is_limited(server)
        clock.now += WARMUP.duration_s - 0.1
        assert warmups.is_limited(server)
        warmups.forget('e')
    assert not warmups.cold


def test_entry_never_shortens_the_time():
    clock, warmups = make_warmups()
    warmups.record_listed(SERVER, True)
    clock.now += 1.0
    entry = helpers_edge.make_server('e', cold_for_s=0.5)
    assert not warmups.record_listed(entry, False)
    assert warmups.time_left_s(SERVER) == 2.0


def test_server_that_says_so_is_cold_again():
    clock, warmups = make_warmups()
    entry = helpers_edge.make_server('e', cold_for_s=2.0)
    assert warmups.record_listed(entry, False)
    clock.now += 2.0
    assert not warmups.is_limited(SERVER)


def test_servers_are_cold_after_their_data_centre_was_restored():
    clock, warmups = make_warmups()
    restored_at = clock.now - 1.0
    warmups.restored_at = {'north': restored_at}.get
    assert warmups.time_left_s(SERVER) == 2.0
    other = helpers_edge.make_server('f', data_centre='south')
    assert not warmups.is_limited(other)
    clock.now += 2.0
    assert not warmups.is_limited(SERVER)


def test_pool_without_a_warmup_is_not_limited():
    _, warmups = make_warmups()
    entry = helpers_edge.make_server('e', pool='web', cold_for_s=2.0)
    assert not warmups.record_listed(entry, True)
    assert warmups.time_until_free_s(entry) == 0.0
    assert not warmups.announce().keys() - {'chat'}


def test_router_that_was_frozen_relies_on_no_announcement():
    clock, warmups = make_warmups(['a', 'b'])
    clock.now += 10.0
    warmups.begin(SERVER, 3.0)
    lent = {'chat': peer_message.PoolAnnouncement(0.0, 0.0)}
    warmups.record_announced('b', lent)
    assert warmups.share(SERVER) == 18.0
    warmups.forget_announcements()
    clock.now += 0.2
    assert warmups.share(SERVER) == 9.0
