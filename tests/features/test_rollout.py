"""Bundles and rollouts with real processes."""

import concurrent.futures
import re
import time

import pytest
import pytest_bdd

from arbutusvale.protocol import signing
from tests import deployment
from tests import processes

pytestmark = pytest.mark.process
pytest_bdd.scenarios('rollout.feature')
ACTIVATION_TIMEOUT_S = 4.0
ACTIVE_BUNDLE_EVENT = re.compile(
    r'event=bundle-in-force offset=(\d+) version=(\S+)'
)
SLOW_LOG_S = 2.0


@pytest.fixture
def state():
    """State shared by the steps of one scenario."""
    return {}


@pytest_bdd.given(
    pytest_bdd.parsers.parse(
        'a deployment with {engines:d} engines and {routers:d} routers'
    ),
    target_fixture='fleet',
)
def start_fleet(start_deployment, engines, routers):
    return start_deployment(engines=engines, services=0, routers=routers)


def list_admins(fleet):
    """List the admin addresses of the running processes."""
    programs_by_admin = [
        (each.admin, each.sidecar) for each in fleet.backends.values()
    ]
    programs_by_admin += [
        (each.admin, each.program) for each in fleet.routers.values()
    ]
    return [
        admin for admin, program in programs_by_admin if program.is_running()
    ]


def read_bundle(admin):
    status = processes.send_request(
        'GET', f'http://{admin}/status', timeout_s=5.0
    )
    return status.json()['bundle'] or {'version': '', 'offset': -1}


def read_versions(fleet):
    return {read_bundle(admin)['version'] for admin in list_admins(fleet)}


def wait_for_version(fleet, version):
    processes.wait_until(
        lambda: read_versions(fleet) == {version},
        ACTIVATION_TIMEOUT_S,
        f'{version} is active on every process',
    )


def make_document(fleet, version, **changes):
    return fleet.make_bundle(version=version, **changes)


def sign(fleet, document, parent, operator=deployment.OPERATOR_NAME, key=None):
    """Sign a bundle document; returns its encoded log record."""
    text = deployment.yaml.safe_dump(document)
    private_key = key or fleet.keys.private
    publication = document['version']
    record = signing.sign(text, operator, private_key, parent, publication)
    return signing.encode(record)


def append(fleet, record):
    answer = fleet.call_platform('POST', '/log/config', record)
    return answer.json()['offset']


def roll_out(fleet, version, timeout_s=10, **changes):
    document = make_document(fleet, version, **changes)
    path = fleet.write_bundle(document, version)
    return processes.run_operator(
        [
            'rollout',
            path,
            f'--settings={fleet.write_operator_settings()}',
            f'--timeout={timeout_s}',
        ]
    )


@pytest_bdd.when('ana and bia sign bundles with the same parent')
def sign_conflicting(fleet, state):
    bia = signing.generate_keys()
    operators = {**fleet.operators, 'bia': bia.public}
    done = roll_out(fleet, 'v2', operators=operators)
    assert done.returncode == 0, done.stderr
    parent = fleet.head_digest()
    state['signed'] = {}
    for name, private_key in (
        ('ana', fleet.keys.private),
        ('bia', bia.private),
    ):
        document = make_document(fleet, f'of-{name}', operators=operators)
        path = fleet.folder / f'{name}.signed'
        path.write_bytes(sign(fleet, document, parent, name, private_key))
        state['signed'][name] = path


@pytest_bdd.when('both roll out at once while the log service is slow')
def roll_out_both(fleet, state):
    fleet.set_platform_faults(slow_s=SLOW_LOG_S)
    settings = fleet.write_operator_settings()
    with concurrent.futures.ThreadPoolExecutor(2) as threads:
        runs = {
            name: threads.submit(
                processes.run_operator,
                ['rollout', str(path), f'--settings={settings}'],
            )
            for name, path in state['signed'].items()
        }
        state['runs'] = {name: run.result() for name, run in runs.items()}
    fleet.set_platform_faults(slow_s=0.0)


@pytest_bdd.then('one of them won and the other is told which version won')
def check_one_winner(state):
    codes = {name: run.returncode for name, run in state['runs'].items()}
    assert sorted(codes.values()) == [0, 3], state['runs']
    winner, loser = sorted(codes, key=codes.get)
    race_message = (
        f'lost the race: version of-{winner} by {winner} is in force'
    )
    assert race_message in state['runs'][loser].stdout
    state['winner'] = winner


@pytest_bdd.then('the log holds the records of both')
def check_both_in_log(fleet, state):
    records = fleet.read_stream('config')
    for path in state['signed'].values():
        assert path.read_bytes() in records


@pytest_bdd.then("every process has the winner's version")
def check_winner_active(fleet, state):
    wait_for_version(fleet, f'of-{state["winner"]}')


@pytest_bdd.then(pytest_bdd.parsers.re(r'every process has (?P<version>v\d)'))
def check_active_version(fleet, version):
    wait_for_version(fleet, version)


@pytest_bdd.then('the active version never went back')
def check_versions_ascend(fleet):
    """Compare each process's activations with the order in the log."""
    accepted = []
    for record in fleet.read_stream('config'):
        try:
            version = signing.read_bundle(signing.decode(record)).version
        except Exception:
            continue
        if version not in accepted:
            accepted.append(version)
    for program in fleet.programs:
        active_events = ACTIVE_BUNDLE_EVENT.findall(program.read_output())
        offsets = [int(offset) for offset, _ in active_events]
        assert offsets == sorted(set(offsets)), (program.name, active_events)
        positions = [accepted.index(version) for _, version in active_events]
        assert positions == sorted(set(positions)), (
            program.name,
            active_events,
        )


@pytest_bdd.when('the log service loses the response to the next append')
def lose_append_response(fleet):
    fleet.set_platform_faults(drop_append_answers=1)


@pytest_bdd.when(pytest_bdd.parsers.re(r'ana rolls out (?P<version>v\d)'))
def roll_out_as_ana(fleet, state, version):
    timeout_s = 2 if state.get('suspended') else 10
    state['run'] = roll_out(fleet, version, timeout_s)


@pytest_bdd.when('ana rolls out v3 without motolitoral')
def roll_out_without_motolitoral(fleet, state):
    document = fleet.make_bundle()
    organisations = document['organisations']
    del organisations['motolitoral']
    state['run'] = roll_out(fleet, 'v3', 0, organisations=organisations)


@pytest_bdd.then(
    pytest_bdd.parsers.re(r'the rollout exits with code (?P<code>\d)')
)
def check_exit_code(state, code):
    run = state['run']
    assert run.returncode == int(code), (run.stdout, run.stderr)


@pytest_bdd.then('the rollout exits with code 5 and names entry-2')
def check_entry_2_unreachable(state):
    run = state['run']
    assert run.returncode == 5, (run.stdout, run.stderr)
    assert re.search(r'^entry-2 +not reachable$', run.stdout, re.M)
    assert 'entry-1' not in run.stdout


@pytest_bdd.then(pytest_bdd.parsers.parse('the log holds {count:d} records'))
def check_record_count(fleet, count):
    assert len(fleet.read_stream('config')) == count


@pytest_bdd.when('the log service goes down')
def stop_log(fleet):
    fleet.set_platform_faults(outage=True)


@pytest_bdd.when('the log service recovers')
def restore_log(fleet):
    fleet.set_platform_faults(outage=False)


@pytest_bdd.when('every sidecar is killed')
def kill_sidecars(fleet):
    for backend in fleet.backends.values():
        backend.sidecar.kill()


@pytest_bdd.when('entry-3 starts')
def start_entry_3(fleet):
    fleet.start_router(fleet.add_router('entry-3'), wait=False)


@pytest_bdd.then(
    pytest_bdd.parsers.re(r'entry-3 is ready and has (?P<version>v\d)')
)
def check_entry_3_ready(fleet, version):
    router = fleet.routers['entry-3']
    deployment.wait_for_ready(router.admin, router.program)
    assert read_bundle(router.admin)['version'] == version


@pytest_bdd.then('entry-3 answers a chat')
def check_entry_3_answers(fleet):
    assert fleet.send_chat(['a question'], 'entry-3').status == 200


@pytest_bdd.then(
    'entry-3 is not ready and rejects a chat with the outcome not-run'
)
def check_entry_3_not_ready(fleet):
    router = fleet.routers['entry-3']
    deployment.wait_for_http(f'http://{router.admin}/health/live')
    ready = processes.send_request(
        'GET', f'http://{router.admin}/health/ready'
    )
    assert ready.status == 503
    answer = fleet.send_chat(['a question'], 'entry-3')
    assert answer.status == 503
    assert answer.header('Arbutusvale-Outcome') == 'not-run'


@pytest_bdd.when('entry-2 is suspended')
def suspend_entry_2(fleet, state):
    fleet.routers['entry-2'].program.suspend()
    state['suspended'] = True


@pytest_bdd.when('entry-2 is resumed')
def resume_entry_2(fleet):
    fleet.routers['entry-2'].program.resume()


@pytest_bdd.then('entry-2 rejects the first request of motolitoral')
def check_first_request_refused(fleet):
    key = deployment.OTHER_API_KEY
    answer = fleet.send_chat(['a question'], 'entry-2', key)
    assert answer.status == 401, answer


@pytest_bdd.when('ana appends v2 to v4, one after the other')
def append_three_versions(fleet, state):
    state['took_s'] = []
    for number in range(2, 5):
        document = make_document(fleet, f'v{number}')
        record = sign(fleet, document, fleet.head_digest())
        append(fleet, record)
        start = time.monotonic()
        wait_for_version(fleet, f'v{number}')
        state['took_s'].append(time.monotonic() - start)


@pytest_bdd.then('each was active on every process within 4 seconds')
def check_activation_times(state):
    assert max(state['took_s']) <= ACTIVATION_TIMEOUT_S


@pytest_bdd.when(
    pytest_bdd.parsers.re(r'a record with (?P<fault>.+) is appended')
)
def append_faulty_record(fleet, state, fault):
    head = fleet.head_digest()
    document = make_document(fleet, 'v9')
    match fault:
        case 'a bad signature':
            other = signing.generate_keys()
            record = sign(fleet, document, head, key=other.private)
        case 'an unknown operator':
            other = signing.generate_keys()
            record = sign(fleet, document, head, 'eve', other.private)
        case 'an invalid bundle':
            document['pools'] = {}
            record = sign(fleet, document, head)
        case 'noise':
            record = b'noise'
        case 'an old parent':
            record = sign(fleet, document, b'')
    state['appended'] = append(fleet, record)


@pytest_bdd.when('the record of v1 is appended again')
def replay_first_record(fleet, state):
    state['appended'] = append(fleet, fleet.read_stream('config')[0])


@pytest_bdd.then(
    pytest_bdd.parsers.re(
        r'every process has read it and still has (?P<version>v\d)'
    )
)
def check_rejected_and_unchanged(fleet, state, version):
    line = f'event=bundle-rejected offset={state["appended"]} '
    programs = [each.sidecar for each in fleet.backends.values()]
    programs += [each.program for each in fleet.routers.values()]
    processes.wait_until(
        lambda: all(line in program.read_output() for program in programs),
        ACTIVATION_TIMEOUT_S,
        f'every process rejected offset {state["appended"]}',
    )
    assert read_versions(fleet) == {version}


@pytest_bdd.when('the log service keeps records for 6 seconds')
def set_short_retention(fleet):
    fleet.set_platform_faults(retention_s=6.0)


@pytest_bdd.when('the record of v1 has expired')
def wait_for_expiry(fleet):
    def expired():
        answer = processes.send_request(
            'GET',
            f'http://{fleet.platform_address}/log/config?from=0&wait=0',
        )
        return answer.status == 410

    processes.wait_until(expired)
