"""``fleet``: run a demo on the trial fleet and check its guarantees."""

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
    """Run a short workload with pool changes and print the results."""
    main.start_logging('error')
    seed = int(options['--seed'])
    trial_result = asyncio.run(
        trial.run_trial(
            fleet_config.FleetConfig(seed=seed),
            workloads.WorkloadParameters(
                seed=seed, seconds=DEMO_S, chats=110, bookings=60, reads=60
            ),
        )
    )
    result = trial_result.result
    if options['--json']:
        output.print_json(dataclasses.asdict(result))
    else:
        rollout.print_outcome(trial_result.rollout, as_json=False)
        print(report.format_policy_table([result]))
        for violation in result.broken:
            print(f'BROKEN: {violation}')
        print('no promise broke' if not result.broken else 'promises broke')
    if result.broken:
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.DONE
