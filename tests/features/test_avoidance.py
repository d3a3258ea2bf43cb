"""Outlier ejection, recovery and hedging with real processes."""

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


class Harness:
    """A deployment and the answers collected in one scenario."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.answers = []
        self.durations_s = []
        self.chat_count = 0

    def time_call(self, send_request):
        started = time.monotonic()
        answer = send_request()
        self.durations_s.append(time.monotonic() - started)
        return answer

    def chat(self):
        self.chat_count += 1
        return self.time_call(
            lambda: self.fleet.send_chat([f'question {self.chat_count}'])
        )

    def read_status(self, room):
        url = self.fleet.routers['entry-1'].url
        return processes.send_request(
            'GET',
            f'{url}/services/{deployment.PLAIN_SERVICE}/status/{room}',
            headers={'Authorization': f'Bearer {deployment.API_KEY}'},
        )

    def set_server_faults(self, name, **faults):
        address = self.fleet.backends[name].server_address
        self.fleet.set_faults(address, **faults)

    def count_runs(self, name):
        return self.fleet.backends[name].read_stats()['runs_total']


@given('three engines and a router', target_fixture='harness')
def _(start_deployment):
    return Harness(start_deployment(engines=3, services=0, routers=1))


@given('three services and a router', target_fixture='harness')
def _(start_deployment):
    return Harness(start_deployment(engines=0, services=3, routers=1))


@when('engine-1 answers every request with an error')
def _(harness):
    harness.set_server_faults('engine-1', error_share=1.0)


@when(parsers.parse('engine-1 becomes {factor:g} times slower'))
def _(harness, factor):
    harness.set_server_faults('engine-1', slow_factor=factor)


@when('engine-1 recovers')
def _(harness):
    harness.set_server_faults('engine-1', error_share=0.0, slow_factor=1.0)


@when(parsers.parse('{count:d} chats are sent one after another'))
def _(harness, count):
    harness.runs_before = harness.count_runs('engine-1')
    harness.answers = [harness.chat() for _ in range(count)]


@when(parsers.parse('service-1 takes {seconds:g} s for each request'))
def _(harness, seconds):
    harness.set_server_faults('service-1', delay_s=seconds)


@when(
    parsers.parse(
        'every service takes {seconds:g} s after a booking takes effect'
    )
)
def _(harness, seconds):
    for name in harness.fleet.backends:
        harness.set_server_faults(name, answer_delay_s=seconds)


@when(parsers.parse('the status of {count:d} rooms is read'))
def _(harness, count):
    for number in range(count):
        answer = harness.time_call(
            lambda room=f'room-{number}': harness.read_status(room)
        )
        harness.answers.append(answer)


@when(parsers.parse('a booking is sent with a timeout of {seconds:g} s'))
def _(harness, seconds):
    headers = {'Request-Timeout': str(seconds)}
    answer = harness.time_call(
        lambda: harness.fleet.post_booking('bay-1', headers=headers)
    )
    harness.answers.append(answer)


@then('every chat is answered')
def _(harness):
    assert {answer.status for answer in harness.answers} == {200}


@then(parsers.parse('engine-1 received at most {max_runs:d} of them'))
def _(harness, max_runs):
    received = harness.count_runs('engine-1') - harness.runs_before
    assert 1 <= received <= max_runs


@then(parsers.parse('engine-1 receives chats again within {seconds:g} s'))
def _(harness, seconds):
    def is_readmitted():
        before = harness.count_runs('engine-1')
        answers = [harness.chat() for _ in range(10)]
        assert {answer.status for answer in answers} == {200}
        return harness.count_runs('engine-1') - before >= 2

    processes.wait_until(is_readmitted, timeout_s=seconds)


@then(parsers.parse('each status request is answered within {seconds:g} s'))
def _(harness, seconds):
    assert {answer.status for answer in harness.answers} == {200}
    assert max(harness.durations_s) <= seconds


@then(
    parsers.parse('the caller gets the outcome unknown within {seconds:g} s')
)
def _(harness, seconds):
    (answer,) = harness.answers
    assert answer.status == 504
    assert answer.header('Arbutusvale-Outcome') == 'unknown'
    assert harness.durations_s[-1] <= seconds


@then('the booking ran 1 time')
def _(harness):
    time.sleep(0.5)
    assert harness.fleet.count_booking_runs() == {'bay-1': 1}
