import math

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from arbutusvale.state import pool_load_table
from tests import helpers_sidecar as helpers


def make_table(clock=None):
    return pool_load_table.PoolLoadTable('s1', 1, clock or helpers.Clock())


def test_newest_report_wins():
    table = make_table()
    assert table.merge([helpers.make_load('s2', 4, version=7)]) == 1
    assert table.merge([helpers.make_load('s2', 9, version=6)]) == 0
    assert table.total_load == 4
    restarted = helpers.make_load('s2', 1, version=1, incarnation=2)
    assert table.merge([restarted]) == 1
    assert table.total_load == 1


def test_own_entry_is_never_overwritten():
    table = make_table()
    table.set_own_load(3)
    table.merge([helpers.make_load('s1', 99, version=1000)])
    assert table.total_load == 3


def test_listed_peer_counts_before_its_first_report():
    table = make_table()
    table.update_members(['s1', 's2', 's3'])
    table.set_own_load(3)
    assert table.server_count == 3
    assert table.average_load == 1.0


def test_silent_leaving_and_unlisted_peers_do_not_count():
    clock = helpers.Clock()
    table = make_table(clock)
    table.update_members(['s1', 's2', 's3'])
    table.merge(
        [
            helpers.make_load('s2', 2),
            helpers.make_load('s3', 2, state='leaving'),
            helpers.make_load('s4', 2),
        ]
    )
    assert table.server_count == 3
    table.update_members(['s1', 's3'])
    assert [load.vm for load in table.list_least_loaded(5)] == ['s4']
    clock.now += pool_load_table.PEER_TIMEOUT_S + 0.1
    assert table.server_count == 1


def test_conservative_limit_falls_as_reports_age():
    clock = helpers.Clock()
    table = make_table(clock)
    table.merge([helpers.make_load('s2', 10)], 's2', 0.0)
    assert (
        table.conservative_load_limit(1.25, 1.0) == table.load_limit(1.25) == 7
    )
    clock.now += 0.1
    assert table.conservative_load_limit(1.25, 1.0) == 4
    clock.now += 0.4
    assert table.conservative_load_limit(1.25, 1.0) == 1
    assert table.load_limit(1.25) == 7


def test_relayed_report_counts_as_older_than_a_direct_one():
    table = make_table()
    loads = [helpers.make_load('s2', 10), helpers.make_load('s3', 10)]
    table.merge(loads, 's2', 0.0)
    direct, relayed = table.peer_loads['s2'], table.peer_loads['s3']
    assert (
        direct.measured_at - relayed.measured_at
        == pool_load_table.RELAYED_LOAD_AGE_S
    )


def test_suggested_peer_is_suggested_less_for_a_while():
    clock = helpers.Clock()
    table = make_table(clock)
    table.merge([helpers.make_load('s2', 0), helpers.make_load('s3', 1)])

    def suggest():
        return table.choose_alternatives(1)[0].vm

    assert [suggest() for _ in range(4)] == ['s2', 's2', 's3', 's2']
    clock.now += 2 * pool_load_table.SUGGESTION_TTL_S
    assert suggest() == 's2'


@settings(max_examples=200, derandomize=True)
@given(
    strategies.lists(strategies.integers(0, 40), min_size=1, max_size=20),
    strategies.floats(1.01, 3.0),
)
def test_some_server_is_always_under_the_bound(loads, bound):
    table = make_table()
    table.set_own_load(loads[0])
    table.merge(
        helpers.make_load(f's{index + 2}', load)
        for index, load in enumerate(loads[1:])
    )
    limit = table.load_limit(bound)
    assert limit == max(1, math.ceil(bound * (sum(loads) + 1) / len(loads)))
    assert min(loads) + 1 <= limit
