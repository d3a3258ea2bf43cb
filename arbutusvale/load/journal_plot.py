"""Plot of the rounds of a bench journal."""

import pathlib

from arbutusvale.load import journal

MAX_PRICES = 6


def draw(rounds: list[journal.Round], path: pathlib.Path) -> None:
    """Write a PNG of worth and the largest prices of each site's rounds."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    sites = sorted(
        {round_.site for round_ in rounds if round_.worth is not None}
    )
    figure, axes = pyplot.subplots(
        max(1, len(sites)), 2, figsize=(14, 4 * max(1, len(sites))),
        squeeze=False,
    )  # fmt: skip
    for (left, right), site in zip(axes, sites, strict=False):
        site_rounds = [
            round_
            for round_ in rounds
            if round_.site == site and round_.worth is not None
        ]
        _draw_worth(left, site, site_rounds)
        _draw_prices(right, site, site_rounds)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _draw_worth(axes, site: str, rounds: list[journal.Round]) -> None:
    """Plot the mean worth of days with trouble.

    Rounds in which a rule was broken are red.
    """
    numbers = range(len(rounds))
    axes.plot(
        numbers,
        [round_.worth for round_ in rounds],
        color='gray',
        zorder=1,
    )
    axes.scatter(
        numbers,
        [round_.worth for round_ in rounds],
        c=['red' if round_.broken else 'green' for round_ in rounds],
        zorder=2,
    )
    axes.set_title(f'{site}: mean worth of days with trouble')
    axes.set_xlabel('round (red: a rule was broken)')


def _draw_prices(axes, site: str, rounds: list[journal.Round]) -> None:
    """Plot the prices that are largest in the first or last round."""
    first_and_last = [*rounds[:1], *rounds[-1:]]
    names = {name for round_ in first_and_last for name in round_.prices}
    largest = sorted(
        names,
        key=lambda name: (
            -max(round_.prices.get(name, 0) for round_ in first_and_last)
        ),
    )[:MAX_PRICES]
    for name in largest:
        axes.plot(
            [round_.prices.get(name, 0.0) for round_ in rounds],
            label=name,
        )
    axes.set_title(f'{site}: what was paid, as a share of worth')
    axes.set_xlabel('round')
    axes.legend(fontsize=7)
