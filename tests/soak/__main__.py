"""Run soak tests for a range of seeds from the command line.

Usage: python -m tests.soak FIRST_SEED COUNT [SECONDS] [ROUTERS]
       python -m tests.soak stops FIRST_SEED COUNT [SECONDS] [ROUTERS]

With ``stops``, routers stop in turn under callers that keep connections.
The files of each failed run are copied to ``build/soak/SEED``.
"""

import pathlib
import shutil
import sys
import tempfile

from tests.soak import rolling_stops
from tests.soak import run

FAILED_RUNS_FOLDER = pathlib.Path('build') / 'soak'


def main(*arguments):
    if arguments[0] == 'stops':
        return run_stops(*arguments[1:])
    return run_faults(*arguments)


def run_stops(first_seed, seed_count, seconds=24.0, routers=3):
    """Run rolling stops; return the exit status."""
    failed_seeds = []
    for seed in range(int(first_seed), int(first_seed) + int(seed_count)):
        folder = pathlib.Path(tempfile.mkdtemp())
        play = rolling_stops.RollingStops(
            folder, seed, float(seconds), int(routers)
        )
        try:
            violations = play.run_and_check()
        finally:
            play.close()
        print(
            f'seed {seed}: {len(play.exchanges)} requests, '
            f'{len(play.stops)} stops, {len(violations)} violations'
        )
        for violation in violations:
            print(f'  {violation}')
        if violations:
            failed_seeds.append(seed)
            save_files(folder, f'stops-{seed}')
        shutil.rmtree(folder)
        sys.stdout.flush()
    print(f'failed seeds: {failed_seeds or "none"}')
    return 1 if failed_seeds else 0


def save_files(folder, name):
    """Copy the files of a failed run; return the copy's folder."""
    saved_folder = FAILED_RUNS_FOLDER / name
    shutil.rmtree(saved_folder, ignore_errors=True)
    shutil.copytree(folder, saved_folder)
    return saved_folder


def run_faults(first_seed, seed_count, seconds=8.0, routers=3):
    """Run random faults; return the exit status."""
    failed_seeds = []
    for seed in range(int(first_seed), int(first_seed) + int(seed_count)):
        folder = pathlib.Path(tempfile.mkdtemp())
        soak_run = run.SoakRun(folder, seed, float(seconds), int(routers))
        try:
            violations = soak_run.run_and_check()
        finally:
            soak_run.close()
        attempt_count = sum(
            len(caller.attempts) for caller in soak_run.callers
        )
        print(
            f'seed {seed}: {attempt_count} attempts, '
            f'{len(violations)} violations'
        )
        for violation in violations[:8]:
            print(f'  {violation}')
        if violations:
            failed_seeds.append(seed)
            saved_folder = save_files(folder, str(seed))
            (saved_folder / 'events').write_text(
                '\n'.join(str(fault) for fault in soak_run.injected_faults)
            )
        shutil.rmtree(folder)
        sys.stdout.flush()
    print(f'failed seeds: {failed_seeds or "none"}')
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
