"""Prove that slow and failing servers are passed over, and come back."""

import time

import pytest
import pytest_bdd
from pytest_bdd import parsers

from tests import deployment
from tests import processes

pytestmark = pytest.mark.process
pytest_bdd.scenarios('avoidance.feature')

given = pytest_bdd.given
when = pytest_bdd.when
then = pytest_bdd.then


class Bench:
    """Hold a deployment and the answers of one scenario."""

    def __init__(self, built):
        self.built = built
        self.answers = []
        self.seconds = []
        self.chats = 0

    def timed(self, send):
        started = time.monotonic()
        answer = send()
        self.seconds.append(time.monotonic() - started)
        return answer

    def chat(self):
        self.chats += 1
        return self.timed(
            lambda: self.built.send_chat([f'question {self.chats}'])
        )

    def read_status(self, room):
        url = self.built.routers['entry-1'].url
        return processes.send_request(
            'GET',
            f'{url}/services/{deployment.PLAIN_SERVICE}/status/{room}',
            headers={'Authorization': f'Bearer {deployment.API_KEY}'},
        )

    def set_server(self, name, **faults):
        address = self.built.backends[name].server_address
        self.built.set_faults(address, **faults)

    def count_served(self, name):
        return self.built.backends[name].read_stats()['runs_total']


@given('three engines and a router', target_fixture='bench')
def _(start_deployment):
    return Bench(start_deployment(engines=3, services=0, routers=1))


@given('three services and a router', target_fixture='bench')
def _(start_deployment):
    return Bench(start_deployment(engines=0, services=3, routers=1))


@when('engine-1 answers every request with an error')
def _(bench):
    bench.set_server('engine-1', error_share=1.0)


@when(parsers.parse('engine-1 becomes {factor:g} times slower'))
def _(bench, factor):
    bench.set_server('engine-1', slow_factor=factor)


@when('engine-1 is well again')
def _(bench):
    bench.set_server('engine-1', error_share=0.0, slow_factor=1.0)


@when(parsers.parse('{count:d} chats are sent one by one'))
def _(bench, count):
    bench.before = bench.count_served('engine-1')
    bench.answers = [bench.chat() for _ in range(count)]


@when(parsers.parse('service-1 takes {seconds:g} s for each call'))
def _(bench, seconds):
    bench.set_server('service-1', delay_s=seconds)


@when(parsers.parse('every service takes {seconds:g} s after the effect'))
def _(bench, seconds):
    for name in bench.built.backends:
        bench.set_server(name, answer_delay_s=seconds)


@when(parsers.parse("{count:d} rooms' status is read"))
def _(bench, count):
    for number in range(count):
        answer = bench.timed(
            lambda room=f'room-{number}': bench.read_status(room)
        )
        bench.answers.append(answer)


@when(parsers.parse('a booking is sent with a timeout of {seconds:g} s'))
def _(bench, seconds):
    headers = {'Request-Timeout': str(seconds)}
    answer = bench.timed(
        lambda: bench.built.post_booking('bay-1', headers=headers)
    )
    bench.answers.append(answer)


@then('every chat is answered')
def _(bench):
    assert {answer.status for answer in bench.answers} == {200}


@then(parsers.parse('engine-1 got at most {most:d} of them'))
def _(bench, most):
    got = bench.count_served('engine-1') - bench.before
    assert 1 <= got <= most


@then(parsers.parse('chats reach engine-1 again within {seconds:g} s'))
def _(bench, seconds):
    def is_back():
        before = bench.count_served('engine-1')
        answers = [bench.chat() for _ in range(10)]
        assert {answer.status for answer in answers} == {200}
        return bench.count_served('engine-1') - before >= 2

    processes.wait_until(is_back, timeout_s=seconds)


@then(parsers.parse('each status is answered within {seconds:g} s'))
def _(bench, seconds):
    assert {answer.status for answer in bench.answers} == {200}
    assert max(bench.seconds) <= seconds


@then(parsers.parse('the caller is told unknown within {seconds:g} s'))
def _(bench, seconds):
    (answer,) = bench.answers
    assert answer.status == 504
    assert answer.header('Arbutusvale-Outcome') == 'unknown'
    assert bench.seconds[-1] <= seconds


@then('the booking ran 1 time')
def _(bench):
    time.sleep(0.5)
    assert bench.built.count_booking_runs() == {'bay-1': 1}
