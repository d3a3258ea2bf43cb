"""Prove with real processes how engines get their orders."""

import pytest
import pytest_bdd

from tests import deployment
from tests import processes

pytestmark = pytest.mark.process
pytest_bdd.scenarios('orders.feature')
MODEL = 'lembrete-1'
LOADED_BOUND_S = 45.0
GRANT_SLACK_S = 1.0


@pytest.fixture
def state():
    """Hold what the steps of one scenario pass on."""
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


@pytest_bdd.given('a weight store that grants one request a second')
def limit_weights(fleet):
    fleet.set_platform_faults(weights_interval_s=1.0)


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        'a bundle wants version {version} of the model and lets {most:d} be '
        'unavailable'
    )
)
def want_version(fleet, state, version, most):
    document = fleet.make_bundle()
    pool = document['pools'][deployment.CHAT_POOL]
    pool['models'] = [{'name': MODEL, 'version': version}]
    pool['checks_fencing'] = state['checks']
    pool['max_unavailable'] = most
    fleet.publish(document)


def all_have(fleet, version):
    return all(
        read_version(backend) == version for backend in fleet.backends.values()
    )


def read_version(backend):
    address = f'http://{backend.server_address}/load'
    return processes.send_request('GET', address).json()['version']


@pytest_bdd.when('chats are sent until every engine has version 2')
def chat_on(fleet, state):
    def chat_and_look():
        number = len(state['statuses'])
        answer = fleet.send_chat([f'question {number}'])
        state['statuses'].append(answer.status)
        return all_have(fleet, '2')

    processes.wait_until(chat_and_look, LOADED_BOUND_S)


@pytest_bdd.when(
    pytest_bdd.parsers.parse('every engine has version {version}')
)
def wait_for_version(fleet, version):
    processes.wait_until(
        lambda: all_have(fleet, version),
        LOADED_BOUND_S,
        f'not every engine has version {version}',
    )


def list_orders(fleet):
    return [
        order
        for backend in fleet.backends.values()
        for order in backend.read_stats()['orders']
    ]


@pytest_bdd.then(
    pytest_bdd.parsers.parse('at most {most:d} engines loaded at once')
)
def bounded(fleet, most):
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
        assert len(loading) <= most, loading


@pytest_bdd.then(
    pytest_bdd.parsers.re('each engine got (?P<count>one order|two orders)')
)
def orders_each(fleet, count):
    wanted = {'one order': 1, 'two orders': 2}[count]
    for backend in fleet.backends.values():
        assert len(backend.read_stats()['orders']) == wanted, backend.name


@pytest_bdd.then('the sidecars waited as the weight store asked')
def waited(fleet):
    text = ''.join(
        each.sidecar.read_output() for each in fleet.backends.values()
    )
    assert 'event=weights-wait' in text
    began = sorted(order['began'] for order in list_orders(fleet))
    assert began[-1] - began[0] >= len(began) - 1 - GRANT_SLACK_S


@pytest_bdd.then('no chat reached an engine that was loading')
def none_while_loading(fleet):
    for backend in fleet.backends.values():
        assert backend.read_stats()['chats_while_loading'] == 0, backend.name


@pytest_bdd.then('every chat was answered')
def all_answered(state):
    assert state['statuses']
    assert set(state['statuses']) == {200}


@pytest_bdd.when('the sidecar of engine-1 is restarted')
def restart(fleet):
    backend = fleet.backends['engine-1']
    backend.sidecar.kill()
    backend.sidecar.start()
    deployment.wait_for_ready(backend.admin, backend.sidecar)


@pytest_bdd.when('its sidecar freezes')
def freeze(fleet, state):
    backend = fleet.backends['engine-1']
    processes.wait_until(
        lambda: 'event=fencing-number' in backend.sidecar.read_output()
    )
    backend.sidecar.suspend()
    state['older'] = backend.sidecar


@pytest_bdd.when('a newer sidecar of its VM starts at another address')
def replace(fleet, state):
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


@pytest_bdd.when('the frozen sidecar wakes')
def wake(state):
    state['older'].resume()


@pytest_bdd.then('all orders carry the number of the newer sidecar')
def newer_only(fleet):
    newer = fleet.backends['engine-1'].sidecar.read_output()
    fence = int(newer.split('fence=')[1].split()[0])
    fences = [order['fence'] for order in list_orders(fleet)]
    assert fences
    assert set(fences) == {fence}


@pytest_bdd.then('the older sidecar gave up its orders')
def gave_up(state):
    processes.wait_until(
        lambda: 'event=orders-stopped' in state['older'].read_output()
    )
