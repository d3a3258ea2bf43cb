"""``config check``: check an edge router's configuration before it is sent."""

from collections.abc import Callable
import dataclasses

from arbutusvale.coordination import config_check
from arbutusvale.protocol import config_draft
from arbutusvale.ui import exit_codes
from arbutusvale.ui import output


def run(
    options: dict, read: Callable[[str], config_draft.ConfigDraft]
) -> int | None:
    """Print findings and differences; return FAILED if there are findings.

    ``read`` reads a file, or raises DocumentError.
    """
    draft = read(options['FILE'])
    findings = config_check.find_problems(draft)
    differences = []
    if options['--against']:
        in_force = read(options['--against'])
        findings += config_check.find_version_problem(in_force, draft)
        differences = config_check.compare(in_force, draft)
    if options['--json']:
        output.print_json(
            {
                'version': draft.version,
                'findings': [dataclasses.asdict(each) for each in findings],
                'differences': [
                    dataclasses.asdict(each) for each in differences
                ],
            }
        )
    else:
        for finding in findings:
            print(f'{finding.kind}: {finding.entry}: {finding.problem}')
        for difference in differences:
            count = f' ({difference.count})' if difference.count > 1 else ''
            print(f'differs: {difference.entry}: {difference.change}{count}')
        if not findings:
            print(f'version {draft.version} has no findings')
    if findings:
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.DONE
