"""Show the bundle in force and what every listed VM reports."""

import dataclasses
import time

from arbutusvale import errors
from arbutusvale.coordination import fleet_status
from arbutusvale.state import bundle_chain
from arbutusvale.ui import exit_codes
from arbutusvale.ui import operator_context
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

    async def show(context: operator_context.OperatorContext) -> int:
        head = await read_head(context)
        vms = await context.vm_list.read()
        reports = await fleet_status.read_reports(
            vms, context.admin_client.read_status
        )
        if options['--json']:
            print_json(head, reports)
        else:
            print_table(head, reports)
        return choose_exit_code(head, reports)

    return operator_context.run(options['--settings'], show)


async def read_head(
    context: operator_context.OperatorContext,
) -> HeadStatus | None:
    """Read the head from the log; None without one or without the log."""
    try:
        await context.config_reader.read_to_end()
    except errors.LogUnavailable:
        return None
    head = context.bundle_chain.head
    if head is None:
        return None
    return describe_head(context, head)


def describe_head(
    context: operator_context.OperatorContext, head: bundle_chain.ActiveBundle
) -> HeadStatus:
    """Describe the head with the log's retention."""
    reader = context.config_reader
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


def choose_exit_code(
    head: HeadStatus | None, reports: list[fleet_status.VmReport]
) -> exit_codes.ExitCode:
    """Choose the exit code."""
    if head is None:
        return exit_codes.ExitCode.FAILED
    if all(report.has_offset(head.offset) for report in reports):
        return exit_codes.ExitCode.DONE
    return exit_codes.ExitCode.LAGGARDS


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
