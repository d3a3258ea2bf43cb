"""Results of measurements, written as tables and JSON."""

import dataclasses
import json
import math
import pathlib


@dataclasses.dataclass(frozen=True)
class ControlRates:
    """Control bytes per second, sent and received, of processes of one role.

    ``mean`` and ``highest`` are over the processes; ``by_kind`` splits
    ``mean`` by kind of message.
    """

    processes: int
    mean: float
    highest: float
    by_kind: dict[str, float]


@dataclasses.dataclass(frozen=True)
class PolicyResult:
    """Results of a workload with one load-balancing policy.

    Counts that WorkloadStats has too mean the same; ``doubled`` is its
    ``duplicate_bookings``.  ``taken`` counts the requests that engines
    accepted, ``bound_breaches`` those above the load bound and
    ``highest_excess`` by how many at most.  ``above_instant`` counts those
    above the bound by the loads of one instant.
    """

    deployment: str
    policy: str
    seconds: float
    turns: int
    answered: int
    returning: int
    reuse: float
    best_reuse: float
    skew_p50: float
    skew_p99: float
    skew_max: float
    first_token_ms: dict[str, float]
    read_ms: dict[str, float]
    tokens_per_s: float
    bookings: int
    booked: int
    doubled: int
    taken: int
    above_instant: int
    bound_breaches: int
    highest_excess: int
    redirects_per_request: float
    retries_per_request: float
    cpu_ms_per_request: float
    rss_mb: float
    control: dict[str, ControlRates]
    outcomes: dict[str, int]
    broken: list[str]


@dataclasses.dataclass(frozen=True)
class FleetSizeResult:
    """Control traffic by role in an idle fleet of ``sidecars`` sidecars."""

    sidecars: int
    seconds: float
    control: dict[str, ControlRates]


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Results of all policies and fleet sizes, and how to repeat them.

    ``load_average`` is that of the machine over the last minute, at the end.
    """

    command: str
    seed: int
    load_average: float
    results: list[PolicyResult]
    slope: list[FleetSizeResult]


def format_table(headings: list[str], rows: list[list[str]]) -> str:
    """Format a table; the first column is left-aligned, others right."""
    widths = [
        max(len(row[column]) for row in [headings, *rows])
        for column in range(len(headings))
    ]
    lines = [_format_row(headings, widths), '  '.join('-' * w for w in widths)]
    lines += [_format_row(row, widths) for row in rows]
    return '\n'.join(lines)


def _format_row(cells: list[str], widths: list[int]) -> str:
    """Pad and join the cells of a row."""
    padded = [cells[0].ljust(widths[0])]
    padded += [
        cell.rjust(width)
        for cell, width in zip(cells[1:], widths[1:], strict=True)
    ]
    return '  '.join(padded).rstrip()


def format_policy_table(results: list[PolicyResult]) -> str:
    """Format the results as a table with one column per policy."""
    headings = ['measure', *(result.policy for result in results)]
    rows = [
        [name, *(format_cell(result) for result in results)]
        for name, format_cell in _POLICY_ROWS
    ]
    return format_table(headings, rows)


def _format_control_rate(result: PolicyResult, role: str) -> str:
    """Format mean and highest control bytes per second of a role."""
    rates = result.control.get(role)
    if rates is None:
        return '-'
    return f'{rates.mean:.0f}/{rates.highest:.0f}'


def _format_percentiles(times: dict[str, float]) -> str:
    """Format percentiles, separated by slashes."""
    return '/'.join(f'{value:.0f}' for value in times.values())


_POLICY_ROWS = [
    ('turns answered', lambda r: f'{r.answered}/{r.turns}'),
    ('cache reuse', lambda r: f'{r.reuse:.3f}'),
    ('best possible reuse', lambda r: f'{r.best_reuse:.3f}'),
    ('reuse of the possible', lambda r: f'{_relative_reuse(r):.3f}'),
    (
        'skew p50/p99/max',
        lambda r: f'{r.skew_p50:.2f}/{r.skew_p99:.2f}/{r.skew_max:.2f}',
    ),
    (
        'above bound (instant)/taken',
        lambda r: f'{r.bound_breaches} ({r.above_instant})/{r.taken}',
    ),
    (
        'first token p50/95/99 ms',
        lambda r: _format_percentiles(r.first_token_ms),
    ),
    ('status call p50/95/99 ms', lambda r: _format_percentiles(r.read_ms)),
    ('tokens/s', lambda r: f'{r.tokens_per_s:.0f}'),
    ('booked', lambda r: f'{r.booked}/{r.bookings}'),
    ('doubled runs', lambda r: str(r.doubled)),
    ('redirects/request', lambda r: f'{r.redirects_per_request:.3f}'),
    ('retries/request', lambda r: f'{r.retries_per_request:.3f}'),
    (
        'router control B/s mean/max',
        lambda r: _format_control_rate(r, 'router'),
    ),
    (
        'sidecar control B/s mean/max',
        lambda r: _format_control_rate(r, 'sidecar'),
    ),
    ('processor ms/request, all', lambda r: f'{r.cpu_ms_per_request:.2f}'),
    ('resident MB, all', lambda r: f'{r.rss_mb:.0f}'),
]


def _relative_reuse(result: PolicyResult) -> float:
    """Return the cache reuse as a share of the best possible one."""
    if not result.best_reuse:
        return math.nan
    return result.reuse / result.best_reuse


def format_fleet_size_table(fleet_sizes: list[FleetSizeResult]) -> str:
    """Format control bytes per second by number of sidecars."""
    rows = [
        [
            str(fleet_size.sidecars),
            *(
                f'{rates.mean:.0f}/{rates.highest:.0f}'
                for rates in fleet_size.control.values()
            ),
        ]
        for fleet_size in fleet_sizes
    ]
    names = [f'{role} B/s mean/max' for role in fleet_sizes[0].control]
    return format_table(['sidecars', *names], rows)


def format_kind_table(control: dict[str, ControlRates]) -> str:
    """Format control bytes per second by kind of message."""
    rows = [
        [role, kind, f'{rate:.1f}']
        for role, rates in control.items()
        for kind, rate in sorted(
            rates.by_kind.items(), key=lambda item: -item[1]
        )
    ]
    return format_table(['role', 'kind', 'B/s'], rows)


def write_json(measurement: Measurement, path: pathlib.Path) -> None:
    """Write the measurement as JSON."""
    document = dataclasses.asdict(measurement)
    path.write_text(json.dumps(document, indent=1, sort_keys=True) + '\n')


def write_text(measurement: Measurement, path: pathlib.Path) -> None:
    """Write the tables as a text file."""
    path.write_text(format_report(measurement))


def format_report(measurement: Measurement) -> str:
    """Format all tables, with the command and seed that produced them."""
    sections = [
        f'command: {measurement.command}\nseed: {measurement.seed}\n'
        f'load average of the machine: {measurement.load_average:.1f}'
    ]
    for name, results in group_by_deployment(measurement.results).items():
        sections.append(f'{name}, {results[0].seconds:.0f} s')
        sections.append(format_policy_table(results))
        sections += [
            f'BROKEN with {result.policy}: {broken}'
            for result in results
            for broken in result.broken
        ]
        sections.append(f'control bytes by kind, {results[-1].policy}')
        sections.append(format_kind_table(results[-1].control))
    if measurement.slope:
        sections.append('control bytes by size of the fleet, idle')
        sections.append(format_fleet_size_table(measurement.slope))
    return '\n\n'.join(sections) + '\n'


def group_by_deployment(
    results: list[PolicyResult],
) -> dict[str, list[PolicyResult]]:
    """Group results by deployment."""
    grouped: dict[str, list[PolicyResult]] = {}
    for result in results:
        grouped.setdefault(result.deployment, []).append(result)
    return grouped
