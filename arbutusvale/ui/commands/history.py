"""Show what became of every retained record of the config stream."""

import dataclasses
import datetime

from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from arbutusvale.ui import operatordesk
from arbutusvale.ui import output


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Hold one line of the history; ``digest`` names the record."""

    offset: int
    time: str
    outcome: str
    version: str
    operator: str
    publication: str
    digest: str
    reason: str


def run(options: dict) -> int | None:
    """Print the history, oldest first."""

    async def show(desk: operatordesk.OperatorDesk) -> None:
        await desk.reader.read_to_end()
        entries = [
            make_entry(desk, outcome) for outcome in desk.reader.outcomes
        ]
        if options['--json']:
            output.print_json([dataclasses.asdict(each) for each in entries])
        else:
            print_entries(entries)

    return operatordesk.run(options['--settings'], show)


def make_entry(
    desk: operatordesk.OperatorDesk, outcome: bundle_chain.Outcome
) -> Entry:
    """Describe the outcome of one record."""
    record = desk.reader.records[outcome.offset]
    when = datetime.datetime.fromtimestamp(record.time, datetime.UTC)
    return Entry(
        outcome.offset,
        when.isoformat(timespec='seconds'),
        type(outcome).__name__.lower(),
        getattr(outcome, 'version', ''),
        getattr(outcome, 'operator', ''),
        getattr(outcome, 'publication', ''),
        signing.digest(record.data).hex(),
        getattr(outcome, 'reason', ''),
    )


def print_entries(entries: list[Entry]) -> None:
    """Print the entries for a terminal."""
    rows = [
        [
            entry.offset,
            entry.time,
            entry.outcome,
            entry.version or '-',
            entry.operator or '-',
            entry.publication[:12] or '-',
            entry.reason,
        ]
        for entry in entries
    ]
    output.print_table(
        [
            'offset',
            'time',
            'outcome',
            'version',
            'operator',
            'publication',
            'reason',
        ],
        rows,
    )
