"""``journal``: print and plot the results journal of the users' bench."""

import dataclasses
import json
import pathlib

from arbutusvale.load import journal
from arbutusvale.load import journal_plot


def run(options: dict) -> int | None:
    """Print the bench runs; plot them if ``--plot`` is given."""
    rounds = journal.filter_rounds(
        journal.read_rounds(pathlib.Path(options['FOLDER'])),
        options['--site'] or '',
        options['--command'] or '',
    )
    if options['--json']:
        print(
            json.dumps(
                [dataclasses.asdict(bench_round) for bench_round in rounds]
            )
        )
    else:
        print(journal.format_table(rounds))
    if options['--plot']:
        journal_plot.draw(rounds, pathlib.Path(options['--plot']))
    return None
