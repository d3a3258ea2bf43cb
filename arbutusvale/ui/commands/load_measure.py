"""``measure``: compare routing policies and control traffic by fleet size.

All policies run the same seeded workload.
"""

import asyncio
import dataclasses
import os
import pathlib

from arbutusvale import errors
from arbutusvale.load import plots
from arbutusvale.load import rates
from arbutusvale.load import report
from arbutusvale.load import workloads
from arbutusvale.standins import fleet
from arbutusvale.standins import fleet_config
from arbutusvale.ui import exit_codes
from arbutusvale.ui import output
from arbutusvale.ui import trial

POLICIES = ('random', 'least_loaded', 'rendezvous', 'directory')
DEPLOYMENTS = (fleet_config.LEMBRETE_SUL, fleet_config.LUMENWALL)
WORKLOAD_PARAMETERS = workloads.WorkloadParameters(
    seconds=45.0, chats=130, bookings=90, reads=180
)
FLEET_SIZES = (6, 12, 24, 48)
IDLE_MEASUREMENT_S = 12.0
SETTLING_TIME_S = 3.0


def run(options: dict) -> int:
    """Measure, write the results to files and print them."""
    seed = parse_seed(options['--seed'])
    folder = pathlib.Path(options['--out'])
    folder.mkdir(parents=True, exist_ok=True)
    measurement = asyncio.run(measure(seed, str(folder)))
    report.write_json(measurement, folder / 'measure.json')
    report.write_text(measurement, folder / 'measure.txt')
    plots.draw(measurement, folder / 'measure.png')
    if options['--json']:
        output.print_json(dataclasses.asdict(measurement))
    else:
        print(report.format_report(measurement), end='')
    return exit_codes.ExitCode.DONE


def parse_seed(text: str) -> int:
    """Parse the seed of the workload."""
    if not text.isdigit():
        raise errors.UsageError(
            f'{text!r} is no seed.', 'Give a whole number, as --seed=1.'
        )
    return int(text)


async def measure(seed: int, folder: str) -> report.Measurement:
    """Measure each policy, then the control traffic of idle fleets."""
    results = []
    for deployment in DEPLOYMENTS:
        for policy in POLICIES:
            config = dataclasses.replace(deployment, policy=policy, seed=seed)
            parameters = dataclasses.replace(WORKLOAD_PARAMETERS, seed=seed)
            trial_result = await trial.run_trial(config, parameters)
            results.append(trial_result.result)
    idle_results = [
        await measure_idle_fleet(size, seed) for size in FLEET_SIZES
    ]
    command = f'arbutusvale-load measure --seed={seed} --out={folder}'
    load_average = os.getloadavg()[0]
    return report.Measurement(
        command, seed, load_average, results, idle_results
    )


async def measure_idle_fleet(
    sidecars: int, seed: int
) -> report.FleetSizeResult:
    """Measure the control traffic of an idle fleet of ``sidecars`` engines."""
    config = fleet_config.FleetConfig(engines=sidecars, services=0, seed=seed)
    trial_fleet = fleet.TrialFleet(config)
    await trial_fleet.start()
    try:
        await trial.roll_out(trial_fleet, 'idle-1')
        await trial_fleet.wait_ready()
        await asyncio.sleep(SETTLING_TIME_S)
        adapter = trial.TrialFleetAdapter(trial_fleet)
        traffic_before = await adapter.read_traffic()
        await asyncio.sleep(IDLE_MEASUREMENT_S)
        rates_by_role = rates.compute_control_rates(
            traffic_before, await adapter.read_traffic(), IDLE_MEASUREMENT_S
        )
    finally:
        await trial_fleet.stop()
    return report.FleetSizeResult(sidecars, IDLE_MEASUREMENT_S, rates_by_role)
