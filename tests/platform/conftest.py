import pytest

from tests import edgefleet


@pytest.fixture
def fleet(tmp_path):
    made = edgefleet.EdgeFleet(tmp_path)
    yield made
    made.close()
