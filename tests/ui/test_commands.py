import json

import pytest
import yaml

from arbutusvale.ui import main
from tests import helpers_bundle
from tests import processes

pytestmark = pytest.mark.process


@pytest.fixture(scope='module')
def platform(tmp_path_factory):
    folder = tmp_path_factory.mktemp('platform')
    address = processes.PortBlock().new_address()
    program = processes.Program(
        'platform', ['standin', 'platform', f'--listen={address}'], folder
    )
    program.start()
    processes.wait_until(lambda: 'listening' in program.read_output())
    yield f'http://{address}'
    assert program.terminate() == 0
    assert 'Logging before flag parsing' not in program.read_output()


@pytest.fixture(scope='module')
def folder(tmp_path_factory, platform):
    folder = tmp_path_factory.mktemp('operator')
    for name, keys in (
        ('ana', helpers_bundle.ANA),
        ('bia', helpers_bundle.BIA),
    ):
        (folder / f'{name}.key').write_text(keys.private)
        settings = {
            'platform': platform,
            'operators': {'ana': helpers_bundle.ANA.public},
            'name': name,
            'key_file': f'{name}.key',
        }
        (folder / f'{name}.yaml').write_text(yaml.safe_dump(settings))
    return folder


def run(capsys, *arguments):
    code = main.run_operator([str(each) for each in arguments])
    return code, capsys.readouterr()


def write(folder, version):
    path = folder / f'{version}.yaml'
    path.write_text(helpers_bundle.make_text(version))
    return path


def test_keygen_writes_a_private_key_once(capsys, tmp_path):
    path = tmp_path / 'key'
    code, shown = run(capsys, 'keygen', f'--out={path}')
    assert code == 0
    assert len(shown.out.strip()) == 64
    assert path.stat().st_mode & 0o077 == 0
    code, shown = run(capsys, 'keygen', f'--out={path}')
    assert code == 2
    assert 'Name a new file' in shown.err


def test_check_names_each_fault_and_publishes_nothing(capsys, tmp_path):
    path = tmp_path / 'bad.yaml'
    path.write_text(
        helpers_bundle.make_text('v1').replace('pool: models', 'pool: x')
    )
    code, shown = run(capsys, 'bundle', 'check', path)
    assert code == 2
    assert f'{path}:7: services.chat.pool' in shown.err
    code, shown = run(capsys, 'bundle', 'check', path, '--json')
    assert code == 2
    assert len(json.loads(shown.out)['faults']) == 1


def test_bundles_are_signed_rolled_out_and_compared(capsys, folder):
    ana = f'--settings={folder / "ana.yaml"}'
    bia = f'--settings={folder / "bia.yaml"}'
    first = write(folder, 'v1')
    code, shown = run(capsys, 'rollout', first, bia)
    assert code == 1
    assert 'its operator is not known' in shown.out
    code, shown = run(capsys, 'rollout', first, ana, '--json')
    assert code == 0
    assert json.loads(shown.out)['version'] == 'v1'
    code, shown = run(capsys, 'rollout', first, ana)
    assert code == 2
    assert 'in force already' in shown.err

    signed = folder / 'signed'
    second = write(folder, 'v2')
    code, _ = run(capsys, 'bundle', 'sign', second, bia, f'--out={signed}')
    assert code == 0
    code, shown = run(capsys, 'bundle', 'diff', signed, ana)
    assert shown.out == '- version: v1\n+ version: v2\n'
    assert run(capsys, 'rollout', write(folder, 'v3'), ana)[0] == 0
    code, shown = run(capsys, 'rollout', signed, bia)
    assert code == 3
    assert 'version v3 by ana is in force' in shown.out

    code, shown = run(capsys, 'history', ana, '--json')
    assert code == 0
    entries = json.loads(shown.out)
    assert [entry['version'] for entry in entries] == ['v1', 'v3']
    code, shown = run(capsys, 'status', ana, '--json')
    assert code == 0
    head = json.loads(shown.out)['head']
    assert head['version'] == 'v3'
    assert head['digest'] == entries[-1]['digest']
    assert head['claim_window_s'] == 3600.0
    code, shown = run(capsys, 'status', ana)
    assert 'version v3 by ana' in shown.out


def test_log_that_is_down_is_one_clear_line(capsys, folder, tmp_path):
    address = processes.PortBlock().new_address()
    settings = tmp_path / 'op.yaml'
    settings.write_text(f'platform: http://{address}\n')
    code, shown = run(capsys, 'history', f'--settings={settings}')
    assert code == 1
    assert 'Try again when the log service is back.' in shown.err
