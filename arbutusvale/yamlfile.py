"""Read YAML documents into validated data classes, naming faulty lines."""

import pathlib
from typing import Any
from typing import TypeVar

import pydantic
import yaml

from arbutusvale import errors

Document = TypeVar('Document')

_REMEDIES = {
    'missing': 'add this field',
    'unexpected_keyword_argument': 'remove this field or correct its name',
    'extra_forbidden': 'remove this field or correct its name',
    'union_tag_invalid': 'use one of the listed kinds',
}


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
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, 'problem_mark', None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, 'problem', None) or 'not YAML'
        raise errors.DocumentError(
            path, [f'{path}:{line}: {problem}: write valid YAML']
        ) from error
    try:
        return pydantic.TypeAdapter(document_type).validate_python(data)
    except pydantic.ValidationError as error:
        faults = [_describe(path, root, fault) for fault in error.errors()]
        raise errors.DocumentError(path, faults) from error


def _describe(path: str, root: yaml.Node | None, fault: Any) -> str:
    """Render one validation fault as ``file:line: field: remedy``."""
    location = [str(part) for part in fault['loc']]
    line = _find_line(root, location)
    field = '.'.join(location) or 'document'
    message = fault['msg'].removeprefix('Value error, ')
    remedy = _REMEDIES.get(fault['type'], 'correct the value')
    return f'{path}:{line}: {field}: {message}: {remedy}'


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
        for key, value in node.value:
            if key.value == part:
                return value, key.start_mark.line + 1
    if isinstance(node, yaml.SequenceNode) and part.isdigit():
        index = int(part)
        if index < len(node.value):
            child = node.value[index]
            return child, child.start_mark.line + 1
    return None
