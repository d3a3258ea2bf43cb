"""Turn byte counts of two moments into control bytes per second."""

import collections

from arbutusvale.load import fleetview
from arbutusvale.load import report


def control_rates(
    before: list[fleetview.ProcessUsage],
    after: list[fleetview.ProcessUsage],
    seconds: float,
) -> dict[str, report.ProcessRates]:
    """Return the rates by role of the processes that ran all the time.

    Bytes sent and received both count, so a byte between two processes of
    the fleet counts at each of them.
    """
    earlier = {usage.name: usage for usage in before}
    rates: dict[str, list[float]] = collections.defaultdict(list)
    kinds: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for usage in after:
        if usage.name not in earlier:
            continue
        grown = _grown(earlier[usage.name], usage)
        rates[usage.role].append(grown.total() / seconds)
        kinds[usage.role].update(grown)
    return {
        role: report.ProcessRates(
            processes=len(values),
            mean=sum(values) / len(values),
            highest=max(values),
            by_kind={
                kind: count / seconds / len(values)
                for kind, count in kinds[role].items()
            },
        )
        for role, values in sorted(rates.items())
    }


def _grown(
    before: fleetview.ProcessUsage, after: fleetview.ProcessUsage
) -> collections.Counter:
    """Return the control bytes since then, by kind, in both directions."""
    total = collections.Counter(after.sent)
    total.update(after.received)
    total.subtract(before.sent)
    total.subtract(before.received)
    return total
