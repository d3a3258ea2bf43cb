"""Read the bench's journal and show worth, prices and broken rules a run."""

from collections.abc import Iterable
import dataclasses
import json
import pathlib

from arbutusvale import errors

TROUBLE_SLOTS = ('trouble', 'scale')
MAX_WHY_CHARS = 48


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """Hold one run of the bench over the days of a site.

    ``worth`` is the mean over days with trouble, None without any;
    ``prices`` maps what was paid for to its mean share of worth.
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

    Raise UsageError when the folder holds none, DocumentError for a file
    that is no entry.
    """
    paths = sorted(folder.glob('*.json'))
    if not paths:
        raise errors.UsageError(
            f'{folder} holds no journal entries.',
            'Name the journal folder of this repository.',
        )
    return [_read_entry(path) for path in paths]


def filter_rounds(
    rounds: Iterable[Round], site: str, command: str
) -> list[Round]:
    """Keep the rounds of a site and command; empty texts keep all."""
    return [
        round_
        for round_ in rounds
        if site in ('', round_.site) and command in ('', round_.command)
    ]


def format_table(rounds: list[Round]) -> str:
    """Return the rounds as a table, one a line."""
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
    """Return a share with three digits, or a dash."""
    return '-' if value is None else f'{value:.3f}'


def _read_entry(path: pathlib.Path) -> Round:
    """Read one entry."""
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
            str(path), [f'it is no journal entry: {error!r}']
        ) from error


def _mean(values: Iterable[float | None]) -> float | None:
    """Return the mean of the known values, None of nothing."""
    known = [value for value in values if value is not None]
    return sum(known) / len(known) if known else None


def _average_prices(days: list[dict]) -> dict[str, float]:
    """Return the mean share of worth that each price took."""
    totals: dict[str, float] = {}
    for day in days:
        for name, _, share in day.get('prices') or []:
            # A day without service has no worth to take a share of.
            totals[name] = totals.get(name, 0.0) + (share or 0.0) / len(days)
    return totals


def _count_broken_rules(days: list[dict]) -> dict[str, int]:
    """Count the days on which each rule was broken."""
    counts: dict[str, int] = {}
    for day in days:
        for rule in day.get('rules') or {}:
            counts[rule] = counts.get(rule, 0) + 1
    return counts
