"""Replay whole caller sessions and compare them with golden files.

Run with the environment variable ``GOLDEN=write`` to write the answers
that were seen; read the difference before committing it.
"""

import json
import os
import pathlib
import re

import pytest
import yaml

from tests import deployment
from tests import processes

pytestmark = pytest.mark.process
SESSIONS = sorted(pathlib.Path(__file__).parent.glob('*.yaml'))
VOLATILE_HEADERS = {
    'date': '<date>',
    'x-request-id': '<request id>',
    'connection': '<connection>',
    'content-length': '<length>',
    'retry-after': '<seconds>',
}
HEX = re.compile(r'\b[0-9a-f]{12,32}\b')


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    shape = deployment.DeploymentConfig(engines=2, services=1, routers=2)
    built = deployment.Deployment(tmp_path_factory.mktemp('golden'), shape)
    built.start()
    built.publish(make_golden_bundle(built))
    for router in built.routers.values():
        processes.wait_until(
            lambda router=router: read_version(router) == 'v2'
        )
    yield built
    built.close()


def make_golden_bundle(built) -> dict:
    """Add an organisation for each limit that a session runs into."""
    organisations = {
        'autosul': deployment.make_organisation(deployment.API_KEY),
        'motolitoral': deployment.make_organisation(
            deployment.OTHER_API_KEY, services=['drafts']
        ),
        'tiny': deployment.make_organisation(
            'key-of-tiny', rate=0.001, burst=1
        ),
    }
    return built.make_bundle(
        organisations=organisations, limits={'max_body_bytes': 2000}
    )


def read_version(router) -> str:
    status = processes.send_request(
        'GET', f'http://{router.admin}/status'
    ).json()
    return status['bundle']['version']


def run_step(fleet, step: dict) -> dict:
    """Send a step's request; returns the masked answer."""
    request = step['request']
    body = request.get('body')
    if isinstance(body, str):
        body = body.encode()
    router = fleet.routers[request.get('router', 'entry-1')]
    answer = processes.send_request(
        request['method'],
        f'{router.url}{request["path"]}',
        body,
        headers=request.get('headers', {}),
    )
    headers = {
        name: VOLATILE_HEADERS.get(name, value)
        for name, value in answer.headers.items()
    }
    text = HEX.sub('<hex>', answer.body.decode())
    try:
        masked = json.loads(text)
    except json.JSONDecodeError:
        masked = text
    return {'status': answer.status, 'headers': headers, 'body': masked}


@pytest.mark.parametrize('path', SESSIONS, ids=lambda path: path.stem)
def test_session_is_answered_as_before(fleet, path):
    session = yaml.safe_load(path.read_text())
    seen = [run_step(fleet, step) for step in session['steps']]
    if os.environ.get('GOLDEN') == 'write':
        for step, answer in zip(session['steps'], seen, strict=True):
            step['answer'] = answer
        text = yaml.safe_dump(session, sort_keys=False, allow_unicode=True)
        path.write_text(text)
    for step, answer in zip(session['steps'], seen, strict=True):
        assert answer == step['answer']
