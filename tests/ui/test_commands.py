import json

import pytest
import yaml

from arbutusvale.ui import main
from tests import helpers_bundle
from tests import processes

pytestmark = pytest.mark.process


@pytest.fixture(scope='module')
def platform_url(tmp_path_factory):
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
def settings_folder(tmp_path_factory, platform_url):
    folder = tmp_path_factory.mktemp('operator')
    for name, keys in (
        ('ana', helpers_bundle.ANA),
        ('bia', helpers_bundle.BIA),
    ):
        (folder / f'{name}.key').write_text(keys.private)
        settings = {
            'platform': platform_url,
            'operators': {'ana': helpers_bundle.ANA.public},
            'name': name,
            'key_file': f'{name}.key',
        }
        (folder / f'{name}.yaml').write_text(yaml.safe_dump(settings))
    return folder


def run_command(capsys, *arguments):
    exit_code = main.run_operator([str(each) for each in arguments])
    return exit_code, capsys.readouterr()


def write_bundle(folder, version):
    path = folder / f'{version}.yaml'
    path.write_text(helpers_bundle.make_text(version))
    return path


def test_keygen_creates_private_key_and_never_overwrites_it(capsys, tmp_path):
    path = tmp_path / 'key'
    exit_code, captured = run_command(capsys, 'keygen', f'--out={path}')
    assert exit_code == 0
    assert len(captured.out.strip()) == 64
    assert path.stat().st_mode & 0o077 == 0
    exit_code, captured = run_command(capsys, 'keygen', f'--out={path}')
    assert exit_code == 2
    assert 'Name a new file' in captured.err


def test_bundle_check_reports_each_fault_with_its_location(capsys, tmp_path):
    path = tmp_path / 'bad.yaml'
    path.write_text(
        helpers_bundle.make_text('v1').replace('pool: models', 'pool: x')
    )
    exit_code, captured = run_command(capsys, 'bundle', 'check', path)
    assert exit_code == 2
    assert f'{path}:7: services.chat.pool' in captured.err
    exit_code, captured = run_command(
        capsys, 'bundle', 'check', path, '--json'
    )
    assert exit_code == 2
    assert len(json.loads(captured.out)['faults']) == 1


def test_sign_rollout_diff_history_and_status_work_together(
    capsys, settings_folder
):
    ana = f'--settings={settings_folder / "ana.yaml"}'
    bia = f'--settings={settings_folder / "bia.yaml"}'
    first = write_bundle(settings_folder, 'v1')
    exit_code, captured = run_command(capsys, 'rollout', first, bia)
    assert exit_code == 1
    assert 'its operator is not known' in captured.out
    exit_code, captured = run_command(capsys, 'rollout', first, ana, '--json')
    assert exit_code == 0
    assert json.loads(captured.out)['version'] == 'v1'
    exit_code, captured = run_command(capsys, 'rollout', first, ana)
    assert exit_code == 2
    assert 'in force already' in captured.err

    signed = settings_folder / 'signed'
    second = write_bundle(settings_folder, 'v2')
    exit_code, _ = run_command(
        capsys, 'bundle', 'sign', second, bia, f'--out={signed}'
    )
    assert exit_code == 0
    exit_code, captured = run_command(capsys, 'bundle', 'diff', signed, ana)
    assert captured.out == '- version: v1\n+ version: v2\n'
    assert (
        run_command(
            capsys, 'rollout', write_bundle(settings_folder, 'v3'), ana
        )[0]
        == 0
    )
    exit_code, captured = run_command(capsys, 'rollout', signed, bia)
    assert exit_code == 3
    assert 'version v3 by ana is in force' in captured.out

    exit_code, captured = run_command(capsys, 'history', ana, '--json')
    assert exit_code == 0
    entries = json.loads(captured.out)
    assert [entry['version'] for entry in entries] == ['v1', 'v3']
    exit_code, captured = run_command(capsys, 'status', ana, '--json')
    assert exit_code == 0
    head = json.loads(captured.out)['head']
    assert head['version'] == 'v3'
    assert head['digest'] == entries[-1]['digest']
    assert head['claim_window_s'] == 3600.0
    exit_code, captured = run_command(capsys, 'status', ana)
    assert 'version v3 by ana' in captured.out


def test_unavailable_log_service_is_reported_with_a_remedy(
    capsys, settings_folder, tmp_path
):
    address = processes.PortBlock().new_address()
    settings = tmp_path / 'op.yaml'
    settings.write_text(f'platform: http://{address}\n')
    exit_code, captured = run_command(
        capsys, 'history', f'--settings={settings}'
    )
    assert exit_code == 1
    assert 'Try again when the log service is back.' in captured.err
