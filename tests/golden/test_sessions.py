"""Replay recorded caller sessions and compare the answers with golden files.

Set the environment variable ``GOLDEN=write`` to overwrite the recorded
answers with the received ones; review the diff before committing it.
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
MASKED_HEADERS = {
    'date': '<date>',
    'x-request-id': '<request id>',
    'connection': '<connection>',
    'content-length': '<length>',
    'retry-after': '<seconds>',
}
GENERATED_ID = re.compile(r'\b[0-9a-f]{12,32}\b')


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    config = deployment.DeploymentConfig(engines=2, services=1, routers=2)
    deployed = deployment.Deployment(tmp_path_factory.mktemp('golden'), config)
    deployed.start()
    deployed.publish(make_golden_bundle(deployed))
    for router in deployed.routers.values():
        processes.wait_until(
            lambda router=router: read_version(router) == 'v2'
        )
    yield deployed
    deployed.close()


def make_golden_bundle(deployed) -> dict:
    """Make a bundle with partly granted and rate-limited organisations."""
    organisations = {
        'autosul': deployment.make_organisation(deployment.API_KEY),
        'motolitoral': deployment.make_organisation(
            deployment.OTHER_API_KEY, services=['drafts']
        ),
        'tiny': deployment.make_organisation(
            'key-of-tiny', rate=0.001, burst=1
        ),
    }
    return deployed.make_bundle(
        organisations=organisations, limits={'max_body_bytes': 2000}
    )


def read_version(router) -> str:
    status = processes.send_request(
        'GET', f'http://{router.admin}/status'
    ).json()
    return status['bundle']['version']


def run_step(fleet, step: dict) -> dict:
    """Send a step's request; return the answer with variable parts masked."""
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
        name: MASKED_HEADERS.get(name, value)
        for name, value in answer.headers.items()
    }
    text = GENERATED_ID.sub('<hex>', answer.body.decode())
    try:
        masked_body = json.loads(text)
    except json.JSONDecodeError:
        masked_body = text
    return {'status': answer.status, 'headers': headers, 'body': masked_body}


@pytest.mark.parametrize('path', SESSIONS, ids=lambda path: path.stem)
def test_session_gets_recorded_answers(fleet, path):
    session = yaml.safe_load(path.read_text())
    received = [run_step(fleet, step) for step in session['steps']]
    if os.environ.get('GOLDEN') == 'write':
        for step, answer in zip(session['steps'], received, strict=True):
            step['answer'] = answer
        text = yaml.safe_dump(session, sort_keys=False, allow_unicode=True)
        path.write_text(text)
    for step, answer in zip(session['steps'], received, strict=True):
        assert answer == step['answer']
