"""Start the processes that ``arbutusvale-load bench`` measures."""

import argparse
import pathlib
import subprocess
import sys
import tempfile

import yaml

from tests import deployment
from tests import processes

ENGINES = 4
SLOTS = 200
ENGINE_SLOWNESS = 40.0
BENCH_BOUND_S = 240.0
UNLIMITED = 100000


def main() -> int:
    """Measure and write ``bench.txt`` and ``bench.json`` to a folder."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--out', default='docs/measurements')
    out = pathlib.Path(parser.parse_args().out)
    out.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        running = Bench(pathlib.Path(folder))
        try:
            found = running.measure()
        finally:
            running.close()
    text = f'command: make bench\n\n{found}'
    (out / 'bench.txt').write_text(text)
    print(text)
    return 0


class Bench(deployment.Deployment):
    """Run one router, engines with many slots and one plain service."""

    def __init__(self, folder: pathlib.Path):
        shape = deployment.DeploymentConfig(
            engines=ENGINES, routers=1, slots=SLOTS
        )
        super().__init__(folder, shape)

    def make_bundle(self, **changes) -> dict:
        """Lift the organisations' limits, which are not measured here."""
        document = super().make_bundle(**changes)
        for organisation in document['organisations'].values():
            organisation.update(
                rate=UNLIMITED, burst=UNLIMITED, concurrency=UNLIMITED
            )
        return document

    def measure(self) -> str:
        """Start all, run the load program and return what it printed."""
        self.start()
        for backend in self.backends.values():
            if backend.pool == deployment.CHAT_POOL:
                self.set_faults(
                    backend.server_address, slow_factor=ENGINE_SLOWNESS
                )
        router = self.routers['entry-1']
        service = self.backends['service-1']
        fields = {
            'router': router.address,
            'direct': service.server_address,
            'api_key': deployment.API_KEY,
            'service': deployment.PLAIN_SERVICE,
            'model': 'lembrete-1',
            'router_pid': router.program.process.pid,
            'sidecar_pids': [
                backend.sidecar.process.pid
                for backend in self.backends.values()
            ],
        }
        path = self.folder / 'bench.yaml'
        path.write_text(yaml.safe_dump(fields))
        found = subprocess.run(
            [sys.executable, '-m', 'arbutusvale', 'load', 'bench', str(path)],
            cwd=processes.ROOT,
            stdout=subprocess.PIPE,
            text=True,
            timeout=BENCH_BOUND_S,
            check=True,
        )
        return found.stdout


if __name__ == '__main__':
    sys.exit(main())
