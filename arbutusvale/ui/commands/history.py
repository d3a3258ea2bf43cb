"""``history``: list the retained records of the config stream."""

import dataclasses
import datetime

from arbutusvale.protocol import signing
from arbutusvale.state import bundle_chain
from arbutusvale.ui import operator_context
from arbutusvale.ui import output


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A record of the config stream and the outcome of its validation.

    ``digest`` identifies the record; ``time`` is its append time.
    """

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

    async def print_history(context: operator_context.OperatorContext) -> None:
        await context.stream_reader.read_to_end()
        entries = [
            make_entry(context, outcome)
            for outcome in context.stream_reader.outcomes
        ]
        if options['--json']:
            output.print_json([dataclasses.asdict(each) for each in entries])
        else:
            print_entries(entries)

    return operator_context.run(options['--settings'], print_history)


def make_entry(
    context: operator_context.OperatorContext, outcome: bundle_chain.Outcome
) -> HistoryEntry:
    """Combine the outcome of a record with the record itself."""
    record = context.stream_reader.records[outcome.offset]
    appended_at = datetime.datetime.fromtimestamp(record.time, datetime.UTC)
    return HistoryEntry(
        outcome.offset,
        appended_at.isoformat(timespec='seconds'),
        type(outcome).__name__.lower(),
        getattr(outcome, 'version', ''),
        getattr(outcome, 'operator', ''),
        getattr(outcome, 'publication', ''),
        signing.digest(record.data).hex(),
        getattr(outcome, 'reason', ''),
    )


def print_entries(entries: list[HistoryEntry]) -> None:
    """Print the entries as a table."""
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
