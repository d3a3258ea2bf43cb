"""``bundle diff``: compare two bundles field by field."""

import dataclasses

from arbutusvale import errors
from arbutusvale import yaml_documents
from arbutusvale.protocol import bundle
from arbutusvale.protocol import signing
from arbutusvale.ui import exit_codes
from arbutusvale.ui import operator_context
from arbutusvale.ui import output
from arbutusvale.ui.commands import rollout


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A field whose value differs; a value is None where it is missing."""

    field: str
    old: object
    new: object


def run(options: dict) -> int | None:
    """Compare BUNDLE with OTHER or with the head of the config stream."""
    new = read_bundle(options['BUNDLE'])
    if options['OTHER']:
        old = read_bundle(options['OTHER'])
        return print_changes(compare(old, new), options['--json'])
    if not options['--settings']:
        raise errors.UsageError(
            'There is nothing to compare with.',
            'Name a second bundle, or give --settings to use the head.',
        )

    async def compare_with_head(
        context: operator_context.OperatorContext,
    ) -> int:
        head = await context.make_rollout().read_head()
        old = head.bundle if head else None
        return print_changes(compare(old, new), options['--json'])

    return operator_context.run(options['--settings'], compare_with_head)


def read_bundle(path: str) -> bundle.Bundle:
    """Read a bundle from YAML or from a signed record."""
    signed = rollout.read_signed_record(path)
    if signed is not None:
        return signing.read_bundle(signing.decode(signed))
    return yaml_documents.read(path, bundle.Bundle)


def compare(old: bundle.Bundle | None, new: bundle.Bundle) -> list[Change]:
    """List the fields that differ, sorted by name; all without ``old``."""
    before = flatten(dataclasses.asdict(old)) if old else {}
    after = flatten(dataclasses.asdict(new))
    return [
        Change(field, before.get(field), after.get(field))
        for field in sorted(before.keys() | after.keys())
        if before.get(field) != after.get(field)
    ]


def flatten(value: object, field: str = '') -> dict[str, object]:
    """Map dotted field names to the values of the leaves."""
    prefix = f'{field}.' if field else ''
    match value:
        case dict() if value:
            children = value.items()
        case list() if value:
            children = enumerate(value)
        case _:
            return {field: value}
    flat = {}
    for name, child in children:
        flat.update(flatten(child, f'{prefix}{name}'))
    return flat


def print_changes(changes: list[Change], as_json: bool) -> int:
    """Print the changes."""
    if as_json:
        output.print_json([dataclasses.asdict(each) for each in changes])
    elif not changes:
        print('no difference')
    for change in [] if as_json else changes:
        if change.old is not None:
            print(f'- {change.field}: {change.old}')
        if change.new is not None:
            print(f'+ {change.field}: {change.new}')
    return exit_codes.ExitCode.DONE
