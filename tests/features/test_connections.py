"""Stalled connections and terminating routers lose no answer."""

import concurrent.futures
import time

import pytest
import pytest_bdd
from pytest_bdd import parsers

from tests import helpers_callers
from tests import processes

pytestmark = pytest.mark.process
pytest_bdd.scenarios('connections.feature')

BASE_TOKEN_S = 0.001  # per token of the engine stand-in at slow_factor 1
given = pytest_bdd.given
when = pytest_bdd.when
then = pytest_bdd.then


class Harness:
    """A deployment and the callers of one scenario."""

    def __init__(self, fleet, backend):
        self.fleet = fleet
        self.backend = backend
        self.streams = []
        self.booking = None
        self.stalled_at = 0.0
        self.exit_code = None
        self.executor = concurrent.futures.ThreadPoolExecutor()

    def start_stream(self, tokens, router='entry-1'):
        caller = helpers_callers.StreamCaller(
            self.fleet, ['oil change due'], router, tokens
        )
        self.streams.append(caller)
        return caller


@given(
    'an engine and two routers that connect to its sidecar through a proxy',
    target_fixture='harness',
)
def _(start_deployment):
    fleet = start_deployment(engines=1, services=0, link_proxies=True)
    return Harness(fleet, fleet.backends['engine-1'])


@given(
    'a booking service and two routers that connect to its sidecar through '
    'a proxy',
    target_fixture='harness',
)
def _(start_deployment):
    fleet = start_deployment(engines=0, services=1, link_proxies=True)
    return Harness(fleet, fleet.backends['service-1'])


@given(
    'an engine that its sidecar reaches through a proxy',
    target_fixture='harness',
)
def _(start_deployment):
    fleet = start_deployment(engines=1, services=0, server_proxies=True)
    return Harness(fleet, fleet.backends['engine-1'])


@given(parsers.parse('the engine takes {seconds:g} s for each token'))
def _(harness, seconds):
    harness.fleet.set_faults(
        harness.backend.server_address, slow_factor=seconds / BASE_TOKEN_S
    )


@given(
    parsers.parse(
        'the service takes {seconds:g} s after a booking takes effect'
    )
)
def _(harness, seconds):
    harness.fleet.set_faults(
        harness.backend.server_address, answer_delay_s=seconds
    )


@when(
    parsers.parse(
        'a chat streams {tokens:d} tokens and {received:d} of them have '
        'arrived'
    )
)
def _(harness, tokens, received):
    harness.start_stream(tokens).wait_for_tokens(received)


@when(
    parsers.parse(
        'a chat streams {tokens:d} tokens and the engine has started'
    )
)
def _(harness, tokens):
    harness.start_stream(tokens)
    processes.wait_until(lambda: harness.backend.read_stats()['running'])


@when(parsers.parse('a chat streams {tokens:d} tokens and ends'))
def _(harness, tokens):
    stream = harness.start_stream(tokens)
    stream.join()
    assert stream.is_complete


@when(parsers.parse('a chat streams {tokens:d} tokens'))
def _(harness, tokens):
    harness.start_stream(tokens)


@when(
    parsers.parse('the open links stop passing data in direction {direction}')
)
def _(harness, direction):
    harness.fleet.set_faults(
        harness.backend.link_proxy_control, freeze=direction
    )
    harness.stalled_at = time.monotonic()


@when(
    parsers.parse(
        'the connections to the engine stop passing data in direction '
        '{direction}'
    )
)
def _(harness, direction):
    harness.fleet.set_faults(
        harness.backend.server_proxy_control, freeze=direction
    )


@when(
    parsers.parse(
        'the open links stop passing data, and new ones too for {seconds:g} s'
    )
)
def _(harness, seconds):
    control = harness.backend.link_proxy_control
    harness.fleet.set_faults(control, freeze='both', freeze_new='both')
    time.sleep(seconds)
    harness.fleet.set_faults(control, freeze_new='')


@when(parsers.parse('{process} is suspended for {seconds:g} s'))
def _(harness, process, seconds):
    fleet = harness.fleet
    if process in fleet.routers:
        program = fleet.routers[process].program
    else:
        program = fleet.backends[process].sidecar
    program.suspend()
    time.sleep(seconds)
    program.resume()


@when('a booking is sent and has run')
def _(harness):
    harness.booking = harness.executor.submit(
        harness.fleet.post_booking, 'bay-1'
    )
    processes.wait_until(harness.fleet.count_booking_runs)


@when('entry-1 is killed')
def _(harness):
    harness.fleet.routers['entry-1'].program.kill()


@when('the chat is sent again through entry-2')
def _(harness):
    harness.start_stream(20, 'entry-2')


@when(
    parsers.parse(
        '{count:d} chats stream {tokens:d} tokens through entry-1 while it '
        'receives SIGTERM'
    )
)
def _(harness, count, tokens):
    for _number in range(count):
        harness.start_stream(tokens)
    for stream in harness.streams:
        stream.wait_for_tokens(2)
    program = harness.fleet.routers['entry-1'].program
    harness.exit_code = harness.executor.submit(program.terminate)


@then(parsers.parse('the stream is complete, with no gap above {seconds:g} s'))
def _(harness, seconds):
    stream = harness.streams[-1]
    stream.join()
    assert (stream.status, stream.error) == (200, None)
    assert stream.is_complete
    assert stream.longest_gap_s() <= seconds


@then(parsers.re(r'the engine ran the chat (?P<count>\d+) times?'))
def _(harness, count):
    runs = harness.backend.read_stats()['runs']
    assert sum(runs.values()) == int(count)
    assert len(runs) == int(count)


@then(
    parsers.parse('the booking is answered within {seconds:g} s of the stall')
)
def _(harness, seconds):
    answer = harness.booking.result(timeout=30)
    assert time.monotonic() - harness.stalled_at <= seconds
    assert answer.status == 201
    assert answer.header('Arbutusvale-Outcome') == 'answered'


@then('the booking ran 1 time')
def _(harness):
    assert harness.fleet.count_booking_runs() == {'bay-1': 1}


@then('the caller detects that the stream is incomplete')
def _(harness):
    stream = harness.streams[-1]
    stream.join()
    assert not stream.is_complete


@then('every stream is complete')
def _(harness):
    for stream in harness.streams:
        stream.join()
        assert stream.is_complete
        assert stream.error is None


@then('entry-1 accepted no new request and exited with code 0')
def _(harness):
    assert harness.exit_code.result(timeout=30) == 0
    url = harness.fleet.routers['entry-1'].url
    assert processes.try_request('GET', f'{url}/v1/models') is None
