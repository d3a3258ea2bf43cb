"""Read YAML documents into validated data classes, naming faulty lines."""

import dataclasses
import pathlib
from typing import Any
from typing import TypeVar

import pydantic
import pydantic_core
import yaml

from arbutusvale import errors

Document = TypeVar('Document')

_REMEDIES = {
    'missing': 'add this field',
    'unexpected_keyword_argument': 'remove this field or correct its name',
    'extra_forbidden': 'remove this field or correct its name',
    'union_tag_invalid': 'use one of the listed kinds',
}


FAULT_KIND = 'faults'
# The loader in C needs LibYAML, which not every build of PyYAML has.
_Loader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Describe a fault that spans fields; ``location`` is a path of keys."""

    location: tuple[str, ...]
    problem: str
    remedy: str


def raise_faults(faults: list[Fault]) -> None:
    """Fail a model's validation with faults, unless there are none."""
    if faults:
        raise pydantic_core.PydanticCustomError(
            FAULT_KIND, 'fields do not agree', {'faults': faults}
        )


def read(path: str, document_type: type[Document]) -> Document:
    """Read the file at ``path`` as a ``document_type``.

    Raises :class:`errors.DocumentError` naming file, line, field and remedy.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.DocumentError(
            path, [f'cannot be read ({error}): check the path and its rights']
        ) from error
    return parse(text, document_type, path)


def parse(
    text: str, document_type: type[Document], path: str = '<text>'
) -> Document:
    """Parse YAML ``text`` as a ``document_type``; ``path`` names it."""
    try:
        root, data = _load(text)
    except (yaml.YAMLError, ValueError) as error:
        mark = getattr(error, 'problem_mark', None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, 'problem', None) or 'not YAML'
        raise errors.DocumentError(
            path, [f'{path}:{line}: {problem}: write valid YAML']
        ) from error
    twice = _find_duplicates(root)
    if twice:
        raise errors.DocumentError(
            path, [_render(path, root, fault) for fault in twice]
        )
    try:
        return pydantic.TypeAdapter(document_type).validate_python(data)
    except pydantic.ValidationError as error:
        faults = [
            _render(path, root, fault)
            for found in error.errors()
            for fault in _list_faults(found)
        ]
        raise errors.DocumentError(path, faults) from error


def _load(text: str) -> tuple[yaml.Node | None, Any]:
    """Return the document's nodes, which know their lines, and its data."""
    loader = _Loader(text)
    try:
        root = loader.get_single_node()
        data = None if root is None else loader.construct_document(root)
        return root, data
    finally:
        loader.dispose()


def _list_faults(found: Any) -> list[Fault]:
    """List the faults that one of pydantic's errors stands for."""
    location = tuple(str(part) for part in found['loc'])
    if found['type'] == FAULT_KIND:
        return [
            dataclasses.replace(fault, location=location + fault.location)
            for fault in found['ctx']['faults']
        ]
    message = found['msg'].removeprefix('Value error, ')
    remedy = _REMEDIES.get(found['type'], 'correct the value')
    return [Fault(location, message, remedy)]


def _render(path: str, root: yaml.Node | None, fault: Fault) -> str:
    """Render a fault as ``file:line: field: problem: remedy``."""
    line = _find_line(root, list(fault.location))
    field = '.'.join(fault.location) or 'document'
    return f'{path}:{line}: {field}: {fault.problem}: {fault.remedy}'


def _find_duplicates(
    node: yaml.Node | None, location: tuple[str, ...] = ()
) -> list[Fault]:
    """Find keys that stand twice in one mapping."""
    found = []
    if isinstance(node, yaml.MappingNode):
        seen = set()
        for key, value in node.value:
            place = (*location, str(key.value))
            if place in seen:
                found.append(Fault(place, 'stands twice', 'remove one'))
            seen.add(place)
            found += _find_duplicates(value, place)
    if isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            found += _find_duplicates(value, (*location, str(index)))
    return found


def _find_line(root: yaml.Node | None, location: list[str]) -> int:
    """Find the line, from 1, of the deepest node along ``location``.

    Parts that name no node, such as the tag of a union, are passed over.
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
    """Find the value and line of the entry ``part`` below ``node``."""
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
