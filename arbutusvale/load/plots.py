"""Plot of a measurement."""

import pathlib

from arbutusvale.load import report
from arbutusvale.state import router_metrics


def draw(measurement: report.Measurement, path: pathlib.Path) -> None:
    """Write a PNG of cache reuse, load skew, latency and control traffic."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    grouped = report.group_by_deployment(measurement.results)
    figure, axes = pyplot.subplots(
        len(grouped) + 1, 3, figsize=(15, 4 * len(grouped) + 4), squeeze=False
    )
    for row, (name, results) in zip(axes, grouped.items(), strict=False):
        _draw_results(row, name, results)
    _draw_fleet_sizes(axes[-1][0], measurement.slope)
    axes[-1][1].axis('off')
    axes[-1][2].axis('off')
    figure.suptitle(f'seed {measurement.seed}')
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _draw_results(axes, name: str, results: list[report.PolicyResult]) -> None:
    """Plot cache reuse, load skew and first-token latency by policy."""
    policies = [result.policy for result in results]
    _draw_bars(
        axes[0],
        f'{name}: cache reuse of returning turns',
        policies,
        {
            'reused': [r.reuse for r in results],
            'best possible': [r.best_reuse for r in results],
        },
    )
    _draw_bars(
        axes[1],
        f'{name}: highest over mean load',
        policies,
        {
            'p50': [r.skew_p50 for r in results],
            'p99': [r.skew_p99 for r in results],
            'max': [r.skew_max for r in results],
        },
    )
    _draw_bars(
        axes[2],
        f'{name}: first token, ms',
        policies,
        {
            f'p{p:.0f}': [r.first_token_ms[f'p{p:.0f}'] for r in results]
            for p in router_metrics.PERCENTILES
        },
    )


def _draw_bars(axes, title: str, names: list[str], series: dict) -> None:
    """Plot a group of bars for each policy, with a bar for each series."""
    width = 0.8 / len(series)
    for index, (label, values) in enumerate(series.items()):
        positions = [
            position + index * width for position in range(len(names))
        ]
        axes.bar(positions, values, width, label=label)
    center_offset = 0.4 - width / 2
    axes.set_xticks(
        [position + center_offset for position in range(len(names))], names
    )
    axes.set_title(title)
    axes.legend(loc='lower right')


def _draw_fleet_sizes(
    axes, results_by_size: list[report.FleetSizeResult]
) -> None:
    """Plot the control traffic of idle fleets by number of sidecars."""
    axes.set_title('control B/s per process, idle')
    axes.set_xlabel('sidecars')
    sizes = [result.sidecars for result in results_by_size]
    roles = results_by_size[0].control if results_by_size else {}
    for role in roles:
        rates = [result.control[role].mean for result in results_by_size]
        axes.plot(sizes, rates, marker='o', label=role)
    axes.set_ylim(bottom=0)
    if roles:
        axes.legend()
