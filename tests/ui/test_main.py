import pytest

from arbutusvale.ui import main

PROGRAMS = [
    main.run_operator,
    main.run_router,
    main.run_sidecar,
    main.run_standin,
    main.run_load,
]


@pytest.mark.parametrize('program', PROGRAMS)
def test_help_and_version_end_well(program, capsys):
    assert program(['--help']) == 0
    assert 'Exit codes:' in capsys.readouterr().out
    assert program(['--version']) == 0
    assert capsys.readouterr().out.startswith('arbutusvale ')


@pytest.mark.parametrize('program', PROGRAMS)
def test_wrong_arguments_show_the_usage(program, capsys):
    assert program(['--colour']) == 2
    assert 'Usage:' in capsys.readouterr().err


@pytest.mark.parametrize('program', [main.run_router, main.run_sidecar])
def test_missing_settings_are_one_clear_line(program, capsys, tmp_path):
    path = str(tmp_path / 'none.yaml')
    assert program([path]) == 2
    shown = capsys.readouterr().err
    assert shown.startswith('error: ')
    assert path in shown
    assert len(shown.splitlines()) == 1
