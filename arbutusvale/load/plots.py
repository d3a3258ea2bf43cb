"""Draw measurements as one PNG."""

import pathlib

from arbutusvale.load import report
from arbutusvale.state import router_metrics


def draw(measurement: report.Measurement, path: pathlib.Path) -> None:
    """Draw reuse, skew, first token and control bytes as one PNG."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    grouped = report.by_deployment(measurement.results)
    figure, axes = pyplot.subplots(
        len(grouped) + 1, 3, figsize=(15, 4 * len(grouped) + 4), squeeze=False
    )
    for row, (name, results) in zip(axes, grouped.items(), strict=False):
        _draw_results(row, name, results)
    _draw_slope(axes[-1][0], measurement.slope)
    axes[-1][1].axis('off')
    axes[-1][2].axis('off')
    figure.suptitle(f'seed {measurement.seed}')
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _draw_results(axes, name: str, results: list[report.PolicyResult]) -> None:
    """Draw one deployment's reuse, skew and first token."""
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
    """Draw one group of bars per policy."""
    width = 0.8 / len(series)
    for index, (label, values) in enumerate(series.items()):
        places = [place + index * width for place in range(len(names))]
        axes.bar(places, values, width, label=label)
    middle = 0.4 - width / 2
    axes.set_xticks([place + middle for place in range(len(names))], names)
    axes.set_title(title)
    axes.legend(loc='lower right')


def _draw_slope(axes, points: list[report.SlopePoint]) -> None:
    """Draw control bytes by size of the fleet."""
    axes.set_title('control B/s per process, idle')
    axes.set_xlabel('sidecars')
    sizes = [point.sidecars for point in points]
    roles = points[0].control if points else {}
    for role in roles:
        rates = [point.control[role].mean for point in points]
        axes.plot(sizes, rates, marker='o', label=role)
    axes.set_ylim(bottom=0)
    if roles:
        axes.legend()
