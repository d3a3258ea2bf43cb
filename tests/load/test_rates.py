import pytest

from arbutusvale.load import rates
from arbutusvale.load import target_fleet


def make_traffic(name, sent, received=0, role='router'):
    return target_fleet.ProcessTraffic(
        name, role, {'Heartbeat': sent}, {'Heartbeat': received}, 0
    )


def test_rates_count_both_directions_of_processes_in_both_samples():
    before = [make_traffic('a', 10, 5), make_traffic('gone', 1)]
    after = [make_traffic('a', 30, 15), make_traffic('b', 99)]
    result = rates.compute_control_rates(before, after, 10.0)
    assert result['router'].processes == 1
    assert result['router'].mean == pytest.approx(3.0)
    assert result['router'].by_kind == {'Heartbeat': pytest.approx(3.0)}
