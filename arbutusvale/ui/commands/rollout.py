"""``rollout``: publish a bundle and wait until every listed VM has it."""

import dataclasses
import pathlib

from arbutusvale import errors
from arbutusvale.coordination import rollout
from arbutusvale.protocol import signing
from arbutusvale.ui import exit_codes
from arbutusvale.ui import operator_context
from arbutusvale.ui import output
from arbutusvale.ui.commands import bundle_sign

_EXIT_CODES = {
    rollout.InForceEverywhere: exit_codes.ExitCode.DONE,
    rollout.LostRace: exit_codes.ExitCode.LOST_RACE,
    rollout.Refused: exit_codes.ExitCode.FAILED,
    rollout.OutcomeUnknown: exit_codes.ExitCode.OUTCOME_UNKNOWN,
    rollout.Laggards: exit_codes.ExitCode.LAGGARDS,
}


def run(options: dict) -> int | None:
    """Roll out a YAML bundle or a file that ``bundle sign`` wrote."""
    timeout = parse_timeout(options['--timeout'])

    async def roll_out(context: operator_context.OperatorContext) -> int:
        publisher = context.make_rollout()
        record = await prepare_record(context, publisher, options)
        outcome = await publisher.publish(record, timeout)
        print_outcome(outcome, options['--json'])
        return _EXIT_CODES[type(outcome)]

    return operator_context.run(options['--settings'], roll_out)


async def prepare_record(
    context: operator_context.OperatorContext,
    publisher: rollout.Rollout,
    options: dict,
) -> bytes:
    """Return the record to publish: the signed file, or BUNDLE signed now."""
    path = options['BUNDLE']
    head = await publisher.read_head()
    signed = read_signed_record(path)
    if signed is not None:
        return signed
    parent = bundle_sign.parse_parent_digest(options['--parent'])
    if parent is None:
        parent = head.digest if head else b''
    record = bundle_sign.make_signed_record(context, path, parent)
    version = signing.read_bundle(signing.decode(record)).version
    if head is not None and version == head.version:
        raise errors.UsageError(
            f'Version {version} is in force already.',
            f'Give {path} another version.',
        )
    return record


def read_signed_record(path: str) -> bytes | None:
    """Read a signed record; None if the file is not one or is unreadable."""
    try:
        data = pathlib.Path(path).read_bytes()
        signing.decode(data)
    except (OSError, signing.BundleRecordError):
        return None
    return data


def parse_timeout(text: str) -> float:
    """Parse the number of seconds to wait."""
    try:
        return float(text)
    except ValueError as error:
        raise errors.UsageError(
            f'{text!r} is no number of seconds.', 'Give --timeout=30.'
        ) from error


def print_outcome(outcome: rollout.Outcome, as_json: bool) -> None:
    """Print the outcome and the next step of the operator, if any."""
    if as_json:
        name = type(outcome).__name__
        output.print_json({'outcome': name, **dataclasses.asdict(outcome)})
        return
    match outcome:
        case rollout.InForceEverywhere(offset=offset, version=version):
            print(
                f'accepted: version {version} at offset {offset}, in force '
                f'on all {outcome.vms} VMs after {outcome.seconds:.1f} s'
            )
        case rollout.LostRace(winner=winner, by=by):
            print(
                f'lost the race: version {winner} by {by} is in force. '
                'Compare with `arbutusvale bundle diff`, take over what is '
                'yours and roll out again.'
            )
        case rollout.Refused(reason=reason):
            print(
                f'refused: {reason}. Nothing changed; correct it and roll '
                'out again.'
            )
        case rollout.OutcomeUnknown(publication=publication, cause=cause):
            print(
                f'outcome not known: {cause} Look for publication '
                f'{publication} in `arbutusvale history` when the log '
                'service is back, before rolling out again.'
            )
        case rollout.Laggards(version=version, names=names):
            print(f'accepted: version {version}, but not yet reported by')
            output.print_table(
                ['vm', 'found'],
                [[laggard.vm, laggard.found] for laggard in names],
            )
