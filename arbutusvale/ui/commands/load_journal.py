"""Show the bench's journal as a table, and draw it."""

import dataclasses
import json
import pathlib

from arbutusvale.load import journal
from arbutusvale.load import journal_plot


def run(options: dict) -> int | None:
    """Print the rounds; draw them when a file is named."""
    rounds = journal.filter_rounds(
        journal.read_rounds(pathlib.Path(options['FOLDER'])),
        options['--site'] or '',
        options['--command'] or '',
    )
    if options['--json']:
        print(json.dumps([dataclasses.asdict(one) for one in rounds]))
    else:
        print(journal.format_table(rounds))
    if options['--plot']:
        journal_plot.draw(rounds, pathlib.Path(options['--plot']))
    return None
