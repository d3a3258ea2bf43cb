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
def test_help_and_version_exit_with_zero(program, capsys):
    assert program(['--help']) == 0
    assert 'Exit codes:' in capsys.readouterr().out
    assert program(['--version']) == 0
    assert capsys.readouterr().out.startswith('arbutusvale ')


@pytest.mark.parametrize('program', PROGRAMS)
def test_invalid_arguments_print_usage_and_exit_with_2(program, capsys):
    assert program(['--colour']) == 2
    assert 'Usage:' in capsys.readouterr().err


@pytest.mark.parametrize('program', [main.run_router, main.run_sidecar])
def test_missing_settings_file_prints_one_error_line(
    program, capsys, tmp_path
):
    path = str(tmp_path / 'none.yaml')
    assert program([path]) == 2
    error_output = capsys.readouterr().err
    assert error_output.startswith('error: ')
    assert path in error_output
    assert len(error_output.splitlines()) == 1
