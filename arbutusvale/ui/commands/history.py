"""Show what became of every retained record of the config stream."""

import dataclasses
import datetime

from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from arbutusvale.ui import operator_context
from arbutusvale.ui import output


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
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

    async def show(context: operator_context.OperatorContext) -> None:
        await context.config_reader.read_to_end()
        entries = [
            make_entry(context, outcome)
            for outcome in context.config_reader.outcomes
        ]
        if options['--json']:
            output.print_json([dataclasses.asdict(each) for each in entries])
        else:
            print_entries(entries)

    return operator_context.run(options['--settings'], show)


def make_entry(
    context: operator_context.OperatorContext, outcome: bundle_chain.Outcome
) -> HistoryEntry:
    """Describe the outcome of one record."""
    record = context.config_reader.records[outcome.offset]
    when = datetime.datetime.fromtimestamp(record.time, datetime.UTC)
    return HistoryEntry(
        outcome.offset,
        when.isoformat(timespec='seconds'),
        type(outcome).__name__.lower(),
        getattr(outcome, 'version', ''),
        getattr(outcome, 'operator', ''),
        getattr(outcome, 'publication', ''),
        signing.digest(record.data).hex(),
        getattr(outcome, 'reason', ''),
    )


def print_entries(entries: list[HistoryEntry]) -> None:
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
