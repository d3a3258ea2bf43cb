"""Show the bundle in force and what every listed VM reports."""

import dataclasses
import time

from arbutusvale import errors
from arbutusvale.coordination import fleet_status
from arbutusvale.state import bundle_chain
from arbutusvale.ui import exitcodes
from arbutusvale.ui import operatordesk
from arbutusvale.ui import output


@dataclasses.dataclass(frozen=True, slots=True)
class HeadStatus:
    """Describe the bundle in force; ``age_s`` is since its last append.

    ``claim_window_s`` is for how long a key of a non-idempotent request is
    surely remembered: no longer than the log keeps records.
    """

    version: str
    operator: str
    offset: int
    digest: str
    age_s: float
    retention_s: float
    claim_window_s: float


def run(options: dict) -> int | None:
    """Print the head and a line per VM; LAGGARDS when one is behind."""

    async def show(desk: operatordesk.OperatorDesk) -> int:
        head = await read_head(desk)
        vms = await desk.vm_list.read()
        reports = await fleet_status.read_reports(vms, desk.admin.read_status)
        if options['--json']:
            print_json(head, reports)
        else:
            print_table(head, reports)
        return judge(head, reports)

    return operatordesk.run(options['--settings'], show)


async def read_head(desk: operatordesk.OperatorDesk) -> HeadStatus | None:
    """Read the head from the log; None without one or without the log."""
    try:
        await desk.reader.read_to_end()
    except errors.LogUnavailable:
        return None
    head = desk.chain.head
    if head is None:
        return None
    return describe_head(desk, head)


def describe_head(
    desk: operatordesk.OperatorDesk, head: bundle_chain.ActiveBundle
) -> HeadStatus:
    """Describe the head with the log's retention."""
    reader = desk.reader
    window = head.bundle.limits.claim_window_s
    if reader.retention_s > 0:
        window = min(window, reader.retention_s)
    return HeadStatus(
        head.version,
        head.operator,
        head.offset,
        head.digest.hex(),
        round(time.time() - reader.records[head.offset].time, 1),
        reader.retention_s,
        window,
    )


def judge(
    head: HeadStatus | None, reports: list[fleet_status.VmReport]
) -> exitcodes.ExitCode:
    """Choose the exit code."""
    if head is None:
        return exitcodes.ExitCode.FAILED
    if all(report.has_offset(head.offset) for report in reports):
        return exitcodes.ExitCode.DONE
    return exitcodes.ExitCode.LAGGARDS


def print_json(
    head: HeadStatus | None, reports: list[fleet_status.VmReport]
) -> None:
    """Print the status as JSON."""
    output.print_json(
        {
            'head': dataclasses.asdict(head) if head else None,
            'vms': [
                {
                    **dataclasses.asdict(report.vm),
                    'bundle': (
                        dataclasses.asdict(report.status)
                        if report.status
                        else None
                    ),
                }
                for report in reports
            ],
        }
    )


def print_table(
    head: HeadStatus | None, reports: list[fleet_status.VmReport]
) -> None:
    """Print the status for a terminal."""
    if head is None:
        print('no bundle could be read from the log service')
    else:
        print(
            f'version {head.version} by {head.operator}, offset '
            f'{head.offset}, appended {head.age_s:.0f} s ago'
        )
        print(
            f'keys are remembered for {head.claim_window_s:.0f} s '
            f'(the log keeps records for {head.retention_s:.0f} s)'
        )
    rows = [
        [
            report.vm.name,
            report.vm.role,
            report.vm.data_centre,
            report.vm.pool or '-',
            report.vm.state,
            report.describe(),
            report.status.offset if report.status else '-',
        ]
        for report in reports
    ]
    header = ['vm', 'role', 'data centre', 'pool', 'state', 'bundle', 'offset']
    output.print_table(header, rows)
