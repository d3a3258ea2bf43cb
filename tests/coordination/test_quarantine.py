import asyncio

import pytest

from arbutusvale.coordination import quarantine
from arbutusvale.state import suspects
from tests import helpers_log

CRASHING = b'killer'
OTHER = b'other'
VMS = ['vm-1', 'vm-2', 'vm-3']


def make_quarantine(vm='vm-1', clock=None):
    made = quarantine.Quarantine(vm, 1, clock=clock or helpers_log.FakeClock())
    made.list_vms = lambda: list(VMS)
    return made


def record_crash(local_quarantine, *fingerprints):
    asyncio.run(local_quarantine.record_crash(fingerprints))


def test_second_crash_quarantines_on_whichever_sidecar_it_is_seen():
    one, two = make_quarantine('vm-1'), make_quarantine('vm-2')
    record_crash(one, CRASHING, OTHER)
    two.merge(one.export())
    two.merge(one.export())
    assert two.is_suspect(CRASHING)
    assert not two.is_quarantined(CRASHING)
    record_crash(two, CRASHING)
    one.merge(two.export())
    assert one.list_quarantined() == two.list_quarantined() == [CRASHING]


def test_request_that_completed_is_cleared_on_all_sidecars():
    one, two = make_quarantine('vm-1'), make_quarantine('vm-2')
    record_crash(one, CRASHING)
    two.merge(one.export())
    two.clear(CRASHING)
    one.merge(two.export())
    record_crash(one, CRASHING)
    assert not one.is_quarantined(CRASHING)


def test_all_sidecars_choose_the_same_server_for_a_suspect():
    one, two = make_quarantine('vm-1'), make_quarantine('vm-2')
    record_crash(one, CRASHING)
    two.merge(one.export())
    chosen = one.choose_server(CRASHING)
    assert chosen == two.choose_server(CRASHING)
    assert chosen in ('vm-2', 'vm-3')
    assert one.choose_server(OTHER) == ''


def test_suspects_expire():
    clock = helpers_log.FakeClock()
    local_quarantine = make_quarantine(clock=clock)
    record_crash(local_quarantine, CRASHING)
    record_crash(local_quarantine, CRASHING)
    assert local_quarantine.is_quarantined(CRASHING)
    clock.now += suspects.RETENTION_S
    assert not local_quarantine.is_quarantined(CRASHING)
    assert local_quarantine.export() == []


@pytest.mark.parametrize(
    'entry', [1, [], [CRASHING], ['text', [], []], [CRASHING, 'x', []]]
)
def test_malformed_gossip_entry_is_ignored(entry):
    local_quarantine = make_quarantine()
    local_quarantine.merge([entry])
    assert local_quarantine.export() == []
