"""Prove at most one run per key with real processes under faults."""

import time

import pytest
import pytest_bdd
from pytest_bdd import parsers

from tests import helpers_bookings
from tests import processes

pytestmark = pytest.mark.process
pytest_bdd.scenarios('at_most_once.feature')

SETTLE_S = 1.0
given = pytest_bdd.given
when = pytest_bdd.when
then = pytest_bdd.then


@pytest.fixture
def bench(start_deployment):
    made = helpers_bookings.Bench(start_deployment(**helpers_bookings.SHAPE))
    yield made
    made.close()


@given('three booking services behind sidecars and two routers')
def _(bench):
    assert len(bench.built.backends) == 3


@given(parsers.parse('the services take {seconds:g} s before the effect'))
def _(bench, seconds):
    bench.set_services(delay_s=seconds)


@given(parsers.parse('the services take {seconds:g} s after the effect'))
def _(bench, seconds):
    bench.set_services(answer_delay_s=seconds)


@given(parsers.parse('the log keeps records for {seconds:g} s'))
def _(bench, seconds):
    bench.built.set_platform_faults(retention_s=seconds)
    bench.wait_for_window(seconds)


@given('the log loses the answer to the next append')
def _(bench):
    bench.built.set_platform_faults(drop_append_answers=1)


@given('the log is down')
def _(bench):
    bench.built.set_platform_faults(outage=True)


@given(parsers.parse('the log takes {seconds:g} s for each call'))
def _(bench, seconds):
    bench.built.set_platform_faults(slow_s=seconds)


@when('the log is back')
def _(bench):
    bench.built.set_platform_faults(outage=False, slow_s=0.0)


@when(parsers.parse('{seconds:g} s pass'))
def _(seconds):
    time.sleep(seconds)


@when(parsers.re(r'the booking is sent (?P<count>\d+) times at once'))
def _(bench, count):
    for number in range(int(count)):
        bench.send(f'entry-{1 + number % 2}')
        bench.send(f'entry-{1 + number % 2}', f'other-{number}')
    bench.wait_for_answers()


@when(
    parsers.re(r'the booking is sent through (?P<router>entry-\d) and has run')
)
def _(bench, router):
    bench.send(router)
    bench.find_holder()


@when(parsers.re(r'the booking is sent through (?P<router>entry-\d)'))
def _(bench, router):
    bench.send(router)
    bench.last()


@when('another booking is sent with the same key')
def _(bench):
    bench.send('entry-2', token='another')
    bench.last()


@when('the open links to the holder freeze')
def _(bench):
    control = bench.find_holder().link_proxy_control
    bench.built.set_faults(control, freeze='both')


@when(parsers.re(r'(?P<router>entry-\d) is killed'))
def _(bench, router):
    bench.built.routers[router].program.kill()


@when("the holder's sidecar is killed")
def _(bench):
    bench.wait_for_run()
    bench.find_holder().sidecar.kill()


@when("the holder's sidecar is started again")
def _(bench):
    bench.restart_sidecar(bench.find_holder())


@when("the holder's server is killed")
def _(bench):
    bench.kill_server(bench.find_holder())


@when("the holder's server is started again")
def _(bench):
    bench.restart_server(bench.find_holder())


@when('the booking is claimed by a sidecar that is stopped before the run')
def _(bench):
    bench.stop_between_claim_and_run('entry-1')


@when("the stopped sidecar's VM is unlisted")
def _(bench):
    bench.built.deregister_vm(bench.stopped.name)


@when('the stopped sidecar is woken')
def _(bench):
    bench.stopped.sidecar.resume()
    time.sleep(SETTLE_S)


@when('a sidecar is stopped while claims expire that it has not read')
def _(bench):
    bench.stop_through_a_window()


@then('it refuses new keys until the hole is older than the window')
def _(bench):
    woken = bench.stopped
    processes.wait_until(lambda: not bench.read_status(woken)['claims_ready'])
    began = time.monotonic()
    processes.wait_until(lambda: bench.read_status(woken)['claims_ready'])
    assert time.monotonic() - began >= 0.8 * bench.window_s
    bench.check_truth()


@then(parsers.re(r'every caller is told (?P<outcome>[a-z-]+)'))
def _(bench, outcome):
    bench.wait_for_answers()
    assert {sent.outcome for sent in bench.sends} == {outcome}
    bench.check_truth()


@then(
    parsers.re(
        r'the last caller is told (?P<outcome>[a-z-]+) '
        r'within (?P<bound_s>\d+) s'
    )
)
def _(bench, outcome, bound_s):
    last = bench.last()
    assert last.outcome == outcome
    assert last.seconds < int(bound_s)
    assert float(last.answer.header('Retry-After')) > 0
    bench.check_truth()


@then(parsers.re(r'the last caller is told (?P<outcome>[a-z-]+)'))
def _(bench, outcome):
    assert bench.last().outcome == outcome, bench.last()
    bench.check_truth()


@then(parsers.parse('the last caller is refused with status {status:d}'))
def _(bench, status):
    assert bench.last().answer.status == status


@then(parsers.re(r'the booking ran (?P<count>\d+) times?'))
def _(bench, count):
    assert bench.count() == int(count)


@then('the booking ran at most 1 time')
def _(bench):
    assert bench.count() <= 1
