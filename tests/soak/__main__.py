"""Run soak tests for a range of seeds from the command line.

Usage: python -m tests.soak FIRST_SEED COUNT [SECONDS] [ROUTERS]

The files of each failed run are copied to ``build/soak/SEED``.
"""

import pathlib
import shutil
import sys
import tempfile

from tests.soak import run

FAILED_RUNS_FOLDER = pathlib.Path('build') / 'soak'


def main(first_seed, seed_count, seconds=8.0, routers=3):
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
            saved_folder = FAILED_RUNS_FOLDER / str(seed)
            shutil.rmtree(saved_folder, ignore_errors=True)
            shutil.copytree(folder, saved_folder)
            (saved_folder / 'events').write_text(
                '\n'.join(str(fault) for fault in soak_run.injected_faults)
            )
        shutil.rmtree(folder)
        sys.stdout.flush()
    print(f'failed seeds: {failed_seeds or "none"}')
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
