"""``status``: print the active bundle and what every listed VM reports."""

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
    """The active bundle; ``age_s`` is the time since it was last appended.

    ``claim_window_s`` is how long the idempotency key of a non-idempotent
    request is guaranteed to be remembered: at most the log's retention.
    """

    version: str
    operator: str
    offset: int
    digest: str
    age_s: float
    retention_s: float
    claim_window_s: float


def run(options: dict) -> int | None:
    """Print the head and a line per VM; return LAGGARDS if one is behind."""

    async def print_status(context: operator_context.OperatorContext) -> int:
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

    return operator_context.run(options['--settings'], print_status)


async def read_head(
    context: operator_context.OperatorContext,
) -> HeadStatus | None:
    """Read the head; None if there is none or the log is unavailable."""
    try:
        await context.stream_reader.read_to_end()
    except errors.LogUnavailable:
        return None
    head = context.chain.head
    if head is None:
        return None
    return describe_head(context, head)


def describe_head(
    context: operator_context.OperatorContext, head: bundle_chain.ActiveBundle
) -> HeadStatus:
    """Combine the head with the retention of the log."""
    reader = context.stream_reader
    window_s = head.bundle.limits.claim_window_s
    if reader.retention_s > 0:
        window_s = min(window_s, reader.retention_s)
    return HeadStatus(
        head.version,
        head.operator,
        head.offset,
        head.digest.hex(),
        round(time.time() - reader.records[head.offset].time, 1),
        reader.retention_s,
        window_s,
    )


def choose_exit_code(
    head: HeadStatus | None, reports: list[fleet_status.VmReport]
) -> exit_codes.ExitCode:
    """Return the exit code for the head and the VMs' reports."""
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
    """Print the status as a table."""
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
