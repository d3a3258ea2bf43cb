"""Measure every policy on the same seeded day, and control bytes by size."""

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
    """Play the days, then write and print what they showed."""
    main_seed = parse_seed(options['--seed'])
    folder = pathlib.Path(options['--out'])
    folder.mkdir(parents=True, exist_ok=True)
    measured = asyncio.run(measure(main_seed, str(folder)))
    report.write_json(measured, folder / 'measure.json')
    report.write_text(measured, folder / 'measure.txt')
    plots.draw(measured, folder / 'measure.png')
    if options['--json']:
        output.print_json(dataclasses.asdict(measured))
    else:
        print(report.format_report(measured), end='')
    return exit_codes.ExitCode.DONE


def parse_seed(text: str) -> int:
    """Read the seed of the load."""
    if not text.isdigit():
        raise errors.UsageError(
            f'{text!r} is no seed.', 'Give a whole number, as --seed=1.'
        )
    return int(text)


async def measure(seed: int, folder: str) -> report.Measurement:
    """Measure all policies in turn, then the slope of control bytes."""
    results = []
    for deployment in DEPLOYMENTS:
        for policy in POLICIES:
            shape = dataclasses.replace(deployment, policy=policy, seed=seed)
            day = dataclasses.replace(WORKLOAD_PARAMETERS, seed=seed)
            played = await trial.run_trial(shape, day)
            results.append(played.result)
    points = [await measure_idle_fleet(size, seed) for size in FLEET_SIZES]
    command = f'arbutusvale-load measure --seed={seed} --out={folder}'
    load_average = os.getloadavg()[0]
    return report.Measurement(command, seed, load_average, results, points)


async def measure_idle_fleet(
    sidecars: int, seed: int
) -> report.FleetSizeResult:
    """Count the control bytes of an idle fleet with ``sidecars`` engines."""
    shape = fleet_config.FleetConfig(engines=sidecars, services=0, seed=seed)
    idle = fleet.TrialFleet(shape)
    await idle.start()
    try:
        await trial.roll_out(idle, 'idle-1')
        await idle.wait_ready()
        await asyncio.sleep(SETTLING_TIME_S)
        view = trial.TrialFleetAdapter(idle)
        before = await view.read_traffic()
        await asyncio.sleep(IDLE_MEASUREMENT_S)
        control = rates.compute_control_rates(
            before, await view.read_traffic(), IDLE_MEASUREMENT_S
        )
    finally:
        await idle.stop()
    return report.FleetSizeResult(sidecars, IDLE_MEASUREMENT_S, control)
