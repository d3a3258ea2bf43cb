"""Benchmark of a deployment with the ``arbutusvale-load bench`` command."""

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
ENGINE_SLOW_FACTOR = 40.0
BENCH_TIMEOUT_S = 240.0
UNLIMITED = 100000


def main() -> int:
    """Run the benchmark; print and write its report to ``bench.txt``."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--out', default='docs/measurements')
    out = pathlib.Path(parser.parse_args().out)
    out.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(pathlib.Path(folder))
        try:
            report = bench.measure()
        finally:
            bench.close()
    text = f'command: make bench\n\n{report}'
    (out / 'bench.txt').write_text(text)
    print(text)
    return 0


class Bench(deployment.Deployment):
    """A deployment of one router, one plain service and many-slot engines."""

    def __init__(self, folder: pathlib.Path):
        config = deployment.DeploymentConfig(
            engines=ENGINES, routers=1, slots=SLOTS
        )
        super().__init__(folder, config)

    def make_bundle(self, **changes) -> dict:
        """Raise the organisations' limits so that none of them is reached."""
        document = super().make_bundle(**changes)
        for organisation in document['organisations'].values():
            organisation.update(
                rate=UNLIMITED, burst=UNLIMITED, concurrency=UNLIMITED
            )
        return document

    def measure(self) -> str:
        """Start the deployment, run the benchmark and return its report."""
        self.start()
        for backend in self.backends.values():
            if backend.pool == deployment.CHAT_POOL:
                self.set_faults(
                    backend.server_address, slow_factor=ENGINE_SLOW_FACTOR
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
        completed = subprocess.run(
            [sys.executable, '-m', 'arbutusvale', 'load', 'bench', str(path)],
            cwd=processes.ROOT,
            stdout=subprocess.PIPE,
            text=True,
            timeout=BENCH_TIMEOUT_S,
            check=True,
        )
        return completed.stdout


if __name__ == '__main__':
    sys.exit(main())
