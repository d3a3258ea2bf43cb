"""Publish a bundle and wait until every listed VM has it."""

import dataclasses
import pathlib

from arbutusvale import errors
from arbutusvale.coordination import rollout
from arbutusvale.protocol import signing
from arbutusvale.ui import exitcodes
from arbutusvale.ui import operatordesk
from arbutusvale.ui import output
from arbutusvale.ui.commands import bundle_sign

_CODES = {
    rollout.InForceEverywhere: exitcodes.ExitCode.DONE,
    rollout.LostRace: exitcodes.ExitCode.LOST_RACE,
    rollout.Refused: exitcodes.ExitCode.FAILED,
    rollout.OutcomeUnknown: exitcodes.ExitCode.OUTCOME_UNKNOWN,
    rollout.Laggards: exitcodes.ExitCode.LAGGARDS,
}


def run(options: dict) -> int | None:
    """Roll out a YAML bundle, or a file that ``bundle sign`` wrote."""
    timeout = read_timeout(options['--timeout'])

    async def roll_out(desk: operatordesk.OperatorDesk) -> int:
        publisher = desk.make_rollout()
        record = await prepare(desk, publisher, options)
        outcome = await publisher.publish(record, timeout)
        report(outcome, options['--json'])
        return _CODES[type(outcome)]

    return operatordesk.run(options['--settings'], roll_out)


async def prepare(
    desk: operatordesk.OperatorDesk,
    publisher: rollout.Rollout,
    options: dict,
) -> bytes:
    """Read or sign the record that is to be published."""
    path = options['BUNDLE']
    head = await publisher.read_head()
    signed = read_signed(path)
    if signed is not None:
        return signed
    parent = bundle_sign.read_parent(options['--parent'])
    if parent is None:
        parent = head.digest if head else b''
    record = bundle_sign.make_record(desk, path, parent)
    version = signing.read_bundle(signing.decode(record)).version
    if head is not None and version == head.version:
        raise errors.UsageError(
            f'Version {version} is in force already.',
            f'Give {path} another version.',
        )
    return record


def read_signed(path: str) -> bytes | None:
    """Read a signed record; None when the file holds something else."""
    try:
        data = pathlib.Path(path).read_bytes()
        signing.decode(data)
    except (OSError, signing.BundleRecordError):
        return None
    return data


def read_timeout(text: str) -> float:
    """Read the number of seconds to wait."""
    try:
        return float(text)
    except ValueError as error:
        raise errors.UsageError(
            f'{text!r} is no number of seconds.', 'Give --timeout=30.'
        ) from error


def report(outcome: rollout.Outcome, as_json: bool) -> None:
    """Print the outcome and, where something is left to do, what."""
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
                ['vm', 'found'], [[each.vm, each.found] for each in names]
            )
