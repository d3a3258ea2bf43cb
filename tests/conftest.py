import pathlib

import pytest

from tests import deployment

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known_red() -> dict[str, str]:
    """Read KNOWN-RED.txt; return each test's entry by its node id."""
    if not KNOWN_RED.exists():
        return {}
    entries = {}
    for entry in KNOWN_RED.read_text().split('\n\n'):
        for line in entry.splitlines():
            if line.startswith('test: '):
                entries[line.removeprefix('test: ').strip()] = entry
    return entries


def pytest_collection_modifyitems(items):
    """Mark the tests listed in KNOWN-RED.txt, and only these, as xfail."""
    known_red = read_known_red()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason='in KNOWN-RED.txt'))


def pytest_terminal_summary(terminalreporter):
    """Print the entries of KNOWN-RED.txt after every run."""
    for entry in read_known_red().values():
        terminalreporter.write_line(f'known red: {entry}')


@pytest.fixture
def start_deployment(tmp_path):
    """Return a function that starts a deployment, closed after the test."""
    fleets = []

    def start(**config):
        fleet = deployment.Deployment(
            tmp_path, deployment.DeploymentConfig(**config)
        )
        fleets.append(fleet)
        return fleet.start()

    yield start
    for fleet in fleets:
        fleet.close()
