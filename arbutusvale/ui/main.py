"""Entry points of the programs.

Every entry point takes the command line arguments without the program
name (default: those of the process) and returns an exit code of
:class:`exit_codes.ExitCode`.
"""

import asyncio
from collections.abc import Callable
import importlib
import sys

from absl import flags
from absl import logging
import docopt

import arbutusvale
from arbutusvale import errors
from arbutusvale import settings
from arbutusvale.ui import exit_codes
from arbutusvale.ui import usage

_LOG_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def run_operator(arguments: list[str] | None = None) -> int:
    """Run a command of the operator's program ``arbutusvale``."""
    return _run_program(usage.OPERATOR, arguments, _dispatch_operator)


def run_router(arguments: list[str] | None = None) -> int:
    """Run a router until SIGTERM."""
    return _run_program(usage.ROUTER, arguments, _start_router)


def run_sidecar(arguments: list[str] | None = None) -> int:
    """Run a sidecar until SIGTERM."""
    return _run_program(usage.SIDECAR, arguments, _start_sidecar)


def run_standin(arguments: list[str] | None = None) -> int:
    """Run a stand-in for an external system, or the trial fleet."""
    return _run_program(usage.STANDIN, arguments, _dispatch_standin)


def run_load(arguments: list[str] | None = None) -> int:
    """Run a command of the load generator."""
    return _run_program(usage.LOAD, arguments, _dispatch_load)


def _run_program(
    usage_text: str,
    arguments: list[str] | None,
    command: Callable[[dict], int | None],
) -> int:
    """Parse the arguments, run the command and print its error, if any."""
    try:
        options = docopt.docopt(
            usage_text,
            sys.argv[1:] if arguments is None else arguments,
            version=f'arbutusvale {arbutusvale.__version__}',
        )
    except docopt.DocoptExit as error:
        print(error, file=sys.stderr)
        return exit_codes.ExitCode.USAGE_ERROR
    except SystemExit as error:
        return int(error.code or 0)
    try:
        return int(command(options) or exit_codes.ExitCode.DONE)
    except (errors.DocumentError, errors.UsageError) as error:
        print(f'error: {error}', file=sys.stderr)
        return exit_codes.ExitCode.USAGE_ERROR
    except errors.ArbutusvaleError as error:
        print(f'error: {error}', file=sys.stderr)
        return exit_codes.ExitCode.FAILED
    except KeyboardInterrupt:
        return exit_codes.ExitCode.FAILED


def start_logging(level: str) -> None:
    """Write log lines of ``level`` and above to standard error."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(_LOG_LEVELS[level])
    logging.set_stderrthreshold('debug')


def _start_router(options: dict) -> int | None:
    """Read the settings and run a router."""
    router_settings = settings.read_router(options['SETTINGS'])
    start_logging(router_settings.log_level)
    compose = importlib.import_module('arbutusvale.compose')
    return asyncio.run(compose.run_router(router_settings))


def _start_sidecar(options: dict) -> int | None:
    """Read the settings and run a sidecar."""
    sidecar_settings = settings.read_sidecar(options['SETTINGS'])
    start_logging(sidecar_settings.log_level)
    compose = importlib.import_module('arbutusvale.compose')
    return asyncio.run(compose.run_sidecar(sidecar_settings))


def _dispatch_operator(options: dict) -> int | None:
    """Run the selected operator command."""
    start_logging('debug' if options['--verbose'] else 'error')
    if options['bundle']:
        subcommand = _find_selected(
            options, ('check', 'sign', 'diff', 'reference')
        )
        return _import_command(f'bundle_{subcommand}').run(options)
    if options['config']:
        documents = importlib.import_module(
            'arbutusvale.platform.config_document'
        )
        return _import_command('config_check').run(options, documents.read)
    if options['--routers']:
        return _import_command('router_status').run(options)
    name = _find_selected(options, ('rollout', 'status', 'history', 'keygen'))
    return _import_command(name).run(options)


def _dispatch_standin(options: dict) -> int | None:
    """Run the selected stand-in."""
    start_logging('info')
    name = _find_selected(
        options, ('platform', 'engine', 'service', 'faults', 'fleet')
    )
    return _import_command(f'standin_{name}').run(options)


def _dispatch_load(options: dict) -> int | None:
    """Run the selected command of the load generator."""
    start_logging('warning')
    name = _find_selected(
        options, ('bench', 'measure', 'play', 'claims', 'slopes', 'journal')
    )
    return _import_command(f'load_{name}').run(options)


def _find_selected(options: dict, names: tuple[str, ...]) -> str:
    """Return the command of ``names`` that was given as an argument."""
    return next(name for name in names if options[name])


def _import_command(name: str):
    """Import the module of a command.

    Modules are imported on demand, so that a command loads only what it
    needs.
    """
    return importlib.import_module(f'arbutusvale.ui.commands.{name}')
