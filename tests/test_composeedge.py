"""The edge router needs no heavy library to start or to rank a large pool."""

import subprocess
import sys

from arbutusvale.coordination import edge_context
from arbutusvale.state import rendezvous
from tests import helpers_edge

HEAVY_LIBRARIES = (
    'numpy',
    'pydantic',
    'tornado',
    'absl',
    'yaml',
    'websockets',
    'ssl',
)


def test_edge_router_imports_no_heavy_library():
    code = (
        'import sys; from arbutusvale.ui import edge;'
        f'print([one for one in {HEAVY_LIBRARIES!r} if sys.modules.get(one)])'
    )
    result = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.strip() == '[]'


class UnchangingServerList:
    """Stand-in for a server list whose version stays the same."""

    version = 1


def test_edge_context_ranks_large_pool_without_numpy(monkeypatch):
    """Guard against ranking a large pool with numpy, which isn't shipped.

    With 101 engines in a pool, each model request failed as internal-error;
    a load sweep at 30 VMs served a share of 0.15.
    """
    names = [f'e{number}' for number in range(200)]
    expected = rendezvous.Ranking(names).rank('p', 5)
    monkeypatch.setitem(sys.modules, 'numpy', None)
    context = edge_context.EdgeContext(
        **dict.fromkeys(
            [
                'settings', 'codec', 'connection_pool', 'config', 'loads',
                'prompts', 'outlier_detector', 'crashes', 'metrics',
                'pauses', 'limits', 'announce_limits', 'generator', 'clock',
                'peers', 'origins', 'store_age_s',
                'server_list_age_s', 'link_queue', 'latency_estimator',
                'speeds', 'prompt_loads',
            ]
        ),
        servers=UnchangingServerList(),
        events=helpers_edge.Events(),
    )  # fmt: skip
    assert context.ranking('chat', names).rank('p', 5) == expected
