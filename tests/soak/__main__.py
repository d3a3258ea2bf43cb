"""Soak by hand: python -m tests.soak FIRST_SEED COUNT [SECONDS] [ROUTERS]."""

import pathlib
import shutil
import sys
import tempfile

from tests.soak import run

KEPT = pathlib.Path('build') / 'soak'


def main(first, count, seconds=8.0, routers=3):
    failed = []
    for seed in range(int(first), int(first) + int(count)):
        folder = pathlib.Path(tempfile.mkdtemp())
        soak = run.Soak(folder, seed, float(seconds), int(routers))
        try:
            faults = soak.play()
        finally:
            soak.close()
        asked = sum(len(caller.attempts) for caller in soak.callers)
        print(f'seed {seed}: {asked} attempts, {len(faults)} faults')
        for line in faults[:8]:
            print(f'  {line}')
        if faults:
            failed.append(seed)
            kept = KEPT / str(seed)
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept)
            (kept / 'events').write_text(
                '\n'.join(str(one) for one in soak.events)
            )
        shutil.rmtree(folder)
        sys.stdout.flush()
    print(f'failed seeds: {failed or "none"}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
