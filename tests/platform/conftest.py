import pytest

from tests import edge_fleet


@pytest.fixture
def fleet(tmp_path):
    created = edge_fleet.EdgeFleet(tmp_path)
    yield created
    created.close()
