"""Run the trial fleet's demonstration and check its promises."""

import asyncio
import dataclasses

from arbutusvale.load import report
from arbutusvale.load import workloads
from arbutusvale.standins import fleetshape
from arbutusvale.ui import exitcodes
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
        trial.play_day(
            fleetshape.FleetShape(seed=seed),
            workloads.WorkloadParameters(
                seed=seed, seconds=DEMO_S, chats=110, bookings=60, reads=60
            ),
        )
    )
    result = played.result
    if options['--json']:
        output.print_json(dataclasses.asdict(result))
    else:
        rollout.report(played.rollout, as_json=False)
        print(report.format_policy_table([result]))
        for broken in result.broken:
            print(f'BROKEN: {broken}')
        print('no promise broke' if not result.broken else 'promises broke')
    if result.broken:
        return exitcodes.ExitCode.FAILED
    return exitcodes.ExitCode.DONE
