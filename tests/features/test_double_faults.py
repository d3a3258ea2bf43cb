"""Guarantees under two simultaneous faults, with real processes."""

import concurrent.futures
import json

import pytest
import pytest_bdd

from tests import processes

pytestmark = pytest.mark.process
pytest_bdd.scenarios('double_faults.feature')
BUNDLE_BOUND_S = 4.0
LINK_RECOVERY_BOUND_S = 10.0


@pytest.fixture
def state():
    """State shared by the steps of one scenario."""
    return {}


@pytest.fixture
def executor():
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        yield pool


@pytest_bdd.given(
    pytest_bdd.parsers.parse(
        'a deployment with {engines:d} engines and {services:d} services'
    ),
    target_fixture='fleet',
)
def start_fleet(start_deployment, engines, services):
    return start_deployment(engines=engines, services=services)


@pytest_bdd.given(
    pytest_bdd.parsers.parse(
        'a deployment with {engines:d} engines and {services:d} services '
        'behind link proxies'
    ),
    target_fixture='fleet',
)
def start_fleet_with_link_proxies(start_deployment, engines, services):
    return start_deployment(
        engines=engines, services=services, link_proxies=True
    )


@pytest_bdd.given(
    'a deployment whose entry-2 and engine-2 reach the platform through '
    'proxies',
    target_fixture='fleet',
)
def start_fleet_with_platform_proxies(start_deployment):
    return start_deployment(engines=2, log_proxies=('entry-2', 'engine-2'))


@pytest_bdd.given(
    pytest_bdd.parsers.parse('the services take {seconds:d} s for a booking')
)
def set_booking_delay(fleet, seconds):
    for backend in list_services(fleet):
        fleet.set_faults(backend.server_address, answer_delay_s=seconds)


def list_services(fleet):
    return [
        backend
        for name, backend in fleet.backends.items()
        if name.startswith('service')
    ]


@pytest_bdd.when('the log service goes down')
def stop_log(fleet):
    fleet.set_platform_faults(outage=True)


@pytest_bdd.when('the log service recovers')
def restore_log(fleet):
    fleet.set_platform_faults(outage=False)


@pytest_bdd.when('engine-1 is killed')
def kill_engine(fleet):
    fleet.backends['engine-1'].sidecar.kill()
    fleet.backends['engine-1'].server.kill()


@pytest_bdd.when('engine-4 joins')
def start_engine_4(fleet):
    fleet.start_backend(fleet.add_engine('engine-4'), wait=False)


@pytest_bdd.then('20 chats are answered')
def check_chats_answered(fleet):
    for number in range(20):
        router = f'entry-{number % 2 + 1}'
        text = f'question {number}'
        answer = fleet.send_chat([text], router)
        assert answer.status == 200, answer
        content = answer.json()['choices'][0]['message']['content']
        assert text in content


@pytest_bdd.then('a booking gets the outcome not-run with Retry-After')
def check_booking_not_run(fleet):
    answer = fleet.post_booking('bay-1', idempotency_key='k1')
    assert answer.status == 503
    assert answer.header('Arbutusvale-Outcome') == 'not-run'
    assert int(answer.header('Retry-After')) > 0
    assert fleet.count_booking_runs() == {}


@pytest_bdd.then('the same booking is answered when it is sent again')
def check_booking_answered(fleet):
    def answered():
        answer = fleet.post_booking('bay-1', 'entry-2', idempotency_key='k1')
        return answer.status == 201

    processes.wait_until(answered)


@pytest_bdd.then('every booking ran at most once')
def check_ran_once(fleet):
    counts = fleet.count_booking_runs()
    assert counts == {'bay-1': 1}


@pytest_bdd.when('a booking is sent through entry-1')
def send_booking(fleet, executor, state):
    state['first'] = executor.submit(send_ignoring_broken_connection, fleet)
    processes.wait_until(fleet.count_booking_runs)


def send_ignoring_broken_connection(fleet):
    """Send a booking whose connection may break."""
    try:
        return fleet.post_booking('bay-1', 'entry-1', idempotency_key='k1')
    except OSError:
        return None


@pytest_bdd.when('every link stalls')
def freeze_links(fleet):
    for backend in fleet.backends.values():
        fleet.set_faults(backend.link_proxy_control, freeze='both')


@pytest_bdd.when('entry-1 is killed')
def kill_router(fleet, state):
    fleet.routers['entry-1'].program.kill()
    assert state['first'].result() is None


@pytest_bdd.then('the same booking sent through entry-2 is answered')
def check_answered_by_entry_2(fleet):
    answer = fleet.post_booking(
        'bay-1', 'entry-2', idempotency_key='k1', timeout_s=30
    )
    assert answer.status == 201, answer
    assert answer.json()['token'] == 'bay-1'


@pytest_bdd.when('their data centre is partitioned from the platform')
def partition_data_centre(fleet):
    for control in fleet.log_proxy_controls.values():
        fleet.set_faults(control, refuse=True, cut=True)


@pytest_bdd.when('two operators roll out conflicting bundles')
def roll_out_conflicting(fleet, executor, state):
    settings = fleet.write_operator_settings()
    paths = []
    for number in (1, 2):
        document = fleet.make_bundle(version=f'race-{number}')
        paths.append(fleet.write_bundle(document, f'race-{number}'))
    signed = [sign(fleet, path, settings) for path in paths]
    rollouts = [
        executor.submit(
            processes.run_operator,
            ['rollout', path, f'--settings={settings}', '--timeout=10'],
        )
        for path in signed
    ]
    state['runs'] = [run.result() for run in rollouts]


def sign(fleet, path, settings):
    """Sign against the current head, so that both bundles have one parent."""
    out = f'{path}.signed'
    done = processes.run_operator(
        ['bundle', 'sign', path, f'--settings={settings}', f'--out={out}']
    )
    assert done.returncode == 0, done.stderr
    return out


@pytest_bdd.then('one operator won and the other is notified')
def check_one_winner(fleet, state):
    codes = sorted(run.returncode for run in state['runs'])
    accepted_everywhere, lost_race = 0, 3
    assert codes == [accepted_everywhere, lost_race], state['runs']
    state['winner'] = next(
        f'race-{number}'
        for number, run in enumerate(state['runs'], 1)
        if run.returncode == accepted_everywhere
    )
    losing_run = next(
        run for run in state['runs'] if run.returncode == lost_race
    )
    assert state['winner'] in losing_run.stdout + losing_run.stderr


@pytest_bdd.when('the partition is healed')
def heal_partition(fleet):
    for control in fleet.log_proxy_controls.values():
        fleet.set_faults(control, refuse=False)


@pytest_bdd.then(
    "every process has the winner's version, fetched from its peers if "
    'necessary'
)
@pytest_bdd.then("every process still has the winner's version")
def check_winner_active(fleet, state):
    admins = [
        each.admin
        for each in [*fleet.backends.values(), *fleet.routers.values()]
    ]

    def all_have_winner():
        return {read_version(admin) for admin in admins} == {state['winner']}

    processes.wait_until(all_have_winner, BUNDLE_BOUND_S)


def read_version(admin):
    status = processes.send_request('GET', f'http://{admin}/status').json()
    return status['bundle']['version']


@pytest_bdd.then("no process ever had the loser's version")
def check_loser_never_active(fleet, state):
    loser = {'race-1', 'race-2'} - {state['winner']}
    for program in fleet.programs:
        for line in program.read_output().splitlines():
            if 'event=bundle-in-force' in line:
                assert not any(name in line for name in loser), json.dumps(
                    [program.name, line]
                )
