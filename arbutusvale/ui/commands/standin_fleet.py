"""Run the trial fleet's demonstration and check its promises."""

import asyncio
import dataclasses

from arbutusvale.load import report
from arbutusvale.load import workloads
from arbutusvale.standins import fleet_config
from arbutusvale.ui import exit_codes
from arbutusvale.ui import main
from arbutusvale.ui import output
from arbutusvale.ui import trial
from arbutusvale.ui.commands import rollout

DEMO_S = 30.0


def run(options: dict) -> int:
    """Play a short day with churn and print what it showed."""
    main.start_logging('error')
    seed = int(options['--seed'])
    played = asyncio.run(
        trial.run_trial(
            fleet_config.FleetConfig(seed=seed),
            workloads.WorkloadParameters(
                seed=seed, seconds=DEMO_S, chats=110, bookings=60, reads=60
            ),
        )
    )
    result = played.result
    if options['--json']:
        output.print_json(dataclasses.asdict(result))
    else:
        rollout.print_outcome(played.rollout, as_json=False)
        print(report.format_policy_table([result]))
        for broken in result.broken:
            print(f'BROKEN: {broken}')
        print('no promise broke' if not result.broken else 'promises broke')
    if result.broken:
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.DONE
