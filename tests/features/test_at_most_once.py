"""At most one run per idempotency key, with real processes and faults."""

import time

import pytest
import pytest_bdd
from pytest_bdd import parsers

from tests import helpers_bookings
from tests import processes

pytestmark = pytest.mark.process
pytest_bdd.scenarios('at_most_once.feature')

SETTLE_S = 1.0  # for a resumed sidecar to act on what it had pending
given = pytest_bdd.given
when = pytest_bdd.when
then = pytest_bdd.then


@pytest.fixture
def harness(start_deployment):
    made = helpers_bookings.BookingHarness(
        start_deployment(**helpers_bookings.DEPLOYMENT_OPTIONS)
    )
    yield made
    made.close()


@given('three booking services behind sidecars and two routers')
def _(harness):
    assert len(harness.fleet.backends) == 3


@given(
    parsers.parse(
        'the services take {seconds:g} s before a booking takes effect'
    )
)
def _(harness, seconds):
    harness.set_service_faults(delay_s=seconds)


@given(
    parsers.parse(
        'the services take {seconds:g} s after a booking takes effect'
    )
)
def _(harness, seconds):
    harness.set_service_faults(answer_delay_s=seconds)


@given(parsers.parse('the log keeps records for {seconds:g} s'))
def _(harness, seconds):
    harness.fleet.set_platform_faults(retention_s=seconds)
    harness.wait_for_claim_window(seconds)


@given('the log loses the response to the next append')
def _(harness):
    harness.fleet.set_platform_faults(drop_append_answers=1)


@given('the log is down')
def _(harness):
    harness.fleet.set_platform_faults(outage=True)


@given(parsers.parse('the log takes {seconds:g} s for each request'))
def _(harness, seconds):
    harness.fleet.set_platform_faults(slow_s=seconds)


@when('the log recovers')
def _(harness):
    harness.fleet.set_platform_faults(outage=False, slow_s=0.0)


@when(parsers.parse('{seconds:g} s pass'))
def _(seconds):
    time.sleep(seconds)


@when(
    parsers.re(
        r'the booking is sent (?P<count>\d+) times at once, '
        r'beside other bookings'
    )
)
def _(harness, count):
    for number in range(int(count)):
        harness.send(f'entry-{1 + number % 2}')
        harness.send(f'entry-{1 + number % 2}', f'other-{number}')
    harness.wait_for_answers()


@when(
    parsers.re(r'the booking is sent through (?P<router>entry-\d) and has run')
)
def _(harness, router):
    harness.send(router)
    harness.wait_for_holder()


@when(parsers.re(r'the booking is sent through (?P<router>entry-\d)'))
def _(harness, router):
    harness.send(router)
    harness.wait_for_last()


@when('another booking is sent with the same key')
def _(harness):
    harness.send('entry-2', token='another')
    harness.wait_for_last()


@when('the open links to the claim holder stall')
def _(harness):
    control = harness.wait_for_holder().link_proxy_control
    harness.fleet.set_faults(control, freeze='both')


@when(parsers.re(r'(?P<router>entry-\d) is killed'))
def _(harness, router):
    harness.fleet.routers[router].program.kill()


@when("the claim holder's sidecar is killed")
def _(harness):
    harness.wait_for_run()
    harness.wait_for_holder().sidecar.kill()


@when("the claim holder's sidecar is started again")
def _(harness):
    harness.restart_sidecar(harness.wait_for_holder())


@when("the claim holder's server is killed")
def _(harness):
    harness.kill_server(harness.wait_for_holder())


@when("the claim holder's server is started again")
def _(harness):
    harness.restart_server(harness.wait_for_holder())


@when('the booking is claimed by a sidecar that is suspended before the run')
def _(harness):
    harness.suspend_between_claim_and_run('entry-1')


@when("the suspended sidecar's VM is removed from the VM list")
def _(harness):
    harness.fleet.deregister_vm(harness.suspended.name)


@when('the suspended sidecar is resumed')
def _(harness):
    harness.suspended.sidecar.resume()
    time.sleep(SETTLE_S)


@when('a sidecar is suspended until claims that it has not read have expired')
def _(harness):
    harness.suspend_through_claim_window()


@then(
    'it rejects new keys until the missed claims are older than the claim '
    'window'
)
def _(harness):
    resumed = harness.suspended
    processes.wait_until(
        lambda: not harness.read_status(resumed)['claims_ready']
    )
    began = time.monotonic()
    processes.wait_until(lambda: harness.read_status(resumed)['claims_ready'])
    assert time.monotonic() - began >= 0.8 * harness.claim_window_s
    harness.check_outcomes()


@then(parsers.re(r'every caller gets the outcome (?P<outcome>[a-z-]+)'))
def _(harness, outcome):
    harness.wait_for_answers()
    assert {sent.outcome for sent in harness.sent_bookings} == {outcome}
    harness.check_outcomes()


@then(
    parsers.re(
        r'the last caller gets the outcome (?P<outcome>[a-z-]+) '
        r'within (?P<limit_s>\d+) s'
    )
)
def _(harness, outcome, limit_s):
    last = harness.wait_for_last()
    assert last.outcome == outcome
    assert last.seconds < int(limit_s)
    assert float(last.answer.header('Retry-After')) > 0
    harness.check_outcomes()


@then(parsers.re(r'the last caller gets the outcome (?P<outcome>[a-z-]+)'))
def _(harness, outcome):
    assert harness.wait_for_last().outcome == outcome, harness.wait_for_last()
    harness.check_outcomes()


@then(parsers.parse('the last caller is rejected with status {status:d}'))
def _(harness, status):
    assert harness.wait_for_last().answer.status == status


@then(parsers.re(r'the booking ran (?P<count>\d+) times?'))
def _(harness, count):
    assert harness.count_runs() == int(count)


@then('the booking ran at most 1 time')
def _(harness):
    assert harness.count_runs() <= 1
