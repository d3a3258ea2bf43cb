"""Hold the entry points of the programs.

Every entry point takes the arguments after the program's name and returns
an exit code of :class:`exit_codes.ExitCode`.
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

_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def run_operator(arguments: list[str] | None = None) -> int:
    """Run the operator's command line."""
    return _run(usage.OPERATOR, arguments, _dispatch_operator)


def run_router(arguments: list[str] | None = None) -> int:
    """Run a router until it is told to stop."""
    return _run(usage.ROUTER, arguments, _start_router)


def run_sidecar(arguments: list[str] | None = None) -> int:
    """Run a sidecar until it is told to stop."""
    return _run(usage.SIDECAR, arguments, _start_sidecar)


def run_standin(arguments: list[str] | None = None) -> int:
    """Run a stand-in of the trial fleet."""
    return _run(usage.STANDIN, arguments, _dispatch_standin)


def run_load(arguments: list[str] | None = None) -> int:
    """Run a load program."""
    return _run(usage.LOAD, arguments, _dispatch_load)


def _run(
    text: str,
    arguments: list[str] | None,
    action: Callable[[dict], int | None],
) -> int:
    """Parse the arguments, run the action and report its failure."""
    try:
        options = docopt.docopt(
            text,
            sys.argv[1:] if arguments is None else arguments,
            version=f'arbutusvale {arbutusvale.__version__}',
        )
    except docopt.DocoptExit as error:
        print(error, file=sys.stderr)
        return exit_codes.ExitCode.USAGE_ERROR
    except SystemExit as error:
        return int(error.code or 0)
    try:
        return int(action(options) or exit_codes.ExitCode.DONE)
    except (errors.DocumentError, errors.UsageError) as error:
        print(f'error: {error}', file=sys.stderr)
        return exit_codes.ExitCode.USAGE_ERROR
    except errors.ArbutusvaleError as error:
        print(f'error: {error}', file=sys.stderr)
        return exit_codes.ExitCode.FAILED
    except KeyboardInterrupt:
        return exit_codes.ExitCode.FAILED


def start_logging(level: str) -> None:
    """Send log lines of ``level`` and above to standard error."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
    logging.set_stderrthreshold('debug')


def _start_router(options: dict) -> int | None:
    """Read the settings and run a router."""
    read = settings.read_router(options['SETTINGS'])
    start_logging(read.log_level)
    compose = importlib.import_module('arbutusvale.compose')
    return asyncio.run(compose.run_router(read))


def _start_sidecar(options: dict) -> int | None:
    """Read the settings and run a sidecar."""
    read = settings.read_sidecar(options['SETTINGS'])
    start_logging(read.log_level)
    compose = importlib.import_module('arbutusvale.compose')
    return asyncio.run(compose.run_sidecar(read))


def _dispatch_operator(options: dict) -> int | None:
    """Run the named operator command."""
    start_logging('debug' if options['--verbose'] else 'error')
    if options['bundle']:
        action = _first(options, ('check', 'sign', 'diff', 'reference'))
        return _command(f'bundle_{action}').run(options)
    name = _first(options, ('rollout', 'status', 'history', 'keygen'))
    return _command(name).run(options)


def _dispatch_standin(options: dict) -> int | None:
    """Run the named stand-in."""
    start_logging('info')
    name = _first(
        options, ('platform', 'engine', 'service', 'faults', 'fleet')
    )
    return _command(f'standin_{name}').run(options)


def _dispatch_load(options: dict) -> int | None:
    """Run the named load program."""
    start_logging('warning')
    name = _first(
        options, ('bench', 'measure', 'play', 'claims', 'slopes', 'journal')
    )
    return _command(f'load_{name}').run(options)


def _first(options: dict, names: tuple[str, ...]) -> str:
    """Return the one command of ``names`` that was given."""
    return next(name for name in names if options[name])


def _command(name: str):
    """Import the module of one command."""
    return importlib.import_module(f'arbutusvale.ui.commands.{name}')
