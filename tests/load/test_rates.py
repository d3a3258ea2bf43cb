import pytest

from arbutusvale.load import fleetview
from arbutusvale.load import rates


def usage(name, sent, received=0, role='router'):
    return fleetview.ProcessUsage(
        name, role, {'Heartbeat': sent}, {'Heartbeat': received}, 0
    )


def test_rates_count_both_directions_of_processes_seen_twice():
    before = [usage('a', 10, 5), usage('gone', 1)]
    after = [usage('a', 30, 15), usage('b', 99)]
    result = rates.control_rates(before, after, 10.0)
    assert result['router'].processes == 1
    assert result['router'].mean == pytest.approx(3.0)
    assert result['router'].by_kind == {'Heartbeat': pytest.approx(3.0)}
