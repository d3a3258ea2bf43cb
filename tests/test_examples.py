import pathlib

import pytest

from arbutusvale import settings
from arbutusvale import yaml_documents
from arbutusvale.protocol import bundle
from arbutusvale.ui import reference

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / 'examples'
SETTINGS_READERS = {
    'router.yaml': settings.read_router,
    'sidecar.yaml': settings.read_sidecar,
    'operator.yaml': settings.read_operator,
}


@pytest.mark.parametrize('path', sorted(EXAMPLES.iterdir()), ids=str)
def test_example_is_valid_and_starts_with_a_comment(path):
    assert path.read_text().startswith('# ')
    reader = SETTINGS_READERS.get(path.name)
    if reader is None:
        assert yaml_documents.read(str(path), bundle.Bundle).services
    else:
        assert reader(str(path)).platform


def test_reference_page_is_current():
    page = (ROOT / 'docs' / 'bundle-reference.md').read_text()
    assert page == reference.render()
