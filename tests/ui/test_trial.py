import asyncio

from arbutusvale.coordination import rollout
from arbutusvale.load import workloads
from arbutusvale.standins import engine
from arbutusvale.standins import fleet_config
from arbutusvale.ui import trial


def test_short_workload_with_pool_changes_violates_no_guarantee():
    config = fleet_config.FleetConfig(
        engines=3,
        services=2,
        vm_lag_s=0.2,
        latencies=engine.EngineLatencies(token_s=0.01),
    )
    parameters = workloads.WorkloadParameters(
        seconds=4.0,
        chats=8,
        mean_turns=3.0,
        burst_chats=3,
        bookings=8,
        reads=8,
    )
    trial_result = asyncio.run(trial.run_trial(config, parameters))
    result = trial_result.result
    assert isinstance(trial_result.rollout, rollout.InForceEverywhere)
    assert result.broken == []
    assert result.answered == result.turns > 0
    assert result.booked == result.bookings == 8
    assert result.reuse > 0
    assert result.control['router'].processes == 2
