"""Prove that silent links and ending routers lose no answer."""

import concurrent.futures
import time

import pytest
import pytest_bdd
from pytest_bdd import parsers

from tests import helpers_callers
from tests import processes

pytestmark = pytest.mark.process
pytest_bdd.scenarios('connections.feature')

TOKEN_S = 0.001
given = pytest_bdd.given
when = pytest_bdd.when
then = pytest_bdd.then


class Bench:
    """Hold a deployment and the callers of one scenario."""

    def __init__(self, built, backend):
        self.built = built
        self.backend = backend
        self.streams = []
        self.booking = None
        self.silent_at = 0.0
        self.exit_code = None
        self.pool = concurrent.futures.ThreadPoolExecutor()

    def stream(self, tokens, router='entry-1'):
        caller = helpers_callers.StreamCaller(
            self.built, ['oil change due'], router, tokens
        )
        self.streams.append(caller)
        return caller


@given(
    'an engine and two routers that link to it through a proxy',
    target_fixture='bench',
)
def _(start_deployment):
    built = start_deployment(engines=1, services=0, link_proxies=True)
    return Bench(built, built.backends['engine-1'])


@given(
    'a booking service and two routers that link to it through a proxy',
    target_fixture='bench',
)
def _(start_deployment):
    built = start_deployment(engines=0, services=1, link_proxies=True)
    return Bench(built, built.backends['service-1'])


@given(
    'an engine that its sidecar reaches through a proxy',
    target_fixture='bench',
)
def _(start_deployment):
    built = start_deployment(engines=1, services=0, server_proxies=True)
    return Bench(built, built.backends['engine-1'])


@given(parsers.parse('the engine takes {seconds:g} s for each token'))
def _(bench, seconds):
    bench.built.set_faults(
        bench.backend.server_address, slow_factor=seconds / TOKEN_S
    )


@given(parsers.parse('the service takes {seconds:g} s after the effect'))
def _(bench, seconds):
    bench.built.set_faults(
        bench.backend.server_address, answer_delay_s=seconds
    )


@when(
    parsers.parse(
        'a chat streams {tokens:d} tokens and {seen:d} of them arrived'
    )
)
def _(bench, tokens, seen):
    bench.stream(tokens).wait_tokens(seen)


@when(
    parsers.parse('a chat streams {tokens:d} tokens and the engine has begun')
)
def _(bench, tokens):
    bench.stream(tokens)
    processes.wait_until(lambda: bench.backend.read_stats()['running'])


@when(parsers.parse('a chat streams {tokens:d} tokens and ends'))
def _(bench, tokens):
    stream = bench.stream(tokens)
    stream.join()
    assert stream.whole


@when(parsers.parse('a chat streams {tokens:d} tokens'))
def _(bench, tokens):
    bench.stream(tokens)


@when(parsers.parse('the open links go silent in direction {direction}'))
def _(bench, direction):
    bench.built.set_faults(bench.backend.link_proxy_control, freeze=direction)
    bench.silent_at = time.monotonic()


@when(
    parsers.parse(
        'the connections to the engine go silent in direction {direction}'
    )
)
def _(bench, direction):
    bench.built.set_faults(
        bench.backend.server_proxy_control, freeze=direction
    )


@when(
    parsers.parse(
        'the open links go silent, and new ones too for {seconds:g} s'
    )
)
def _(bench, seconds):
    control = bench.backend.link_proxy_control
    bench.built.set_faults(control, freeze='both', freeze_new='both')
    time.sleep(seconds)
    bench.built.set_faults(control, freeze_new='')


@when(parsers.parse('{process} is frozen for {seconds:g} s'))
def _(bench, process, seconds):
    built = bench.built
    if process in built.routers:
        program = built.routers[process].program
    else:
        program = built.backends[process].sidecar
    program.suspend()
    time.sleep(seconds)
    program.resume()


@when('a booking is sent and has run')
def _(bench):
    bench.booking = bench.pool.submit(bench.built.post_booking, 'bay-1')
    processes.wait_until(bench.built.count_booking_runs)


@when('entry-1 is killed')
def _(bench):
    bench.built.routers['entry-1'].program.kill()


@when('the chat is sent again through entry-2')
def _(bench):
    bench.stream(20, 'entry-2')


@when(
    parsers.parse(
        '{count:d} chats stream {tokens:d} tokens through entry-1 while it is '
        'told to end'
    )
)
def _(bench, count, tokens):
    for _number in range(count):
        bench.stream(tokens)
    for stream in bench.streams:
        stream.wait_tokens(2)
    program = bench.built.routers['entry-1'].program
    bench.exit_code = bench.pool.submit(program.terminate)


@then(parsers.parse('the stream is whole, with no gap above {seconds:g} s'))
def _(bench, seconds):
    stream = bench.streams[-1]
    stream.join()
    assert (stream.status, stream.error) == (200, None)
    assert stream.whole
    assert stream.longest_gap() <= seconds


@then(parsers.re(r'the engine ran the chat (?P<count>\d+) times?'))
def _(bench, count):
    runs = bench.backend.read_stats()['runs']
    assert sum(runs.values()) == int(count)
    assert len(runs) == int(count)


@then(parsers.parse('the booking is answered within {seconds:g} s of that'))
def _(bench, seconds):
    answer = bench.booking.result(timeout=30)
    assert time.monotonic() - bench.silent_at <= seconds
    assert answer.status == 201
    assert answer.header('Arbutusvale-Outcome') == 'answered'


@then('the booking ran 1 time')
def _(bench):
    assert bench.built.count_booking_runs() == {'bay-1': 1}


@then('the stream is not taken for a whole one')
def _(bench):
    stream = bench.streams[-1]
    stream.join()
    assert not stream.whole


@then('every stream is whole')
def _(bench):
    for stream in bench.streams:
        stream.join()
        assert stream.whole
        assert stream.error is None


@then('entry-1 took no new request and ended with exit code 0')
def _(bench):
    assert bench.exit_code.result(timeout=30) == 0
    url = bench.built.routers['entry-1'].url
    assert processes.try_request('GET', f'{url}/v1/models') is None
