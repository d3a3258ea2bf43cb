import pytest

from tests import deployment


@pytest.fixture
def build(tmp_path):
    """Build deployments that end with the test."""
    made = []

    def start(**shape):
        built = deployment.Deployment(tmp_path, deployment.Shape(**shape))
        made.append(built)
        return built.start()

    yield start
    for built in made:
        built.close()
