"""Rates of control traffic between two samples of byte counters."""

import collections

from arbutusvale.load import report
from arbutusvale.load import target_fleet


def compute_control_rates(
    before: list[target_fleet.ProcessTraffic],
    after: list[target_fleet.ProcessTraffic],
    seconds: float,
) -> dict[str, report.ControlRates]:
    """Compute rates by role, over processes that are in both samples.

    The samples are ``seconds`` apart.  Bytes sent and received both count,
    so a byte between two processes of the fleet counts at each of them.
    """
    before_by_name = {process.name: process for process in before}
    rates_by_role: dict[str, list[float]] = collections.defaultdict(list)
    bytes_by_role: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for process in after:
        if process.name not in before_by_name:
            continue
        byte_counts = _subtract_counts(before_by_name[process.name], process)
        rates_by_role[process.role].append(byte_counts.total() / seconds)
        bytes_by_role[process.role].update(byte_counts)
    return {
        role: report.ControlRates(
            processes=len(values),
            mean=sum(values) / len(values),
            highest=max(values),
            by_kind={
                kind: byte_count / seconds / len(values)
                for kind, byte_count in bytes_by_role[role].items()
            },
        )
        for role, values in sorted(rates_by_role.items())
    }


def _subtract_counts(
    before: target_fleet.ProcessTraffic, after: target_fleet.ProcessTraffic
) -> collections.Counter:
    """Return the bytes between two samples by kind, both directions added."""
    difference = collections.Counter(after.sent_bytes_by_kind)
    difference.update(after.received_bytes_by_kind)
    difference.subtract(before.sent_bytes_by_kind)
    difference.subtract(before.received_bytes_by_kind)
    return difference
