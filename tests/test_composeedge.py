"""The lean program imports only what it uses."""

import subprocess
import sys

from arbutusvale.coordination import edge_context
from arbutusvale.state import rendezvous
from tests import helpers_edge

HEAVY = ('numpy', 'pydantic', 'tornado', 'absl', 'yaml', 'websockets', 'ssl')


def test_the_program_loads_no_heavy_library():
    code = (
        'import sys; from arbutusvale.ui import edge;'
        f'print([one for one in {HEAVY!r} if sys.modules.get(one)])'
    )
    found = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.strip() == '[]'


class Versioned:
    """Stand in for a server list that doesn't change."""

    version = 1


def test_a_large_pool_is_ranked_without_numpy(monkeypatch):
    """The sweep at 30 VMs, with 101 engines in a pool, served 0.15.

    Each model request ended as internal-error, as numpy isn't shipped with
    the program.
    """
    names = [f'e{number}' for number in range(200)]
    expected = rendezvous.Ranking(names).rank('p', 5)
    monkeypatch.setitem(sys.modules, 'numpy', None)
    context = edge_context.EdgeContext(
        **dict.fromkeys(
            [
                'settings', 'codec', 'connection_pool', 'config', 'loads',
                'prompts', 'outlier_detector', 'crashes', 'metrics',
                'generator', 'clock', 'peers', 'store_age_s', 'link_queue',
                'latency_estimator',
            ]
        ),
        servers=Versioned(),
        events=helpers_edge.Events(),
    )  # fmt: skip
    assert context.ranking('chat', names).rank('p', 5) == expected
