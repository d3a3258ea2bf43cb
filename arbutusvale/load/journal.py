"""Reader of the journal that the users' bench keeps of its runs.

The bench is a separate program that measures the fleet over the days of a
site.  Each run, or round, is one JSON file.  A day has a worth, prices,
which are costs as shares of the worth, and the rules that were broken.
"""

from collections.abc import Iterable
import dataclasses
import json
import pathlib

from arbutusvale import errors

# Values of a day's ``slot`` that count as days with trouble.
TROUBLE_SLOTS = ('trouble', 'scale')
MAX_WHY_CHARS = 48


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """Summary of one run of the bench over the days of a site.

    ``worth`` is the mean over the days with trouble, None if there are
    none; ``prices`` maps a cost to its mean share of worth; ``broken``
    maps a rule to the number of days on which it was broken.
    """

    at: str
    id: str
    command: str
    site: str
    why: str
    days: int
    worth: float | None
    served: float | None
    prices: dict[str, float]
    broken: dict[str, int]


def read_rounds(folder: pathlib.Path) -> list[Round]:
    """Read all entries of a journal, oldest first.

    Raise UsageError if the folder has none, DocumentError for a file that
    is not an entry.
    """
    paths = sorted(folder.glob('*.json'))
    if not paths:
        raise errors.UsageError(
            f'{folder} contains no journal entries (*.json).',
            'Pass the journal folder of this repository.',
        )
    return [_read_entry(path) for path in paths]


def filter_rounds(
    rounds: Iterable[Round], site: str, command: str
) -> list[Round]:
    """Return the rounds of a site and command; empty strings match all."""
    return [
        round_
        for round_ in rounds
        if site in ('', round_.site) and command in ('', round_.command)
    ]


def format_table(rounds: list[Round]) -> str:
    """Format the rounds as a table, one per line."""
    lines = [
        f'{"when":16} {"id":8} {"command":8} {"site":20} {"days":>4} '
        f'{"worth":>6} {"served":>6}  {"broken":16} why'
    ]
    for round_ in rounds:
        broken = ' '.join(f'{rule} {n}' for rule, n in round_.broken.items())
        lines.append(
            f'{round_.at[:16]:16} {round_.id:8} {round_.command:8} '
            f'{round_.site:20} {round_.days:4} '
            f'{_format_share(round_.worth):>6} '
            f'{_format_share(round_.served):>6}  '
            f'{broken or "-":16} {round_.why[:MAX_WHY_CHARS]}'
        )
    return '\n'.join(lines)


def _format_share(value: float | None) -> str:
    """Format a share with three decimals, or a dash for None."""
    return '-' if value is None else f'{value:.3f}'


def _read_entry(path: pathlib.Path) -> Round:
    """Read and summarize one entry."""
    try:
        entry = json.loads(path.read_text())
        days = [day for day in entry.get('days') or [] if day.get('parts')]
        return Round(
            at=entry['at'][0],
            id=entry['id'],
            command=entry['cmd'],
            site=entry.get('site') or '-',
            why=entry.get('why') or '',
            days=len(days),
            worth=_mean(
                day['G'] for day in days if day.get('slot') in TROUBLE_SLOTS
            ),
            served=_mean(day['served'] for day in days),
            prices=_average_prices(days),
            broken=_count_broken_rules(days),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.DocumentError(
            str(path), [f'it is not a journal entry: {error!r}']
        ) from error


def _mean(values: Iterable[float | None]) -> float | None:
    """Return the mean without None values; None if no value is left."""
    known = [value for value in values if value is not None]
    return sum(known) / len(known) if known else None


def _average_prices(days: list[dict]) -> dict[str, float]:
    """Return the mean share of worth of each price."""
    totals: dict[str, float] = {}
    for day in days:
        for name, _, share in day.get('prices') or []:
            # The share is null on a day without service, which has no worth.
            totals[name] = totals.get(name, 0.0) + (share or 0.0) / len(days)
    return totals


def _count_broken_rules(days: list[dict]) -> dict[str, int]:
    """Count the days on which each rule was broken."""
    counts: dict[str, int] = {}
    for day in days:
        for rule in day.get('rules') or {}:
            counts[rule] = counts.get(rule, 0) + 1
    return counts
