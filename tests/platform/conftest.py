import pytest

from tests import edge_fleet


@pytest.fixture
def fleet(tmp_path):
    made = edge_fleet.EdgeFleet(tmp_path)
    yield made
    made.close()
