"""Check commands, links and test names of the documentation pages."""

import pathlib
import re
import shlex

import docopt
import pytest

from arbutusvale.ui import usage

ROOT = pathlib.Path(__file__).parent.parent
PAGES = [ROOT / 'README.md', *sorted((ROOT / 'docs').glob('*.md'))]
FEATURES = ROOT / 'tests' / 'features'
USAGE_TEXTS = {
    'arbutusvale': usage.OPERATOR,
    'arbutusvale-router': usage.ROUTER,
    'arbutusvale-sidecar': usage.SIDECAR,
    'arbutusvale-standin': usage.STANDIN,
    'arbutusvale-load': usage.LOAD,
}


def list_commands():
    """Yield the command lines of the pages' code blocks."""
    for page in PAGES:
        for block in re.findall(
            r'```(?:sh)?\n(.*?)```', page.read_text(), re.S
        ):
            for line in block.splitlines():
                if line.split(' ')[0] in USAGE_TEXTS:
                    words = shlex.split(line, comments=True)
                    yield pytest.param(words, id=f'{page.name}: {line}'[:80])


@pytest.mark.parametrize('words', list(list_commands()))
def test_documented_command_matches_the_usage(words):
    docopt.docopt(USAGE_TEXTS[words[0]], words[1:])


def test_relative_links_have_an_existing_target():
    for page in PAGES:
        for target in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
            assert (page.parent / target).exists(), (page.name, target)


def test_proofs_page_names_existing_test_files():
    text = (ROOT / 'docs' / 'PROOFS.md').read_text()
    for name in re.findall(r'`(\w+\.feature)`', text):
        assert (FEATURES / name).exists(), name
    for name in re.findall(r'`(tests/[\w/]+\.py)`', text):
        assert (ROOT / name).exists(), name
