"""Validation of YAML documents, with the line of each invalid field."""

import dataclasses
import pathlib
from typing import Any
from typing import TypeVar

import pydantic
import pydantic_core
import yaml

from arbutusvale import errors

Document = TypeVar('Document')

# By the type of pydantic's error.
_REMEDIES = {
    'missing': 'add this field',
    'unexpected_keyword_argument': 'remove this field or correct its name',
    'extra_forbidden': 'remove this field or correct its name',
    'union_tag_invalid': 'use one of the listed kinds',
}
# The type of the error by which a model reports faults across fields.
FAULTS_ERROR_TYPE = 'faults'
# The fast loader needs LibYAML, which not every build of PyYAML has.
_Loader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One invalid field; ``location`` is its path of keys and indexes."""

    location: tuple[str, ...]
    problem: str
    remedy: str


def raise_faults(faults: list[Fault]) -> None:
    """Fail a model's validation if there are faults across its fields."""
    if faults:
        raise pydantic_core.PydanticCustomError(
            FAULTS_ERROR_TYPE, 'fields do not agree', {'faults': faults}
        )


def read(path: str, document_type: type[Document]) -> Document:
    """Read and validate the file at ``path`` as a ``document_type``.

    Raise :class:`errors.DocumentError` with the file, line, field and remedy
    of each fault.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.DocumentError(
            path,
            [f'cannot be read ({error}): check the path and its permissions'],
        ) from error
    return parse(text, document_type, path)


def parse(
    text: str, document_type: type[Document], path: str = '<text>'
) -> Document:
    """Parse and validate ``text``; errors name ``path`` as its file."""
    try:
        root, data = _load(text)
    except (yaml.YAMLError, ValueError) as error:
        mark = getattr(error, 'problem_mark', None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, 'problem', None) or 'not YAML'
        raise errors.DocumentError(
            path, [f'{path}:{line}: {problem}: write valid YAML']
        ) from error
    duplicates = _find_duplicates(root)
    if duplicates:
        raise errors.DocumentError(
            path, [_format_fault(path, root, fault) for fault in duplicates]
        )
    try:
        return pydantic.TypeAdapter(document_type).validate_python(data)
    except pydantic.ValidationError as error:
        faults = [
            _format_fault(path, root, fault)
            for details in error.errors()
            for fault in _list_faults(details)
        ]
        raise errors.DocumentError(path, faults) from error


def _load(text: str) -> tuple[yaml.Node | None, Any]:
    """Return the document's node tree, which has line numbers, and data."""
    loader = _Loader(text)
    try:
        root = loader.get_single_node()
        data = None if root is None else loader.construct_document(root)
        return root, data
    finally:
        loader.dispose()


def _list_faults(details: Any) -> list[Fault]:
    """Return the faults that the details of a pydantic error contain."""
    location = tuple(str(part) for part in details['loc'])
    if details['type'] == FAULTS_ERROR_TYPE:
        return [
            dataclasses.replace(fault, location=location + fault.location)
            for fault in details['ctx']['faults']
        ]
    message = details['msg'].removeprefix('Value error, ')
    remedy = _REMEDIES.get(details['type'], 'correct the value')
    return [Fault(location, message, remedy)]


def _format_fault(path: str, root: yaml.Node | None, fault: Fault) -> str:
    """Format a fault as ``file:line: field: problem: remedy``."""
    line = _find_line(root, list(fault.location))
    field = '.'.join(fault.location) or 'document'
    return f'{path}:{line}: {field}: {fault.problem}: {fault.remedy}'


def _find_duplicates(
    node: yaml.Node | None, location: tuple[str, ...] = ()
) -> list[Fault]:
    """Return a fault for each key that is repeated within a mapping."""
    duplicates = []
    if isinstance(node, yaml.MappingNode):
        seen = set()
        for key, value in node.value:
            key_path = (*location, str(key.value))
            if key_path in seen:
                duplicates.append(
                    Fault(key_path, 'is defined twice', 'remove one')
                )
            seen.add(key_path)
            duplicates += _find_duplicates(value, key_path)
    if isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            duplicates += _find_duplicates(value, (*location, str(index)))
    return duplicates


def _find_line(root: yaml.Node | None, location: list[str]) -> int:
    """Return the line, from 1, of the deepest node along ``location``.

    Parts that match no node, such as the tag of a union, are skipped.
    """
    if root is None:
        return 1
    node = root
    line = node.start_mark.line + 1
    for part in location:
        child = _find_child(node, part)
        if child is None:
            continue
        node, line = child
    return line


def _find_child(node: yaml.Node, part: str) -> tuple[yaml.Node, int] | None:
    """Return the value and the line of a key or index of ``node``."""
    if isinstance(node, yaml.MappingNode):
        for key, value in reversed(node.value):
            if key.value == part:
                return value, key.start_mark.line + 1
    if isinstance(node, yaml.SequenceNode) and part.isdigit():
        index = int(part)
        if index < len(node.value):
            child = node.value[index]
            return child, child.start_mark.line + 1
    return None
