import asyncio

import pytest

from arbutusvale.coordination import quarantine
from arbutusvale.state import suspects
from tests import helpers_log

KILLER = b'killer'
OTHER = b'other'
VMS = ['vm-1', 'vm-2', 'vm-3']


def make_quarantine(vm='vm-1', clock=None):
    made = quarantine.Quarantine(vm, 1, clock=clock or helpers_log.FakeClock())
    made.list_vms = lambda: list(VMS)
    return made


def record_crash(held, *fingerprints):
    asyncio.run(held.record_crash(fingerprints))


def test_second_crash_quarantines_whichever_sidecar_hears_of_it():
    one, two = make_quarantine('vm-1'), make_quarantine('vm-2')
    record_crash(one, KILLER, OTHER)
    two.merge(one.export())
    two.merge(one.export())
    assert two.is_suspect(KILLER)
    assert not two.is_quarantined(KILLER)
    record_crash(two, KILLER)
    one.merge(two.export())
    assert one.list_quarantined() == two.list_quarantined() == [KILLER]


def test_request_that_ran_to_its_end_is_trusted_everywhere():
    one, two = make_quarantine('vm-1'), make_quarantine('vm-2')
    record_crash(one, KILLER)
    two.merge(one.export())
    two.clear(KILLER)
    one.merge(two.export())
    record_crash(one, KILLER)
    assert not one.is_quarantined(KILLER)


def test_all_sidecars_choose_the_same_server_for_a_suspect():
    one, two = make_quarantine('vm-1'), make_quarantine('vm-2')
    record_crash(one, KILLER)
    two.merge(one.export())
    chosen = one.choose_server(KILLER)
    assert chosen == two.choose_server(KILLER)
    assert chosen in ('vm-2', 'vm-3')
    assert one.choose_server(OTHER) == ''


def test_suspects_expire():
    clock = helpers_log.FakeClock()
    held = make_quarantine(clock=clock)
    record_crash(held, KILLER)
    record_crash(held, KILLER)
    assert held.is_quarantined(KILLER)
    clock.now += suspects.RETENTION_S
    assert not held.is_quarantined(KILLER)
    assert held.export() == []


@pytest.mark.parametrize(
    'entry', [1, [], [KILLER], ['text', [], []], [KILLER, 'x', []]]
)
def test_odd_gossip_changes_nothing(entry):
    held = make_quarantine()
    held.merge([entry])
    assert held.export() == []
