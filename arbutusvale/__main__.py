"""Entry point of ``python -m arbutusvale PROGRAM ARGS``."""

import sys

from arbutusvale.ui import main

PROGRAMS = {
    'operator': main.run_operator,
    'router': main.run_router,
    'sidecar': main.run_sidecar,
    'standin': main.run_standin,
    'load': main.run_load,
}


def run() -> int:
    """Run the program named by the first argument; return its exit code."""
    if len(sys.argv) < 2 or sys.argv[1] not in PROGRAMS:
        names = '|'.join(PROGRAMS)
        print(f'Usage: python -m arbutusvale {names} ARGS', file=sys.stderr)
        return 2
    return PROGRAMS[sys.argv[1]](sys.argv[2:])


if __name__ == '__main__':
    sys.exit(run())
