"""Tests of which evacuations are in force, by records, peers and outages."""

from arbutusvale.protocol import keyed_log
from arbutusvale.state import evacuations
from arbutusvale.state import server_list
from tests import helpers_edge

# As for entries of servers, which are written again after an outage.
GRACE_S = server_list.RECOVERY_GRACE_S


def at(offset, era=1):
    return keyed_log.Position(era, offset)


def make_evacuated(offset=10, end=11):
    """Return the state after a full read with one evacuation."""
    state = evacuations.Evacuations(helpers_edge.Clock())
    state.replace({'north': at(offset)}, at(end))
    return state


def test_full_read_without_the_record_takes_an_evacuation_back():
    state = make_evacuated()
    state.replace({}, at(12))
    assert not state.is_evacuated('north')
    assert state.restored_at('north') == state.clock()


def test_full_read_from_before_a_told_evacuation_does_not_end_it():
    state = evacuations.Evacuations(helpers_edge.Clock())
    state.start_told('north', at(20))
    state.replace({}, at(15))
    assert state.is_evacuated('north')
    state.end('north', at(12))
    assert state.is_evacuated('north')
    state.replace({}, at(22))
    assert not state.is_evacuated('north')


def test_peer_that_has_read_less_does_not_bring_an_evacuation_back():
    state = make_evacuated()
    state.end('north', at(11))
    state.replace({}, at(12))
    state.start_told('north', at(10))
    assert not state.is_evacuated('north')
    state.start_told('north', at(12))
    assert state.is_evacuated('north')


# What an operator wrote is written again after the store came back older.
def test_evacuation_that_an_older_copy_lacks_stays_until_written_again():
    state = make_evacuated()
    state.note_older_copy({})
    state.replace({}, at(8, era=2))
    state.clock.now += GRACE_S - 0.1
    state.expire()
    assert state.is_evacuated('north')
    state.start('north', at(8, era=2))
    state.clock.now += GRACE_S
    state.expire()
    assert state.is_evacuated('north')


def test_evacuation_that_nobody_writes_again_ends_after_the_grace():
    state = make_evacuated()
    state.replace({}, at(8, era=2))
    state.clock.now += GRACE_S
    state.expire()
    assert not state.is_evacuated('north')


def test_older_copy_does_not_bring_back_what_was_taken_back():
    state = make_evacuated()
    state.clock.now += evacuations.MAX_COPY_AGE_S + 1
    state.end('north', at(11))
    copy = {'north': at(10, era=2)}
    state.note_older_copy(copy)
    for _ in range(2):
        state.replace(copy, at(11, era=2))
        assert not state.is_evacuated('north')
    state.replace({'north': at(12, era=2)}, at(13, era=2))
    assert state.is_evacuated('north')
