"""Model load orders from sidecars to engines, with real processes."""

import pytest
import pytest_bdd

from tests import deployment
from tests import processes

pytestmark = pytest.mark.process
pytest_bdd.scenarios('orders.feature')
MODEL = 'lembrete-1'
LOAD_TIMEOUT_S = 45.0
GRANT_TOLERANCE_S = 1.0


@pytest.fixture
def state():
    """State shared by the steps of one scenario."""
    return {'checks': True, 'statuses': []}


@pytest_bdd.given(
    pytest_bdd.parsers.parse(
        '{engines:d} engines that take {seconds:g} s to load a model'
    ),
    target_fixture='fleet',
)
def make_engines(start_deployment, engines, seconds):
    fleet = start_deployment(engines=engines, services=0, routers=1)
    for backend in fleet.backends.values():
        fleet.set_faults(backend.server_address, load_model_s=seconds)
    return fleet


@pytest_bdd.given(
    pytest_bdd.parsers.re(
        'an engine that (?P<checks>checks|does not check) fencing numbers'
    ),
    target_fixture='fleet',
)
def make_engine(start_deployment, state, checks):
    state['checks'] = checks == 'checks'
    return start_deployment(
        engines=1, services=0, routers=1, fencing=state['checks']
    )


@pytest_bdd.given('a weight store that grants one request per second')
def limit_weight_store(fleet):
    fleet.set_platform_faults(weights_interval_s=1.0)


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'a bundle sets model version {version} with max_unavailable '
        '{max_unavailable:d}'
    )
)
def publish_version(fleet, state, version, max_unavailable):
    document = fleet.make_bundle()
    pool = document['pools'][deployment.CHAT_POOL]
    pool['models'] = [{'name': MODEL, 'version': version}]
    pool['checks_fencing'] = state['checks']
    pool['max_unavailable'] = max_unavailable
    fleet.publish(document)


def all_have_version(fleet, version):
    return all(
        read_version(backend) == version for backend in fleet.backends.values()
    )


def read_version(backend):
    address = f'http://{backend.server_address}/load'
    return processes.send_request('GET', address).json()['version']


@pytest_bdd.when('chats are sent until every engine has version 2')
def chat_until_loaded(fleet, state):
    def chat_and_check():
        number = len(state['statuses'])
        answer = fleet.send_chat([f'question {number}'])
        state['statuses'].append(answer.status)
        return all_have_version(fleet, '2')

    processes.wait_until(chat_and_check, LOAD_TIMEOUT_S)


@pytest_bdd.when(
    pytest_bdd.parsers.parse('every engine has version {version}')
)
def wait_for_version(fleet, version):
    processes.wait_until(
        lambda: all_have_version(fleet, version),
        LOAD_TIMEOUT_S,
        f'every engine has version {version}',
    )


def list_orders(fleet):
    return [
        order
        for backend in fleet.backends.values()
        for order in backend.read_stats()['orders']
    ]


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        'at most {max_unavailable:d} engines loaded at once'
    )
)
def check_concurrent_loads(fleet, max_unavailable):
    processes.wait_until(
        lambda: all('ended' in order for order in list_orders(fleet))
    )
    orders = list_orders(fleet)
    for each in orders:
        loading = [
            order
            for order in orders
            if order['began'] <= each['began'] < order['ended']
        ]
        assert len(loading) <= max_unavailable, loading


@pytest_bdd.then(
    pytest_bdd.parsers.re('each engine got (?P<count>one order|two orders)')
)
def check_orders_per_engine(fleet, count):
    expected_count = {'one order': 1, 'two orders': 2}[count]
    for backend in fleet.backends.values():
        assert len(backend.read_stats()['orders']) == expected_count, (
            backend.name
        )


@pytest_bdd.then('the sidecars waited as long as the weight store required')
def check_weight_store_waits(fleet):
    log_output = ''.join(
        each.sidecar.read_output() for each in fleet.backends.values()
    )
    assert 'event=weights-wait' in log_output
    began = sorted(order['began'] for order in list_orders(fleet))
    assert began[-1] - began[0] >= len(began) - 1 - GRANT_TOLERANCE_S


@pytest_bdd.then('no chat reached an engine that was loading')
def check_no_chat_while_loading(fleet):
    for backend in fleet.backends.values():
        assert backend.read_stats()['chats_while_loading'] == 0, backend.name


@pytest_bdd.then('every chat was answered')
def check_all_answered(state):
    assert state['statuses']
    assert set(state['statuses']) == {200}


@pytest_bdd.when('the sidecar of engine-1 is restarted')
def restart_sidecar(fleet):
    backend = fleet.backends['engine-1']
    backend.sidecar.kill()
    backend.sidecar.start()
    deployment.wait_for_ready(backend.admin, backend.sidecar)


@pytest_bdd.when('its sidecar is suspended')
def suspend_sidecar(fleet, state):
    backend = fleet.backends['engine-1']
    processes.wait_until(
        lambda: 'event=fencing-number' in backend.sidecar.read_output()
    )
    backend.sidecar.suspend()
    state['older'] = backend.sidecar


@pytest_bdd.when('a replacement sidecar of its VM starts at another address')
def start_newer_sidecar(fleet, state):
    backend = fleet.backends['engine-1']
    backend.link_address = backend.registered_address = (
        fleet.ports.new_address()
    )
    backend.admin = fleet.ports.new_address()
    path = fleet.write_settings(
        'engine-1',
        listen=backend.link_address,
        admin=backend.admin,
        pool=backend.pool,
        kind='engine',
        server=backend.server_address,
    )
    backend.sidecar = fleet.make_program('engine-1-newer', ['sidecar', path])
    backend.sidecar.start()
    fleet.register_backend(backend)
    deployment.wait_for_ready(backend.admin, backend.sidecar)


@pytest_bdd.when('the suspended sidecar is resumed')
def resume_sidecar(state):
    state['older'].resume()


@pytest_bdd.then(
    'all orders carry the fencing number of the replacement sidecar'
)
def check_fencing_numbers(fleet):
    newer_output = fleet.backends['engine-1'].sidecar.read_output()
    fence = int(newer_output.split('fence=')[1].split()[0])
    fences = [order['fence'] for order in list_orders(fleet)]
    assert fences
    assert set(fences) == {fence}


@pytest_bdd.then('the older sidecar stopped sending orders')
def check_orders_stopped(state):
    processes.wait_until(
        lambda: 'event=orders-stopped' in state['older'].read_output()
    )
