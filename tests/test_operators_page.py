"""Check the commands, log events and metrics of docs/operators.md."""

import pathlib
import re
import shlex

import pytest
import yaml

from arbutusvale.ui import main
from tests import processes

pytestmark = pytest.mark.process
ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'operators.md'


@pytest.fixture
def platform_url(tmp_path):
    address = processes.PortBlock().new_address()
    program = processes.Program(
        'platform', ['standin', 'platform', f'--listen={address}'], tmp_path
    )
    program.start()
    processes.wait_until(lambda: 'listening' in program.read_output())
    yield f'http://{address}'
    program.close()


def read_commands():
    blocks = re.findall(r'```sh\n(.*?)```', PAGE.read_text(), re.S)
    lines = [line.strip() for line in ''.join(blocks).splitlines()]
    return [shlex.split(line) for line in lines if line]


def copy_example(name, path, **changes):
    """Copy an example with the changes that the page asks for."""
    document = yaml.safe_load((ROOT / 'examples' / name).read_text())
    path.write_text(yaml.safe_dump({**document, **changes}))


def test_documented_commands_succeed(
    tmp_path, platform_url, monkeypatch, capsys
):
    monkeypatch.chdir(tmp_path)
    first, *remaining = read_commands()
    assert first[:2] == ['arbutusvale', 'keygen']
    assert main.run_operator(first[1:]) == 0
    operators = {'ana': capsys.readouterr().out.strip()}
    copy_example(
        'operator.yaml',
        tmp_path / 'operator.yaml',
        platform=platform_url,
        operators=operators,
    )
    for version in ('next', 'third'):
        copy_example(
            'lembrete-sul.yaml',
            tmp_path / f'{version}.yaml',
            version=version,
            operators=operators,
        )
    assert len(remaining) == 7
    for program, *arguments in remaining:
        assert program == 'arbutusvale'
        exit_code = main.run_operator(arguments)
        assert exit_code == 0, (arguments, capsys.readouterr())
    assert 'third' in capsys.readouterr().out


def read_first_column(heading):
    """Return the names in the first column of a section's table."""
    section = PAGE.read_text().split(f'## {heading}\n')[1].split('\n## ')[0]
    rows = [line for line in section.splitlines() if line.startswith('| `')]
    return [
        name
        for row in rows
        for name in re.findall('`(.*?)`', row.split(' | ')[0])
    ]


def test_documented_log_events_exist_in_the_source():
    source = ''.join(
        path.read_text() for path in (ROOT / 'arbutusvale').rglob('*.py')
    )
    events = read_first_column('Log lines')
    assert len(events) > 10
    for event in events:
        assert f'event={event} ' in source, event


def test_documented_metrics_exist_in_the_source():
    source = (ROOT / 'arbutusvale/transport/metrics.py').read_text()
    names = read_first_column('Metrics')
    assert len(names) > 5
    for name in names:
        stem = name.removeprefix('arbutusvale_').removesuffix('_total')
        assert f"'{stem}'" in source or f'_{stem}' in source, name
