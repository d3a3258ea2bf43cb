"""Turn byte counts of two moments into control bytes per second."""

import collections

from arbutusvale.load import report
from arbutusvale.load import target_fleet


def compute_control_rates(
    before: list[target_fleet.ProcessTraffic],
    after: list[target_fleet.ProcessTraffic],
    seconds: float,
) -> dict[str, report.ControlRates]:
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
        role: report.ControlRates(
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
    before: target_fleet.ProcessTraffic, after: target_fleet.ProcessTraffic
) -> collections.Counter:
    """Return the control bytes since then, by kind, in both directions."""
    total = collections.Counter(after.sent_bytes_by_kind)
    total.update(after.received_bytes_by_kind)
    total.subtract(before.sent_bytes_by_kind)
    total.subtract(before.received_bytes_by_kind)
    return total
